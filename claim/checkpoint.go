package claim

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// Part is one record's share of a checkpoint: the state of a partition from
// its records before offset Upto.
type Part struct {
	Upto  logservice.Offset
	Time  time.Time
	Index int
	Count int
	Ops   []Op
	// Maker tells apart checkpoints that were made at the same offset.
	Maker string
	// Operator and Reason are set on an adoption: an operator accepted that
	// all history before this record is lost.
	Operator string
	Reason   string
}

// Checkpoint returns the fold's state in parts of at most partSize bytes,
// going by the estimate of Size. A fold that is not covered has none.
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

// Adoption returns the record by which an operator accepts that whatever was
// recorded before it is lost. Keys of that time may run again. Every fold
// forgets them, so that all recorders go on saying the same.
func Adoption(operator, reason string) Part {
	return Part{Count: 1, Maker: "operator", Operator: operator, Reason: reason}
}

func (p *Part) adoption() bool { return p.Operator != "" }

// sorted returns the unexpired operations by key.
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

// load starts the fold from a complete checkpoint.
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

// CheckpointDue tells whether the records since the last checkpoint need a
// new one, at a wall-clock time near the log's.
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
	// keep is set while the parts' operations are needed.
	keep bool
	key  partKey
	seen int
	done []*Part
}

type partKey struct {
	maker string
	upto  logservice.Offset
}

// add takes a part and tells whether its checkpoint is now complete. Parts of
// one checkpoint come in order; another maker's may come between, in which
// case the later maker's counts.
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
