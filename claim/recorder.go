package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// outcomeReserve is the divisor of MaxPending for the share reserved for
// outcomes, so that running operations can be recorded when claims are refused.
const outcomeReserve = 4

// logDownFailures is the number of consecutive failed appends after which the
// log counts as down.
const logDownFailures = 2

// Waiter identifies a caller that waits for an entry to be read back.
type Waiter uint64

// Reply is the result for a waiter.
type Reply struct {
	Waiter  Waiter
	Verdict Verdict
	// Op is the state of the key; its State is 0 if there is none.
	Op Op
}

type pending struct {
	entry   Entry
	since   time.Time
	waiters []Waiter
	batch   uint64
	order   Waiter
	// retryTime is when the entry may be appended again; zero while it is
	// queued or its append is in progress.
	retryTime time.Time
	// mayBeAppended is set once an append of the entry has begun.
	mayBeAppended bool
}

// Recorder batches entries of one partition into appends and replies to the
// waiters once the entries have been read back. It is not safe for use by
// several goroutines.
type Recorder struct {
	cfg       RecorderConfig
	fold      *Fold
	pending   map[identity]*pending
	queue     []identity
	waiter    Waiter
	batch     uint64
	appending bool
	tokens    float64
	refill    time.Time
	replies   []Reply
	// failures counts consecutive failed appends.
	failures int
	// retryTime is when the next entry may be appended again; zero if none.
	retryTime time.Time
	// oldest is the start of the current wait without any entry read back.
	oldest time.Time
}

// NewRecorder returns a recorder over a fold.
func NewRecorder(cfg RecorderConfig, fold *Fold, now time.Time) *Recorder {
	cfg = cfg.WithDefaults()
	return &Recorder{
		cfg: cfg, fold: fold, pending: map[identity]*pending{},
		tokens: float64(cfg.AppendBurst), refill: now,
	}
}

// SetAppendRate sets the maximum number of appends per second.
func (r *Recorder) SetAppendRate(rate float64) { r.cfg.AppendRate = rate }

// Fold returns the partition's state as read so far.
func (r *Recorder) Fold() *Fold { return r.fold }

// Restart replaces a fold whose next record has expired. Entries not yet
// read back are appended again.
func (r *Recorder) Restart(fold *Fold, now time.Time) {
	r.fold = fold
	for _, p := range r.pending {
		if p.batch != 0 {
			p.retryTime = now.Add(r.cfg.RetryAppend)
		}
	}
	r.retryAt(now.Add(r.cfg.RetryAppend))
}

// Queued returns how many entries wait to be appended.
func (r *Recorder) Queued() int { return len(r.queue) }

// Submitted reports whether an entry is already pending.
func (r *Recorder) Submitted(e Entry) bool { return r.pending[e.identity()] != nil }

// Len returns the number of pending entries.
func (r *Recorder) Len() int { return len(r.pending) }

// Submit queues an entry and returns its waiter. It returns false, without
// appending the entry, if the recorder is full or lacks the partition's history.
func (r *Recorder) Submit(now time.Time, e Entry) (Waiter, bool) {
	if !r.fold.Covered() || !r.hasRoom(now, &e) {
		return 0, false
	}
	r.waiter++
	id := e.identity()
	p := r.pending[id]
	if p == nil {
		if len(r.pending) == 0 {
			r.oldest = now
		}
		p = &pending{entry: e, since: now, order: r.waiter}
		r.pending[id] = p
		r.queue = append(r.queue, id)
	}
	p.waiters = append(p.waiters, r.waiter)
	return r.waiter, true
}

// Decided returns the reply to a claim that would lose according to the records
// read so far, so that it needs no append.
func (r *Recorder) Decided(e Entry) (Reply, bool) {
	op, ok := r.fold.Get(e.Key)
	if !r.fold.Covered() || !ok || e.Kind != Claim {
		return Reply{}, false
	}
	if op.Claim != e.Claim && op.State == operation.NotRun && e.Base >= op.Withdrawn {
		return Reply{}, false
	}
	return r.reply(0, &e), true
}

func (r *Recorder) hasRoom(now time.Time, e *Entry) bool {
	if r.pending[e.identity()] != nil {
		return true
	}
	if e.Kind != Claim {
		return len(r.pending) < r.cfg.MaxPending
	}
	if len(r.pending) >= r.cfg.MaxPending-r.cfg.MaxPending/outcomeReserve || r.stalled(now) {
		return false
	}
	return r.fold.Len() < r.cfg.MaxKeys && r.fold.Size() < r.cfg.MaxSize
}

// stalled reports whether entries have waited for too long: MaxWait, or
// RetryAppend if that is shorter and the log counts as down.
func (r *Recorder) stalled(now time.Time) bool {
	limit := r.cfg.MaxWait
	if r.failures >= logDownFailures {
		limit = min(limit, r.cfg.RetryAppend)
	}
	return !r.oldest.IsZero() && now.Sub(r.oldest) > limit
}

// Claimants returns the holders whose claims for a key wait here.
func (r *Recorder) Claimants(key operation.Key) []fleet.Holder {
	var list []fleet.Holder
	for _, p := range r.pending {
		if p.entry.Kind == Claim && p.entry.Key == key {
			list = append(list, p.entry.Claim.Holder)
		}
	}
	return list
}

