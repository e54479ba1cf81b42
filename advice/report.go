// Package advice defines the report of what targets announce about themselves in their responses, as an
// instance serves it to operators.
package advice

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Path is the HTTP path of the list of reports. Below it, under the ID of a target, that target's
// announcements are lifted.
const Path = "/advice"

// Report holds the announcements of a target that an instance applies.
type Report struct {
	Target  fleet.TargetID       `json:"target"`
	Service document.ServiceName `json:"service,omitempty"`
	// LeavingSince is the time at which an instance first received that the target is leaving.
	LeavingSince *time.Time `json:"leaving_since,omitempty"`
	// BackoffUntil is the time until which this instance backs off from the target.
	BackoffUntil *time.Time `json:"backoff_until,omitempty"`
	// Rate is in requests per second from all instances together, 0 if the target announces none.
	Rate float64 `json:"rate,omitempty"`
	// RateHolder is the instance that grants requests within the rate, if known.
	RateHolder string `json:"rate_holder,omitempty"`
}
