package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
)

const (
	// countedAfter is how long a process takes no part of the slack: it knows only some of
	// those that share it.
	countedAfter = 2 * time.Second
	// settledAfter is for how long no instance may have been found before a process relies on
	// its own count: who has met a seed is told the names of all others within some heartbeats.
	settledAfter = time.Second
	// unmetFor is how long a process that hears none of its seeds, no other zone and nobody who
	// is sure of a number takes no part of the slack. After that its seeds are taken to be
	// gone for good, and those that it found by the store's addresses to be all.
	unmetFor = 30 * time.Second
	// mostWindow is half of the time for which a number of instances is remembered.
	mostWindow = 15 * time.Second
	// censusLogEvery is the least time between lines on the number: while a fleet starts it
	// changes at each tick.
	censusLogEvery = time.Second
)

// census is how many instances share the slack of the retry budgets, as one of them knows.
//
// A number that is too low makes the fleet spend more than its bound: a process that knows
// one in fifty would take fifty parts. So a process takes none until it has reason to
// know all: someone who is sure told it, or it has met the fleet and finds nobody new. What that
// costs is the slack of a few seconds after a start.
type census struct {
	booted time.Time
	most   pastMost
	// found is the most that were counted so far, and grewAt when that last rose.
	found  int
	grewAt time.Time
	// settled tells that it met the fleet and, at some moment, found nobody new for a while.
	settled bool
	told    int
	// logged is the number that was last logged, and loggedAt when.
	logged   int
	loggedAt time.Time
}

// Count takes in how many instances there are.
func (k *Knowledge) Count(now time.Time, v mesh.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.census.note(now, v)
}

// instances is how many share the slack; 0 if that is not known.
func (k *Knowledge) instances(now time.Time) int { return k.census.instances(now) }

func (c *census) note(now time.Time, v mesh.View) {
	n := v.Instances()
	if n > c.found {
		c.found, c.grewAt = n, now
	}
	c.told = v.MaxReportedInstances
	c.settled = c.settled || (v.Joined && now.Sub(c.grewAt) >= settledAfter)
	c.most.note(now, n)
	c.log(now, v)
}

// instances is how many share the slack; 0 if that is not known.
func (c *census) instances(now time.Time) int {
	if now.Sub(c.booted) < countedAfter {
		return 0
	}
	return max(c.own(now), c.told)
}

// own is how many there are by what this instance heard itself; 0 if it may know only some.
// This alone is told to others: a number that went round would outlive the instances.
func (c *census) own(now time.Time) int {
	if !c.settled && now.Sub(c.booted) < unmetFor {
		return 0
	}
	return c.most.number()
}

// log tells the number by which the slack is divided, and what it rests on.
func (c *census) log(now time.Time, v mesh.View) {
	n := c.instances(now)
	if n == c.logged || now.Sub(c.loggedAt) < censusLogEvery {
		return
	}
	eventlog.Info(eventlog.InstancesCounted, "instances", n, "before", c.logged, "heard", len(v.Members), "named", v.PeerCount,
		"zones", len(v.Zones), "met", v.Joined, "told", v.MaxReportedInstances, "age_ms", now.Sub(c.booted).Milliseconds())
	c.logged, c.loggedAt = n, now
}

// pastMost remembers the largest number of instances of the last while: those
// that are silent may still be spending.
type pastMost struct {
	now, before int
	since       time.Time
}

func (m *pastMost) note(now time.Time, n int) {
	if now.Sub(m.since) > mostWindow {
		m.before, m.now, m.since = m.now, 0, now
	}
	m.now = max(m.now, n)
}

// number is the largest number; 0 if none was noted.
func (m *pastMost) number() int { return max(m.now, m.before) }
