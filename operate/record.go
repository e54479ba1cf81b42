package operate

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// recordBackoff is the initial delay before an outcome is sent again; it
	// doubles up to maxRecordBackoff.
	recordBackoff    = 100 * time.Millisecond
	maxRecordBackoff = 3 * time.Second
	// recordTimeout bounds one attempt to record an outcome.
	recordTimeout = 5 * time.Second
)

// record writes the outcome of an attempt to the log. A withdrawal is sent only
// after NotRun was reported to the callers.
func (s *Service) record(ctx context.Context, f *flight) {
	s.mu.Lock()
	e, ended := s.table.Outcome(f.a, s.cfg.MaxRecordedAnswer)
	// An attempt whose claim lost is no longer in the table.
	_, held := s.table.Find(f.a.ID, f.a.Key)
	exposed := f.a.Exposed()
	s.mu.Unlock()
	if !ended || !held {
		return
	}
	if e.Kind == claim.Withdraw {
		select {
		case <-f.delivered:
		case <-ctx.Done():
			return
		}
		if !exposed {
			return
		}
	}
	if e.Kind == claim.Complete && e.Answer == nil {
		s.keep(f)
	}
	s.recordEntry(ctx, e)
}

// recordEntry sends an entry to the recorders until it is read back.
func (s *Service) recordEntry(ctx context.Context, e claim.Entry) {
	pause := recordBackoff
	for ctx.Err() == nil {
		for _, id := range s.recorders(e.Key.Partition(s.cfg.Partitions)) {
			bounded, cancel := context.WithTimeout(ctx, recordTimeout)
			v, op, err := s.submit(bounded, id, e)
			cancel()
			if err == nil && v == claim.Done {
				warnContradiction(op)
				return
			}
		}
		if !wait.For(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRecordBackoff)
	}
}

// warnContradiction logs that a settlement contradicts the actual outcome.
func warnContradiction(op claim.Op) {
	if !op.Contradicted {
		return
	}
	klog.ErrorS(nil, "operation settled otherwise than it ended", "customer", op.Key.Customer,
		"key", op.Key.Name, "settled", op.State.String(), "operator", op.Operator)
}

// keep stores an answer that is too large for the log in memory.
func (s *Service) keep(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.add(f.a.ID, *f.a.Answer())
}

// waitFor waits for the end of an attempt that this instance holds. The answer
// is set for Completed.
func (s *Service) waitFor(ctx context.Context, key operation.Key, id claim.ID) (operation.State, *operation.Answer, bool) {
	s.mu.Lock()
	if a, ok := s.kept.answers[id]; ok {
		s.mu.Unlock()
		return operation.Completed, &a, true
	}
	a, ok := s.table.Find(id, key)
	f := s.flights[a]
	s.mu.Unlock()
	if !ok || f == nil {
		return 0, nil, false
	}
	select {
	case <-f.done:
	case <-ctx.Done():
		return 0, nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.State(), a.Answer(), true
}

// keptAnswers stores the newest large answers, up to max bytes.
type keptAnswers struct {
	max     int64
	size    int64
	order   []claim.ID
	answers map[claim.ID]operation.Answer
}

func (k *keptAnswers) add(id claim.ID, a operation.Answer) {
	k.answers[id] = a
	k.order = append(k.order, id)
	k.size += int64(len(a.Body))
	for k.size > k.max && len(k.order) > 0 {
		oldest := k.order[0]
		k.order = k.order[1:]
		k.size -= int64(len(k.answers[oldest].Body))
		delete(k.answers, oldest)
	}
}
