package quarantine

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Process is one process of a target.
type Process struct {
	Target fleet.TargetID
	// Born is the start time in milliseconds since the Unix epoch; 0 if unknown.
	Born int64
}

// Loss is an attempt whose response was lost with its connection: the process may have crashed.
type Loss struct {
	Process Process
	// Began and Ended are the start and end of the attempt.
	Began, Ended time.Time
}

// Evidence is the information on one content that instances exchange.
type Evidence struct {
	Content Fingerprint
	// Losses has at most one loss per process.
	Losses []Loss
	// Served is when a target last served the content; zero if no success is known.
	Served time.Time
	// Upheld reports that the quarantine had settled at instances that have since been lost. Early evidence
	// on other contents does not lift such a quarantine.
	Upheld bool
}

// Standing determines how a request may be forwarded.
type Standing uint8

const (
	// Unsuspected contents have no losses that count against them.
	Unsuspected Standing = iota
	// Suspected contents may have crashed one target. They go to one target at a time.
	Suspected
	// Restricted contents may have crashed two targets. They go to one target and are not retried at another.
	Restricted
	// Quarantined contents crash their targets and are not forwarded.
	Quarantined
)

var standingNames = [...]string{"unsuspected", "suspected", "restricted", "quarantined"}

// String returns the name of the standing in logs and commands.
func (s Standing) String() string { return standingNames[s] }

// Change is a change of the standing of a content.
type Change struct {
	Evidence
	Before, Now Standing
	// From names the source of the evidence: a peer, a target, self, time or operator.
	From string
}
