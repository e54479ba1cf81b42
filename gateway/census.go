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
	// mostWindow is half of the time for which a number of instances is remembered.
	mostWindow = 15 * time.Second
	// censusLogEvery is the least time between lines on the number: while a fleet starts it
	// changes at each tick.
	censusLogEvery = time.Second
)

// census is how many instances share the slack of the retry budgets, as one of them knows.
type census struct {
	booted time.Time
	most   pastMost
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
	c.most.note(now, v.Instances())
	c.log(now, v)
}

// instances is how many share the slack; 0 if that is not known.
func (c *census) instances(now time.Time) int {
	if now.Sub(c.booted) < countedAfter {
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
	eventlog.Info(eventlog.InstancesCounted, "instances", n, "before", c.logged, "heard", len(v.Members), "named", v.Known,
		"zones", len(v.Zones), "age_ms", now.Sub(c.booted).Milliseconds())
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
