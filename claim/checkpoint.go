package claim

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// Part is one part of a checkpoint, stored in one record. A checkpoint holds
// the state of a partition after all records before offset Upto.
type Part struct {
	Upto  logservice.Offset
	Time  time.Time
	Index int
	Count int
	Ops   []Op
	// Maker distinguishes checkpoints made at the same offset.
	Maker string
	// Operator and Reason are set on an adoption: an operator accepted the
	// loss of all history before this record.
	Operator string
	Reason   string
}

// Checkpoint returns the fold's state in parts of at most partSize bytes, as
// estimated by Op.size. It returns nil if the fold is not covered.
func (f *Fold) Checkpoint(maker string, partSize int64) []Part {
	if !f.covered {
		return nil
	}
	parts := []Part{{}}
	var size int64
	for _, op := range f.sorted() {
		last := &parts[len(parts)-1]
		if size += op.size(); size > partSize && len(last.Ops) > 0 {
			size = op.size()
			parts = append(parts, Part{})
			last = &parts[len(parts)-1]
		}
		last.Ops = append(last.Ops, *op)
	}
	for i := range parts {
		parts[i].Upto = f.next
		parts[i].Time = f.now
		parts[i].Index = i
		parts[i].Count = len(parts)
		parts[i].Maker = maker
	}
	return parts
}

// Adoption returns a checkpoint part by which an operator accepts the loss of
// all earlier records. Keys recorded before it may run again. Every fold drops
// them, so that all recorders keep the same state.
func Adoption(operator, reason string) Part {
	return Part{Count: 1, Maker: "operator", Operator: operator, Reason: reason}
}

func (p *Part) isAdoption() bool { return p.Operator != "" }

// sorted returns the unexpired operations, ordered by key.
func (f *Fold) sorted() []*Op {
	list := make([]*Op, 0, len(f.ops))
	for _, op := range f.ops {
		if !op.expired(f.now) {
			list = append(list, op)
		}
	}
	slices.SortFunc(list, func(a, b *Op) int { return compareKeys(a.Key, b.Key) })
	return list
}

// load replaces the fold's state with a complete checkpoint.
func (f *Fold) load(parts []*Part) {
	f.ops = map[operation.Key]*Op{}
	f.open = map[operation.Key]*Op{}
	f.size = 0
	for _, p := range parts {
		if p.Time.After(f.now) {
			f.now = p.Time
		}
		for i := range p.Ops {
			op := p.Ops[i]
			f.put(&op)
			if !op.Decided.IsZero() && op.State != operation.Unknown {
				f.expire(&op)
			}
		}
	}
}

// CheckpointDue reports whether the last checkpoint is older than interval. The
// wall clock now must be close to the log's clock.
func (f *Fold) CheckpointDue(now time.Time, interval time.Duration) bool {
	if !f.covered || f.next == 0 {
		return false
	}
	since := f.checkpointed
	if since.IsZero() {
		since = f.began
	}
	return now.Sub(since) > interval
}

// partSet collects the parts of checkpoints.
type partSet struct {
	// keep is set while the fold still needs the parts' operations.
	keep bool
	key  partKey
	seen int
	done []*Part
}

type partKey struct {
	maker string
	upto  logservice.Offset
}

// add records a part and reports whether its checkpoint is now complete. The
// parts of a checkpoint arrive in order. If another maker starts a checkpoint
// in between, the earlier one is discarded.
func (s *partSet) add(p *Part) bool {
	key := partKey{p.Maker, p.Upto}
	if p.Index == 0 {
		s.key = key
		s.seen = 0
		s.done = nil
	}
	if key != s.key || p.Index != s.seen {
		return false
	}
	s.seen++
	if s.keep {
		s.done = append(s.done, p)
	}
	return s.seen == p.Count
}
