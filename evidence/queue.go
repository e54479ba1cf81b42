package evidence

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// peerQueue queues reports for one aggregating instance. At most one call is in
// flight; meanwhile the newest report of each service waits.
type peerQueue struct {
	busy    bool
	waiting []outlier.Report
}

// put queues reports, replacing older ones of the same services. Within a
// session, a newer report includes everything in an older one that has not been
// acknowledged.
func (q *peerQueue) put(rs []outlier.Report) {
	for _, r := range rs {
		q.putOne(r)
	}
}

func (q *peerQueue) putOne(r outlier.Report) {
	for i := range q.waiting {
		if q.waiting[i].Service == r.Service {
			q.waiting[i] = r
			return
		}
	}
	q.waiting = append(q.waiting, r)
}

// send starts the calls that deliver the reports of a tick. Reports to this
// instance itself are handled directly.
func (t *Table) send(now time.Time, reports map[fleet.InstanceID][]outlier.Report) {
	for to, rs := range reports {
		if to == t.self {
			t.sendSelf(now, rs)
			continue
		}
		t.mu.Lock()
		q := t.queues[to]
		if q == nil {
			q = &peerQueue{}
			t.queues[to] = q
		}
		q.put(rs)
		if !q.busy {
			q.busy = true
			t.calls.Add(1)
			go t.drain(to, q)
		}
		t.mu.Unlock()
	}
}

func (t *Table) sendSelf(now time.Time, rs []outlier.Report) {
	for _, r := range rs {
		if v, ok := t.handleReport(now, r); ok {
			t.apply(now, v)
		}
	}
}

// drain sends queued reports until the queue is empty, then removes the queue.
func (t *Table) drain(to fleet.InstanceID, q *peerQueue) {
	defer t.calls.Done()
	for {
		t.mu.Lock()
		rs := q.waiting
		q.waiting = nil
		if len(rs) == 0 || t.ctx.Err() != nil {
			q.busy = false
			delete(t.queues, to)
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		t.report(to, rs)
	}
}

func (t *Table) report(to fleet.InstanceID, rs []outlier.Report) {
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.Timeout)
	defer cancel()
	t.counters.sent.Inc(int64(len(rs)))
	vs, err := t.sender.Report(ctx, to, rs)
	if err != nil {
		t.counters.lost.Inc(int64(len(rs)))
		klog.V(2).InfoS("Evidence not delivered", "to", to, "reports", len(rs), "err", err)
		return
	}
	now := t.now()
	for _, v := range vs {
		t.apply(now, v)
	}
}

// announce applies changed verdicts at this instance and starts the calls that
// announce them to the reporters.
func (t *Table) announce(now time.Time, s *Service, v outlier.Verdicts, to []fleet.InstanceID) {
	if len(to) == 0 {
		return
	}
	s.apply(now, v)
	t.calls.Add(1)
	go t.announceAll(v, to)
}

func (t *Table) announceAll(v outlier.Verdicts, to []fleet.InstanceID) {
	defer t.calls.Done()
	for _, id := range to {
		if id == t.self {
			continue
		}
		select {
		case t.announceSlots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		t.calls.Add(1)
		go t.announceOne(v, id)
	}
}

func (t *Table) announceOne(v outlier.Verdicts, to fleet.InstanceID) {
	defer t.calls.Done()
	defer func() { <-t.announceSlots }()
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.Timeout)
	defer cancel()
	t.counters.announced.Inc(1)
	if err := t.sender.Announce(ctx, to, []outlier.Verdicts{v}); err != nil {
		klog.V(2).InfoS("Verdicts not delivered", "to", to, "service", v.Service, "err", err)
	}
}
