package rejection

import (
	"hash/fnv"
	"math/bits"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// SlotLength is the resolution of counts, Slots the number of slots in a report.
	SlotLength = 100 * time.Millisecond
	Slots      = 10
	// Window is the time for which attempts count.
	Window = Slots * SlotLength
)

// Key names the targets of a service in one zone.
type Key struct {
	Service document.ServiceName
	Zone    fleet.Zone
}

// Counts are the attempts that targets received and those of them that they rejected as not run.
type Counts struct {
	Attempts, Rejections int
}

func (c *Counts) add(o Counts) {
	c.Attempts += o.Attempts
	c.Rejections += o.Rejections
}

// share returns the share of rejected attempts.
func (c Counts) share() float64 {
	if c.Attempts == 0 {
		return 0
	}
	return float64(c.Rejections) / float64(c.Attempts)
}

// TargetSet is a set of targets by hash. It holds at most 64, so that in large services several targets share
// an element.
type TargetSet uint64

func setOf(id fleet.TargetID) TargetSet {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return 1 << (h.Sum64() % 64)
}

func (s TargetSet) len() int { return bits.OnesCount64(uint64(s)) }

// Report is what an instance has counted in the last Window.
type Report struct {
	Key
	// Elapsed is the time since the begin of the newest slot.
	Elapsed time.Duration
	// Slots are the counts, newest first.
	Slots [Slots]Counts
	// Tried are the targets that received attempts, Rejecting those that rejected some.
	Tried, Rejecting TargetSet
}

func (r *Report) total() Counts {
	var sum Counts
	for _, c := range r.Slots {
		sum.add(c)
	}
	return sum
}

// slot is what happened in one slot.
type slot struct {
	Counts
	tried, rejecting TargetSet
}

// series are the slots of this instance's own attempts, each at its number modulo Slots.
type series struct {
	slots  [Slots]slot
	newest int64
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(SlotLength) }

func slotBegin(number int64) time.Time { return time.Unix(0, number*int64(SlotLength)) }

// advance clears the slots that have left the window.
func (s *series) advance(now time.Time) {
	current := slotNumber(now)
	if current < s.newest { // the clock was set back
		*s = series{newest: current}
	}
	for steps := min(current-s.newest, Slots); steps > 0; steps-- {
		s.slots[(current-steps+1)%Slots] = slot{}
	}
	s.newest = max(s.newest, current)
}

func (s *series) record(now time.Time, id fleet.TargetID, rejected bool) {
	s.advance(now)
	current := &s.slots[s.newest%Slots]
	current.Attempts++
	current.tried |= setOf(id)
	if rejected {
		current.Rejections++
		current.rejecting |= setOf(id)
	}
}

func (s *series) report(now time.Time, key Key) Report {
	s.advance(now)
	r := Report{Key: key, Elapsed: now.Sub(slotBegin(s.newest))}
	for i := range r.Slots {
		c := &s.slots[(s.newest-int64(i))%Slots]
		r.Slots[i] = c.Counts
		r.Tried |= c.tried
		r.Rejecting |= c.rejecting
	}
	return r
}
