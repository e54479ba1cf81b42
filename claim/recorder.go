package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// outcomeReserve is the share of MaxPending that claims leave to outcomes, as
// a divisor: outcomes of running work must find room when claims do not.
const outcomeReserve = 4

// sureFailures is how many appends in a row must fail for the log to count as
// down.
const sureFailures = 2

// Waiter names one who waits for an entry to be read back.
type Waiter uint64

// Reply is what a waiter is told.
type Reply struct {
	Waiter  Waiter
	Verdict Verdict
	// Op is what the stream says of the key; its State is 0 if nothing.
	Op Op
}

type pending struct {
	entry   Entry
	since   time.Time
	waiters []Waiter
	batch   uint64
	order   Waiter
	// again is when the entry may be appended again; zero while it waits in
	// the queue or its append is under way.
	again time.Time
	// mayLand is set once an append of the entry has begun.
	mayLand bool
}

// Recorder gathers entries of one partition into appends and answers those
// who wait once the entries have been read back. It is not safe for use by
// several goroutines.
type Recorder struct {
	cfg     RecorderConfig
	fold    *Fold
	pending map[identity]*pending
	queue   []identity
	waiter  Waiter
	batch   uint64
	flying  bool
	tokens  float64
	refill  time.Time
	replies []Reply
	// failures counts appends that failed since one did not.
	failures int
	// again is when the next entry may be appended again; zero if none.
	again time.Time
	// oldest is since when entries have waited without one being read back.
	oldest time.Time
}

// NewRecorder returns a recorder over a fold, at a time.
func NewRecorder(cfg RecorderConfig, fold *Fold, now time.Time) *Recorder {
	cfg = cfg.WithDefaults()
	return &Recorder{
		cfg: cfg, fold: fold, pending: map[identity]*pending{},
		tokens: float64(cfg.AppendBurst), refill: now,
	}
}

// SetAppendRate changes the bound of appends a second.
func (r *Recorder) SetAppendRate(rate float64) { r.cfg.AppendRate = rate }

// Fold returns the partition's state as read so far.
func (r *Recorder) Fold() *Fold { return r.fold }

// Restart replaces a fold whose next record has expired. What waits to be
// read back is appended again.
func (r *Recorder) Restart(fold *Fold, now time.Time) {
	r.fold = fold
	for _, p := range r.pending {
		if p.batch != 0 {
			p.again = now.Add(r.cfg.RetryAppend)
		}
	}
	r.retryAt(now.Add(r.cfg.RetryAppend))
}

// Queued returns how many entries wait to be appended.
func (r *Recorder) Queued() int { return len(r.queue) }

// Submitted tells whether an entry waits here already.
func (r *Recorder) Submitted(e Entry) bool { return r.pending[e.identity()] != nil }

// Len returns how many entries wait.
func (r *Recorder) Len() int { return len(r.pending) }

// Submit takes an entry to append and returns who waits for it. It is refused
// (false) if the recorder is full or does not know the partition's history;
// then this recorder has not appended the entry.
func (r *Recorder) Submit(now time.Time, e Entry) (Waiter, bool) {
	if !r.fold.Covered() || !r.room(now, &e) {
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

// Known answers a claim without an append where what has been read decides it
// already: as it stands, the claim would lose.
func (r *Recorder) Known(e Entry) (Reply, bool) {
	op, ok := r.fold.Get(e.Key)
	if !r.fold.Covered() || !ok || e.Kind != Claim {
		return Reply{}, false
	}
	if op.Claim != e.Claim && op.State == operation.NotRun && e.Base >= op.Withdrawn {
		return Reply{}, false
	}
	return r.reply(0, &e), true
}

func (r *Recorder) room(now time.Time, e *Entry) bool {
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

// stalled tells whether entries have waited for too long: MaxWait, or the less
// of it the surer it is that the log is down.
func (r *Recorder) stalled(now time.Time) bool {
	limit := r.cfg.MaxWait
	if r.failures >= sureFailures {
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

// Cancel forgets a waiter. An entry that nobody waits for and that was never
// handed out for an append is dropped.
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
	if len(p.waiters) == 0 && !p.mayLand && e.Kind == Claim {
		delete(r.pending, e.identity())
		if len(r.pending) == 0 {
			r.oldest = time.Time{}
		}
	}
}

// Next returns the entries of the next append and its number, or none if no
// append is due. One append is under way at a time; Appended ends it.
func (r *Recorder) Next(now time.Time) (uint64, []Entry) {
	r.requeue(now)
	if r.flying || !r.due(now) || !r.token(now) {
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
		p.mayLand = true
		entries = append(entries, p.entry)
	}
	r.queue = append(r.queue[:0], r.queue[taken:]...)
	if len(entries) == 0 {
		return 0, nil
	}
	r.flying = true
	return r.batch, entries
}

// requeue takes up again what was appended without effect, as far as known,
// in the order in which it came.
func (r *Recorder) requeue(now time.Time) {
	if r.again.IsZero() || now.Before(r.again) {
		return
	}
	r.again = time.Time{}
	var ids []identity
	for id, p := range r.pending {
		if p.batch == 0 || p.again.IsZero() {
			continue
		}
		if now.Before(p.again) {
			r.retryAt(p.again)
			continue
		}
		p.again = time.Time{}
		p.batch = 0
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b identity) int { return cmp.Compare(r.pending[a].order, r.pending[b].order) })
	r.queue = append(r.queue, ids...)
}

// retryAt notes when requeue has something to do.
func (r *Recorder) retryAt(t time.Time) {
	if r.again.IsZero() || t.Before(r.again) {
		r.again = t
	}
}

// due tells whether a batch is full or an entry has lingered long enough.
func (r *Recorder) due(now time.Time) bool {
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

func (r *Recorder) token(now time.Time) bool {
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

// Appended ends an append. After a failure the entries may still have taken
// effect: they are awaited in the stream for RetryAppend, then appended again.
func (r *Recorder) Appended(now time.Time, batch uint64, err error) {
	r.flying = false
	r.failures++
	if err == nil {
		r.failures = 0
	}
	if err == nil && r.fold.Covered() {
		return
	}
	for _, p := range r.pending {
		if p.batch == batch {
			p.again = now.Add(r.cfg.RetryAppend)
		}
	}
	r.retryAt(now.Add(r.cfg.RetryAppend))
}

// Read applies the next record of the stream and settles what it carries.
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

// Replies returns what became known since the last call.
func (r *Recorder) Replies() []Reply {
	out := r.replies
	r.replies = nil
	return out
}

// End returns how far the stream has been read: the base of claims for
// requests that arrive from now on.
func (r *Recorder) End() logservice.Offset { return r.fold.Next() }
