package operate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 100
	// readWait is how long a read waits at the end of the stream.
	readWait = time.Second
	// readBackoff is the delay after a failed read.
	readBackoff = 100 * time.Millisecond
	// partSize bounds a part of a checkpoint, in bytes.
	partSize = 256 << 10
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// standbyRateDivisor divides the append rate of recorders that do not
	// rank first.
	standbyRateDivisor = 4
	// duePollInterval is the interval at which a recorder with entries checks for appends
	// that are due again, idlePollInterval the interval without entries.
	duePollInterval  = 50 * time.Millisecond
	idlePollInterval = time.Second
)

// partition records one partition: it reads its stream and appends to it.
type partition struct {
	s      *Service
	id     int
	stream string
	cancel context.CancelFunc
	wakeup chan struct{}

	mu  sync.Mutex
	rec *claim.Recorder
	// caughtUp is set once a read has reached the end of the stream; readAt is
	// the start time of the last such read.
	caughtUp        bool
	readAt          time.Time
	waiters         map[claim.Waiter]chan claim.Reply
	first           bool
	checkpointing   bool
	checkpointTried time.Time
}

// assign starts recording the partitions for which the instance ranks among the
// first Recorders and stops recording the others. The caller holds s.mu.
func (s *Service) assign(now time.Time) {
	for id := range s.cfg.Partitions {
		ids := s.roles.Ranked(claim.StreamName(id), s.cfg.Recorders)
		place := slices.Index(ids, s.cfg.Self.Instance)
		p := s.partitions[id]
		switch {
		case place >= 0 && p == nil:
			p = s.startPartition(id, now)
			p.setFirst(place == 0)
		case place >= 0:
			p.setFirst(place == 0)
		case p != nil && p.idle():
			p.cancel()
			delete(s.partitions, id)
		}
	}
}

func (s *Service) startPartition(id int, now time.Time) *partition {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &partition{
		s: s, id: id, stream: claim.StreamName(id), cancel: cancel,
		wakeup: make(chan struct{}, 1), waiters: map[claim.Waiter]chan claim.Reply{},
		rec: claim.NewRecorder(s.cfg.recorder(), claim.NewFold(0), now),
	}
	s.partitions[id] = p
	s.spawn(func(context.Context) { p.tail(ctx) })
	s.spawn(func(context.Context) { p.appendLoop(ctx) })
	return p
}

// setFirst sets whether this instance ranks first for the partition. Other
// recorders append at a reduced rate, so that claims submitted to both do not
// double the load of a slow log.
func (p *partition) setFirst(first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first = first
	rate := p.s.cfg.recorder().AppendRate
	if !first {
		rate /= standbyRateDivisor
	}
	p.rec.SetAppendRate(rate)
}

func (p *partition) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec.Len() == 0
}

// record submits an entry to the next batch and waits until it is read back.
func (p *partition) record(ctx context.Context, e claim.Entry) (claim.Reply, logservice.Offset, error) {
	p.mu.Lock()
	if rep, ok := p.rec.Decided(e); ok && p.caughtUp {
		defer p.mu.Unlock()
		return rep, p.rec.End(), nil
	}
	w, ok := claim.Waiter(0), false
	if p.caughtUp {
		w, ok = p.rec.Submit(p.s.now(), e)
	}
	if !ok {
		defer p.mu.Unlock()
		return claim.Reply{Verdict: claim.Refused}, p.rec.End(), nil
	}
	ch := make(chan claim.Reply, 1)
	p.waiters[w] = ch
	p.mu.Unlock()
	p.wake()
	select {
	case rep := <-ch:
		return rep, p.end(), nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, w)
	p.rec.Cancel(e, w)
	return claim.Reply{}, 0, errors.Wrap(ctx.Err(), "entry not read back")
}

func (p *partition) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

func (p *partition) end() logservice.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec.End()
}

// get returns the state of a key if the history of the stream is complete.
func (p *partition) get(key operation.Key) (claim.Op, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.rec.Fold().Covered() || !p.caughtUp {
		return claim.Op{}, false
	}
	return p.rec.Fold().Get(key)
}

// answer adds the recorder's state of a key to a survey's answer.
func (p *partition) answer(a *claim.SurveyAnswer, key operation.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Claimants = p.rec.Claimants(key)
	a.Covered = p.rec.Fold().Covered() && p.caughtUp
	a.Age = p.s.now().Sub(p.readAt)
	a.Next = p.rec.End()
	a.Op, _ = p.rec.Fold().Get(key)
}

// appendLoop sends the recorder's appends, one at a time.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		p.mu.Lock()
		batch, entries := p.rec.Next(p.s.now())
		idle := idlePollInterval
		switch {
		case p.rec.Queued() > 0:
			idle = p.s.cfg.recorder().WithDefaults().Linger
		case p.rec.Len() > 0:
			idle = duePollInterval
		}
		p.mu.Unlock()
		if len(entries) > 0 {
			p.append(ctx, batch, entries)
			continue
		}
		t := time.NewTimer(idle)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-p.wakeup:
			t.Stop()
			wait.For(ctx, p.s.cfg.recorder().WithDefaults().Linger)
		case <-t.C:
		}
	}
}