// Cancel removes a waiter. A claim without waiters that was never passed to an
// append is dropped.
func (r *Recorder) Cancel(e Entry, w Waiter) {
	p := r.pending[e.identity()]
	if p == nil {
		return
	}
	for i, v := range p.waiters {
		if v == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	if len(p.waiters) == 0 && !p.mayBeAppended && e.Kind == Claim {
		delete(r.pending, e.identity())
		if len(r.pending) == 0 {
			r.oldest = time.Time{}
		}
	}
}

// Next returns the entries of the next append and its number, or none if no
// append is due. Only one append is in progress at a time; Appended ends it.
func (r *Recorder) Next(now time.Time) (uint64, []Entry) {
	r.requeue(now)
	if r.appending || !r.appendDue(now) || !r.takeToken(now) {
		return 0, nil
	}
	r.batch++
	var entries []Entry
	taken, size := 0, 0
	for _, id := range r.queue {
		p := r.pending[id]
		if p == nil {
			taken++
			continue
		}
		size += p.entry.size()
		if len(entries) == r.cfg.MaxBatch || size > r.cfg.MaxRecord && len(entries) > 0 {
			break
		}
		taken++
		p.batch = r.batch
		p.mayBeAppended = true
		entries = append(entries, p.entry)
	}
	r.queue = append(r.queue[:0], r.queue[taken:]...)
	if len(entries) == 0 {
		return 0, nil
	}
	r.appending = true
	return r.batch, entries
}

// requeue queues the entries whose append apparently had no effect, in their
// original order.
func (r *Recorder) requeue(now time.Time) {
	if r.retryTime.IsZero() || now.Before(r.retryTime) {
		return
	}
	r.retryTime = time.Time{}
	var ids []identity
	for id, p := range r.pending {
		if p.batch == 0 || p.retryTime.IsZero() {
			continue
		}
		if now.Before(p.retryTime) {
			r.retryAt(p.retryTime)
			continue
		}
		p.retryTime = time.Time{}
		p.batch = 0
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b identity) int { return cmp.Compare(r.pending[a].order, r.pending[b].order) })
	r.queue = append(r.queue, ids...)
}

// retryAt schedules the next run of requeue.
func (r *Recorder) retryAt(t time.Time) {
	if r.retryTime.IsZero() || t.Before(r.retryTime) {
		r.retryTime = t
	}
}

// appendDue reports whether a batch is full or an entry has lingered long enough.
func (r *Recorder) appendDue(now time.Time) bool {
	if len(r.queue) >= r.cfg.MaxBatch {
		return true
	}
	for _, id := range r.queue {
		p := r.pending[id]
		if p != nil && now.Sub(p.since) >= r.linger(p.entry.Kind) {
			return true
		}
	}
	return false
}

// linger returns how long an entry may wait for others to share its append.
func (r *Recorder) linger(k Kind) time.Duration {
	if k == Claim {
		return r.cfg.Linger
	}
	return r.cfg.OutcomeLinger
}

func (r *Recorder) takeToken(now time.Time) bool {
	if d := now.Sub(r.refill); d > 0 {
		r.tokens = min(r.tokens+d.Seconds()*r.cfg.AppendRate, float64(r.cfg.AppendBurst))
		r.refill = now
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Appended ends an append. After a failure the entries may still be in
// the log: they are appended again if not read back within RetryAppend.
func (r *Recorder) Appended(now time.Time, batch uint64, err error) {
	r.appending = false
	r.failures++
	if err == nil {
		r.failures = 0
	}
	if err == nil && r.fold.Covered() {
		return
	}
	for _, p := range r.pending {
		if p.batch == batch {
			p.retryTime = now.Add(r.cfg.RetryAppend)
		}
	}
	r.retryAt(now.Add(r.cfg.RetryAppend))
}

// Read applies the next record of the stream and resolves its entries.
func (r *Recorder) Read(now time.Time, rec Record) {
	if rec.Offset < r.fold.Next() {
		return
	}
	r.fold.Apply(rec)
	if !r.fold.Covered() {
		return
	}
	for i := range rec.Entries {
		r.settle(now, &rec.Entries[i])
	}
}

func (r *Recorder) settle(now time.Time, e *Entry) {
	p := r.pending[e.identity()]
	if p == nil {
		return
	}
	delete(r.pending, e.identity())
	r.oldest = now
	if len(r.pending) == 0 {
		r.oldest = time.Time{}
	}
	for _, w := range p.waiters {
		r.replies = append(r.replies, r.reply(w, &p.entry))
	}
}

func (r *Recorder) reply(w Waiter, e *Entry) Reply {
	if e.Kind == Claim {
		v, op := r.fold.Verdict(e.Claim, e.Key, e.Digest)
		return Reply{Waiter: w, Verdict: v, Op: op}
	}
	op, _ := r.fold.Get(e.Key)
	return Reply{Waiter: w, Verdict: Done, Op: op}
}

// Replies returns the replies since the last call.
func (r *Recorder) Replies() []Reply {
	out := r.replies
	r.replies = nil
	return out
}

// End returns the offset up to which the stream has been read, which is the
// base of claims for new requests.
func (r *Recorder) End() logservice.Offset { return r.fold.Next() }
