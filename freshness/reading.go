package freshness

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/mesh"
)

// Reading is what the reads of one stream by a reader have met. The zero value is that of a reader that has not read
// it yet.
type Reading struct {
	state mesh.LogState
	late  bool
	// answeredAt is when a read of changes was last answered.
	answeredAt time.Time
}

// Loading records that a part of the log's newest records has arrived.
func (r *Reading) Loading() { r.state, r.late = mesh.LogLoading, false }

// Answered records that a read of changes was answered.
func (r *Reading) Answered(now time.Time) {
	*r = Reading{state: mesh.LogAvailable, answeredAt: now}
}

// Failed records that a call was not answered.
func (r *Reading) Failed() { r.state, r.late = mesh.LogUnavailable, false }

// SetLate records whether the response to the present read is late.
func (r *Reading) SetLate(late bool) { r.late = late }

// State returns the state of the log by the last call.
func (r *Reading) State() mesh.LogState { return r.state }

// Unanswered returns the time since a read of changes was last answered; 0 if none was.
func (r *Reading) Unanswered(now time.Time) time.Duration {
	if r.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(r.answeredAt)
}

// Combined returns the state of the log that a reader tells, by its reads of all streams. It vouches for its
// followers only once changes of each stream were read: newest records alone say nothing of later changes.
func Combined(readings ...Reading) mesh.LogState {
	in := func(s mesh.LogState) bool {
		return slices.ContainsFunc(readings, func(r Reading) bool { return r.state == s })
	}
	switch {
	case in(mesh.LogLoading) && !in(mesh.LogUnavailable):
		return mesh.LogLoading
	case in(mesh.LogUnread):
		return mesh.LogUnread
	case in(mesh.LogUnavailable):
		return mesh.LogUnavailable
	case slices.ContainsFunc(readings, func(r Reading) bool { return r.late }):
		return mesh.LogLate
	}
	return mesh.LogAvailable
}
