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
	// readBackoff is the pause after a failed read.
	readBackoff = 100 * time.Millisecond
	// partSize bounds a part of a checkpoint, in bytes.
	partSize = 256 << 10
	// appendTimeout bounds one append.
	appendTimeout = 3 * time.Second
	// standbyShare divides the append rate of those who do not stand first.
	standbyShare = 4
	// duePoll is how often a recorder with entries looks for appends that are
	// due again, idlePoll how often one without looks up.
	duePoll  = 50 * time.Millisecond
	idlePoll = time.Second
)

// partition records one partition: it reads its stream and appends to it.
type partition struct {
	s      *Service
	id     int
	stream string
	cancel context.CancelFunc
	kick   chan struct{}

	mu  sync.Mutex
	rec *claim.Recorder
	// read is set once a read has found the end of the stream; readAt is when
	// the last such read began.
	read    bool
	readAt  time.Time
	waiters map[claim.Waiter]chan claim.Reply
	first   bool
	busy    bool
	tried   time.Time
}

// assign takes up the partitions for which the instance stands among the first
// and drops the others. The caller holds the service's lock.
func (s *Service) assign(now time.Time) {
	for id := range s.cfg.Partitions {
		ids := s.roles.Ranked(claim.StreamName(id), s.cfg.Recorders)
		place := slices.Index(ids, s.cfg.Self.Instance)
		p := s.partitions[id]
		switch {
		case place >= 0 && p == nil:
			p = s.takePartition(id, now)
			p.setFirst(place == 0)
		case place >= 0:
			p.setFirst(place == 0)
		case p != nil && p.idle():
			p.cancel()
			delete(s.partitions, id)
		}
	}
}

func (s *Service) takePartition(id int, now time.Time) *partition {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &partition{
		s: s, id: id, stream: claim.StreamName(id), cancel: cancel,
		kick: make(chan struct{}, 1), waiters: map[claim.Waiter]chan claim.Reply{},
		rec: claim.NewRecorder(s.cfg.recorder(), claim.NewFold(0), now),
	}
	s.partitions[id] = p
	s.spawn(func(context.Context) { p.tail(ctx) })
	s.spawn(func(context.Context) { p.appendLoop(ctx) })
	return p
}

// setFirst says whether this instance stands first for the partition. One that
// does not appends at a part of the rate, so that claims that are handed to
// both do not double the load of a slow log.
func (p *partition) setFirst(first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first = first
	rate := p.s.cfg.recorder().AppendRate
	if !first {
		rate /= standbyShare
	}
	p.rec.SetAppendRate(rate)
}

func (p *partition) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec.Len() == 0
}

// record appends an entry, with others, and waits until it is read back.
func (p *partition) record(ctx context.Context, e claim.Entry) (claim.Reply, logservice.Offset, error) {
	p.mu.Lock()
	if rep, ok := p.rec.Decided(e); ok && p.read {
		defer p.mu.Unlock()
		return rep, p.rec.End(), nil
	}
	w, ok := claim.Waiter(0), false
	if p.read {
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
	case p.kick <- struct{}{}:
	default:
	}
}

func (p *partition) end() logservice.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec.End()
}

// get returns what the stream says of a key, if it is known whole.
func (p *partition) get(key operation.Key) (claim.Op, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.rec.Fold().Covered() || !p.read {
		return claim.Op{}, false
	}
	return p.rec.Fold().Get(key)
}

// answer adds to a survey's answer what the recorder knows.
func (p *partition) answer(a *claim.SurveyAnswer, key operation.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Claimants = p.rec.Claimants(key)
	a.Covered = p.rec.Fold().Covered() && p.read
	a.Age = p.s.now().Sub(p.readAt)
	a.Next = p.rec.End()
	a.Op, _ = p.rec.Fold().Get(key)
}

// appendLoop sends the recorder's appends, one at a time.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		p.mu.Lock()
		batch, entries := p.rec.Next(p.s.now())
		idle := idlePoll
		switch {
		case p.rec.Queued() > 0:
			idle = p.s.cfg.recorder().WithDefaults().Linger
		case p.rec.Len() > 0:
			idle = duePoll
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
		case <-p.kick:
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

// tail reads the stream until the partition is dropped.
func (p *partition) tail(ctx context.Context) {
	for ctx.Err() == nil {
		began := p.s.now()
		b, err := p.s.cfg.Log.Read(ctx, p.stream, p.end(), readLimit, p.patience())
		switch {
		case errors.Is(err, logservice.ErrExpired):
			p.restart(b.First)
		case err != nil:
			logFailure("read failed", err, "stream", p.stream)
			wait.For(ctx, readBackoff)
		default:
			p.take(b, began)
		}
	}
}

// patience is how long a read may wait for records. Until the stream was read
// to its end once, it does not wait: a stream may be empty.
func (p *partition) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.read {
		return 0
	}
	return readWait
}

// restart begins anew where the log now begins.
func (p *partition) restart(first logservice.Offset) {
	klog.InfoS("claims expired before they were read", "stream", p.stream, "first", first)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.Restart(claim.NewFold(first), p.s.now())
	p.read = false
}

// take applies a batch and answers those who waited for its entries.
func (p *partition) take(b logservice.Batch, began time.Time) {
	p.mu.Lock()
	for _, r := range b.Records {
		rec, err := claim.Decode(r)
		if err != nil {
			klog.ErrorS(err, "record skipped", "stream", p.stream, "offset", r.Offset)
		}
		p.rec.Read(p.s.now(), rec)
	}
	if p.rec.End() >= b.Next {
		p.read = true
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
	p.s.learnEnd(p.id, end)
}

// maintain forgets what has expired, records the loss of claims whose holder
// has ended, and appends checkpoints. It returns the unresolved outcomes, if
// this instance stands first for the partition.
func (p *partition) maintain(now time.Time) int {
	gone := p.gone(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	fold := p.rec.Fold()
	fold.Sweep()
	if !p.leads() {
		return 0
	}
	p.presume(now, gone)
	p.checkpoint(now)
	return len(fold.Unresolved(""))
}

// leads tells whether this instance stands first and knows the history. The
// caller holds the lock.
func (p *partition) leads() bool {
	return p.first && p.read && p.rec.Fold().Covered()
}

// gone returns the live claims whose holder has certainly ended.
func (p *partition) gone(now time.Time) []claim.Op {
	p.mu.Lock()
	live := p.rec.Fold().Live()
	p.mu.Unlock()
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return slices.DeleteFunc(live, func(op claim.Op) bool {
		return !p.s.history.Superseded(now, op.Claim.Holder)
	})
}

// presume records as unknown what the holders that have ended left open.
func (p *partition) presume(now time.Time, gone []claim.Op) {
	for _, op := range gone {
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
	if p.busy || now.Sub(p.tried) < interval/10 || !p.rec.Fold().CheckpointDue(now, interval) {
		return
	}
	p.busy = true
	p.tried = now
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
		p.busy = false
	})
}

func offset(n int64) logservice.Offset { return logservice.Offset(n) }

// ownEnds takes over how far this instance has read its partitions.
func (s *Service) ownEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.partitions {
		s.ends[id] = max(s.ends[id], p.end())
	}
}
