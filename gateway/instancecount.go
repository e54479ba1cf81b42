package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
)

const (
	// countStartDelay is how long after its start a process takes no share of the slack, since it
	// has found only some of the instances.
	countStartDelay = 2 * time.Second
	// discoveryTime is how long after its start a process that has met the fleet knows the names of most
	// instances, also if all started together.
	discoveryTime = 400 * time.Millisecond
	// settleTime is how long no new instance must have been found before a process relies on its
	// own count. A process that has met a seed receives all names within a few heartbeats.
	settleTime = time.Second
	// isolationTimeout is how long a process takes no share of the slack if it hears from no
	// seed, no other zone and no instance with a confirmed count. After that its seeds are
	// considered lost and the instances found through the store complete.
	isolationTimeout = 30 * time.Second
	// recentMaxWindow is half of the longest time for which a count is kept.
	recentMaxWindow = 15 * time.Second
	// countLogInterval is the minimum time between log lines of the count, which changes at each
	// tick while a fleet starts.
	countLogInterval = time.Second
)

// instanceCount counts the instances that share the slack of the retry budgets.
//
// If the count is too low, the fleet exceeds its budget: a process that has found one instance in
// fifty would take fifty shares. So a process takes none until it has a reliable count: an
// instance with a confirmed count reported it, or the process has met the fleet and finds no new
// instances. This costs the slack of the first few seconds after a start.
type instanceCount struct {
	booted time.Time
	recent recentMax
	// maxFound is the highest count so far, and lastGrowth is when it last rose.
	maxFound   int
	lastGrowth time.Time
	// settled reports whether the process has met the fleet and then found no new instance for
	// settleTime.
	settled bool
	// reported is the highest confirmed count of a peer; 0 if there is none.
	reported int
	// lastLogged is the count logged last, at lastLoggedAt.
	lastLogged   int
	lastLoggedAt time.Time
}

// UpdateInstanceCount updates the instance count from the view.
func (k *Knowledge) UpdateInstanceCount(now time.Time, v mesh.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instanceCount.update(now, v)
}

// MaxInstances returns the largest number of instances that this one knows of, including those that are
// silent; 0 if it may know only few of them.
func (k *Knowledge) MaxInstances(now time.Time, v mesh.View) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := &k.instanceCount
	discovered := v.Joined && now.Sub(c.booted) >= discoveryTime
	if !discovered && v.MaxReportedInstances == 0 && c.ownCount(now) == 0 {
		return 0
	}
	return max(v.Instances(), v.MaxReportedInstances, c.recent.value())
}

// instances returns the number of instances that share the slack; 0 if unknown.
func (k *Knowledge) instances(now time.Time) int { return k.instanceCount.instances(now) }

func (c *instanceCount) update(now time.Time, v mesh.View) {
	n := v.Instances()
	if n > c.maxFound {
		c.maxFound, c.lastGrowth = n, now
	}
	c.reported = v.MaxReportedInstances
	c.settled = c.settled || (v.Joined && now.Sub(c.lastGrowth) >= settleTime)
	c.recent.record(now, n)
	c.log(now, v)
}

// instances returns the number of instances that share the slack; 0 if unknown.
func (c *instanceCount) instances(now time.Time) int {
	if now.Sub(c.booted) < countStartDelay {
		return 0
	}
	return max(c.ownCount(now), c.reported)
}

// ownCount returns the count from this instance's own view; 0 if it may be incomplete. Only this
// count is sent to others: a count passed on from peer to peer would outlive the instances.
func (c *instanceCount) ownCount(now time.Time) int {
	if !c.settled && now.Sub(c.booted) < isolationTimeout {
		return 0
	}
	return c.recent.value()
}

// log writes the instance count and its sources.
func (c *instanceCount) log(now time.Time, v mesh.View) {
	n := c.instances(now)
	if n == c.lastLogged || now.Sub(c.lastLoggedAt) < countLogInterval {
		return
	}
	eventlog.Info(eventlog.InstanceCountChanged, "instances", n, "before", c.lastLogged, "heard", len(v.Members), "named", v.PeerCount,
		"zones", len(v.Zones), "met", v.Joined, "told", v.MaxReportedInstances, "age_ms", now.Sub(c.booted).Milliseconds())
	c.lastLogged, c.lastLoggedAt = n, now
}

// recentMax holds the highest recent instance count. Instances that fell silent may still spend
// budget.
type recentMax struct {
	current, previous int
	windowStart       time.Time
}

func (m *recentMax) record(now time.Time, n int) {
	if now.Sub(m.windowStart) > recentMaxWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	m.current = max(m.current, n)
}

// value returns the highest recent count; 0 if none was recorded.
func (m *recentMax) value() int { return max(m.current, m.previous) }
