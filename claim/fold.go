package claim

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// Record is one decoded record of a partition's stream.
type Record struct {
	Offset     logservice.Offset
	Time       time.Time
	Entries    []Entry
	Checkpoint *Part
}

// opOverhead estimates the memory of an Op without its variable parts, in bytes.
const opOverhead = 400

// Fold is the state of one partition: the result of its records in order. Two
// folds that are covered and have the same next offset are equal.
type Fold struct {
	ops map[operation.Key]*Op
	// open holds the live and the unresolved operations.
	open map[operation.Key]*Op
	size int64
	next logservice.Offset
	// now is the latest time of the log's clock among the records; it never
	// decreases.
	now     time.Time
	covered bool
	// pending keeps records that were read before any covering checkpoint.
	pending []Record
	first   logservice.Offset
	parts   partSet
	// checkpointed is the latest log time of a complete checkpoint.
	checkpointed time.Time
	// began is the log time of the first record that was applied.
	began  time.Time
	expiry map[int64][]operation.Key
}

// NewFold returns a fold that starts at the first retained record. The
// history is complete from offset 0; otherwise the fold needs a checkpoint.
func NewFold(first logservice.Offset) *Fold {
	return &Fold{
		ops: map[operation.Key]*Op{}, open: map[operation.Key]*Op{}, next: first, first: first,
		covered: first == 0, expiry: map[int64][]operation.Key{},
		parts: partSet{keep: first != 0},
	}
}

// Next returns the offset after the last record that was applied.
func (f *Fold) Next() logservice.Offset { return f.next }

// Covered reports whether the fold has the whole history of its keys.
func (f *Fold) Covered() bool { return f.covered }

// Len returns the number of keys held.
func (f *Fold) Len() int { return len(f.ops) }

// Size returns an estimate of the memory held, in bytes.
func (f *Fold) Size() int64 { return f.size }

// Get returns the unexpired operation of a key.
func (f *Fold) Get(key operation.Key) (Op, bool) {
	op, ok := f.ops[key]
	if !ok || op.expired(f.now) {
		return Op{}, false
	}
	return *op, true
}

// Unresolved returns the operations that wait for an operator, ordered by
// key. An empty customer selects all.
func (f *Fold) Unresolved(customer fleet.CustomerID) []Op {
	return f.filterOpen(func(op *Op) bool {
		return op.Unresolved() && (customer == "" || customer == op.Key.Customer)
	})
}

// Live returns the claims without an outcome, ordered by key.
func (f *Fold) Live() []Op {
	return f.filterOpen(func(op *Op) bool { return op.State == operation.Claimed })
}

// filterOpen returns the open operations that satisfy cond, ordered by key.
func (f *Fold) filterOpen(cond func(op *Op) bool) []Op {
	var list []Op
	for _, op := range f.open {
		if cond(op) {
			list = append(list, *op)
		}
	}
	slices.SortFunc(list, func(a, b Op) int { return compareKeys(a.Key, b.Key) })
	return list
}

// updateOpen updates the index of live and unresolved operations.
func (f *Fold) updateOpen(op *Op) {
	if op.State == operation.Claimed || op.Unresolved() {
		f.open[op.Key] = op
		return
	}
	delete(f.open, op.Key)
}

// Apply applies the next record. Records must arrive in order without gaps;
// those already applied are skipped.
func (f *Fold) Apply(r Record) {
	if r.Offset < f.next {
		return
	}
	if r.Offset > f.next {
		panic("claim: gap in the records of a partition")
	}
	f.next = r.Offset + 1
	if !f.covered {
		f.pending = append(f.pending, r)
		f.tryCover(r)
		return
	}
	f.applyRecord(r)
}

func (f *Fold) applyRecord(r Record) {
	if r.Time.After(f.now) {
		f.now = r.Time
	}
	if f.began.IsZero() {
		f.began = f.now
	}
	for i := range r.Entries {
		f.applyEntry(r.Offset, &r.Entries[i])
	}
	if r.Checkpoint == nil {
		return
	}
	if r.Checkpoint.isAdoption() {
		f.load(nil)
		f.checkpointed = f.now
		return
	}
	if f.parts.add(r.Checkpoint) {
		f.checkpointed = f.now
	}
}

// tryCover checks whether a record completes a checkpoint from which the fold
// can start. If so, it loads the checkpoint and applies the records after it.
func (f *Fold) tryCover(r Record) {
	if r.Checkpoint == nil {
		return
	}
	upto := r.Checkpoint.Upto
	switch {
	case r.Checkpoint.isAdoption():
		upto = r.Offset
	case !f.parts.add(r.Checkpoint) || upto < f.first:
		return
	}
	f.load(f.parts.done)
	f.parts = partSet{}
	f.covered = true
	pending := f.pending
	f.pending = nil
	for _, p := range pending {
		if p.Offset >= upto {
			f.applyRecord(p)
		}
	}
	f.checkpointed = f.now
}

// transition applies an event that the caller has checked to be valid.
func (f *Fold) transition(op *Op, ev operation.Event, e *Entry) {
	next, err := op.State.Next(ev)
	if err != nil {
		panic("claim: " + err.Error())
	}
	f.size -= op.size()
	op.State = next
	op.Decided = f.now
	op.Answer = e.Answer
	if e.Target != "" {
		op.Target = e.Target
	}
	f.size += op.size()
	f.updateOpen(op)
	if next != operation.Unknown {
		f.expire(op)
	}
}

func (f *Fold) put(op *Op) {
	f.ops[op.Key] = op
	f.size += op.size()
	f.updateOpen(op)
}

func (f *Fold) remove(op *Op) {
	delete(f.ops, op.Key)
	delete(f.open, op.Key)
	f.size -= op.size()
}

func (o *Op) size() int64 {
	n := opOverhead + len(o.Key.Name) + len(o.Digest)
	if o.Answer != nil {
		n += len(o.Answer.Body) + opOverhead
	}
	return int64(n)
}

// expire schedules the removal of an operation.
func (f *Fold) expire(op *Op) {
	minute := op.Decided.Add(op.Window).Unix()/60 + 1
	f.expiry[minute] = append(f.expiry[minute], op.Key)
}

// Sweep drops the operations whose repeat window is over. It only frees
// memory; the results of the fold do not change.
func (f *Fold) Sweep() {
	for minute, keys := range f.expiry {
		if minute*60 >= f.now.Unix() {
			continue
		}
		for _, key := range keys {
			if op := f.ops[key]; op != nil && op.expired(f.now) {
				f.remove(op)
			}
		}
		delete(f.expiry, minute)
	}
}

// Verdict returns the verdict on a claim that has been read from the stream.
func (f *Fold) Verdict(id ID, key operation.Key, digest operation.Digest) (Verdict, Op) {
	op, ok := f.Get(key)
	switch {
	case !ok:
		return Outdated, Op{}
	case op.Claim == id && op.State == operation.Claimed:
		return Won, op
	case op.Claim == id:
		return Lost, op
	case op.State == operation.NotRun:
		return Outdated, op
	case op.Digest != digest:
		return Mismatch, op
	}
	return Lost, op
}
