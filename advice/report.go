// Package advice is how an instance tells its operators what targets say of themselves in their answers.
package advice

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Path is where an instance lists what targets say of themselves, and below it, by the target's ID, where it
// lifts that.
const Path = "/advice"

// Report is what a target says of itself, as far as an instance acts on it.
type Report struct {
	Target  fleet.TargetID       `json:"target"`
	Service document.ServiceName `json:"service,omitempty"`
	// LeavingSince is since when some instance knows that the target leaves.
	LeavingSince *time.Time `json:"leaving_since,omitempty"`
	// BackoffUntil is until when this instance backs off from the target.
	BackoffUntil *time.Time `json:"backoff_until,omitempty"`
	// Rate is in requests a second from all instances together, 0 if the target names none.
	Rate float64 `json:"rate,omitempty"`
	// RateHolder is the instance that hands the rate out, if it is known.
	RateHolder string `json:"rate_holder,omitempty"`
}