func (p *partition) append(ctx context.Context, batch uint64, entries []claim.Entry) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.s.cfg.Log.Append(ctx, p.stream, claim.Encode(entries))
	p.s.stats.appended(len(entries), err)
	if err != nil {
		logFailure("append failed", err, "stream", p.stream, "entries", len(entries))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.Appended(p.s.now(), batch, err)
}

// tail reads the stream until the partition is released.
func (p *partition) tail(ctx context.Context) {
	for ctx.Err() == nil {
		began := p.s.now()
		b, err := p.s.cfg.Log.Read(ctx, p.stream, p.end(), readLimit, p.readTimeout())
		switch {
		case errors.Is(err, logservice.ErrExpired):
			p.restart(b.First)
		case err != nil:
			logFailure("read failed", err, "stream", p.stream)
			wait.For(ctx, readBackoff)
		default:
			p.apply(b, began)
		}
	}
}

// readTimeout returns how long a read may wait for records. It is zero until the
// stream was read to its end once, because the stream may be empty.
func (p *partition) readTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.caughtUp {
		return 0
	}
	return readWait
}

// restart resets the state to the first offset that the log retains.
func (p *partition) restart(first logservice.Offset) {
	klog.InfoS("claims expired before they were read", "stream", p.stream, "first", first)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.Restart(claim.NewFold(first), p.s.now())
	p.caughtUp = false
}

// apply applies a batch and replies to the waiters of its entries.
func (p *partition) apply(b logservice.Batch, began time.Time) {
	p.mu.Lock()
	for _, r := range b.Records {
		rec, err := claim.Decode(r)
		if err != nil {
			klog.ErrorS(err, "record skipped", "stream", p.stream, "offset", r.Offset)
		}
		p.rec.Read(p.s.now(), rec)
	}
	if p.rec.End() >= b.Next {
		p.caughtUp = true
		p.readAt = began
	}
	for _, rep := range p.rec.Replies() {
		if ch, ok := p.waiters[rep.Waiter]; ok {
			ch <- rep
			delete(p.waiters, rep.Waiter)
		}
	}
	end := p.rec.End()
	p.mu.Unlock()
	p.s.updateEnd(p.id, end)
}

// maintain removes expired keys, records the loss of claims whose holder has
// ended, and appends checkpoints. It returns the number of unresolved outcomes
// if this instance ranks first for the partition, and 0 otherwise.
func (p *partition) maintain(now time.Time) int {
	lost := p.lostClaims(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	fold := p.rec.Fold()
	fold.Sweep()
	if !p.leads() {
		return 0
	}
	p.recordLost(now, lost)
	p.checkpoint(now)
	return len(fold.Unresolved(""))
}

// leads reports whether this instance ranks first and has the complete history.
// The caller holds p.mu.
func (p *partition) leads() bool {
	return p.first && p.caughtUp && p.rec.Fold().Covered()
}

// lostClaims returns the live claims whose holder has certainly ended.
func (p *partition) lostClaims(now time.Time) []claim.Op {
	p.mu.Lock()
	live := p.rec.Fold().Live()
	p.mu.Unlock()
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return slices.DeleteFunc(live, func(op claim.Op) bool {
		return !p.s.history.Superseded(now, op.Claim.Holder)
	})
}

// recordLost records the outcome of these claims as unknown, because their
// holders have ended.
func (p *partition) recordLost(now time.Time, lost []claim.Op) {
	for _, op := range lost {
		e := op.Entry
		e.Kind = claim.Lose
		e.Presumed = true
		if p.rec.Submitted(e) {
			continue
		}
		if _, ok := p.rec.Submit(now, e); ok {
			klog.InfoS("operation outcome unknown", "customer", op.Key.Customer, "key", op.Key.Name,
				"claim", op.Claim.String(), "cause", "holder ended")
		}
	}
	p.wake()
}

// checkpoint appends the partition's state if one is due.
func (p *partition) checkpoint(now time.Time) {
	interval := p.s.cfg.CheckpointInterval.D()
	if p.checkpointing || now.Sub(p.checkpointTried) < interval/10 || !p.rec.Fold().CheckpointDue(now, interval) {
		return
	}
	p.checkpointing = true
	p.checkpointTried = now
	parts := p.rec.Fold().Checkpoint(p.s.cfg.Self.String(), partSize)
	p.s.spawn(func(ctx context.Context) {
		for i := range parts {
			if _, err := p.s.cfg.Log.Append(ctx, p.stream, claim.EncodePart(&parts[i])); err != nil {
				logFailure("checkpoint failed", err, "stream", p.stream, "part", i)
				break
			}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checkpointing = false
	})
}

func offset(n int64) logservice.Offset { return logservice.Offset(n) }

// updateLocalEnds updates the stream ends from this instance's own partitions.
func (s *Service) updateLocalEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.partitions {
		s.ends[id] = max(s.ends[id], p.end())
	}
}
