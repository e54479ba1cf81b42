package statesync

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
)

const (
	// roleCheckInterval is how often an instance checks whether it has to read the store, and startCheckInterval
	// while it has just started.
	roleCheckInterval  = 100 * time.Millisecond
	startCheckInterval = 10 * time.Millisecond
	// maxConfirmationDelay is the time beyond the wait of a read after which a reader has told its result: until a
	// read is late, and two heartbeats.
	maxConfirmationDelay = lateReadDelay + 600*time.Millisecond
)

// updateRole updates and returns whether this instance reads the store now.
func (f *Follower) updateRole() bool {
	v := f.opts.Peers()
	own := f.own()
	f.mu.Lock()
	defer f.mu.Unlock()
	before, reason := f.role.Reads, f.decision.Reason
	f.role, f.decision = freshness.Decide(f.freshness, f.role, own, v)
	if f.decision.Reason != reason {
		eventlog.Info(eventlog.ReaderRole, "reads", f.role.Reads, "why", f.decision.Reason, "reader", f.decision.Reader, "peers", len(v.Members))
	}
	if f.role.Reads != before {
		// Results from an earlier period as a reader are outdated.
		f.readings = [streamCount]freshness.Reading{}
		f.answeredSince = time.Time{}
	}
	return f.role.Reads
}

// nextRoleCheck returns the time until the role has to be checked again.
func (f *Follower) nextRoleCheck() time.Duration {
	f.mu.Lock()
	d := f.decision
	f.mu.Unlock()
	switch {
	case d.Reason == freshness.Starts:
		return startCheckInterval
	case d.Until.IsZero():
		return roleCheckInterval
	}
	return min(max(time.Until(d.Until), startCheckInterval), roleCheckInterval)
}

// own returns what this instance has itself.
func (f *Follower) own() freshness.Own {
	if f.opts.State == nil {
		return freshness.Own{}
	}
	return freshness.Own{
		HasState: f.hasState(Documents) && f.hasState(Targets),
		Epoch:    f.opts.State.epoch(),
		Loads:    f.LogState() == mesh.LogLoading,
	}
}
