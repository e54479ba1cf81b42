package publication

import (
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// Verdict is what the fold made of a record.
type Verdict string

const (
	// Accepted records are in force from their offset on.
	Accepted Verdict = "accepted"
	// Checkpointed records carry a part of a checkpoint; nothing changes.
	Checkpointed Verdict = "checkpoint"
	// Repeated records name a publication that was accepted before, which
	// Current is then the revision of, or refused before.
	Repeated Verdict = "repeated"
	// Conflict means that the record's base is no longer current.
	Conflict Verdict = "conflict"
	// HostTaken means that another customer's contract has the host.
	HostTaken Verdict = "host-taken"
	// UnknownService means that no contract has the target's service.
	UnknownService Verdict = "unknown-service"
	// WrongMove means that the target's state does not allow the announced
	// one, or that its address or zone would change.
	WrongMove Verdict = "wrong-move"
	// Invalid means a contract that contract.Check refuses, or a target
	// without valid address.
	Invalid Verdict = "invalid"
	// Malformed means data that is no record of the stream.
	Malformed Verdict = "malformed"
	// Stale means an offset that was applied before; nothing changes.
	Stale Verdict = "stale"
	// Gap means an offset above the next one; nothing changes.
	Gap Verdict = "gap"
)

// Decision is what the fold made of one record, and why.
type Decision struct {
	Offset  logservice.Offset `json:"offset"`
	Verdict Verdict           `json:"verdict"`
	// Kind and ID are those of the record; empty if Malformed.
	Kind Kind   `json:"kind,omitempty"`
	ID   string `json:"id,omitempty"`
	// Customer is set for contracts and targets.
	Customer fleet.CustomerID `json:"customer,omitempty"`
	// Target is set for targets.
	Target fleet.TargetID `json:"target,omitempty"`
	// Current is the revision in force at the decision, or NoRevision, and
	// CurrentID its publication.
	Current   logservice.Offset `json:"current"`
	CurrentID string            `json:"current_id,omitempty"`
	// Message says what was wrong, for a person.
	Message string `json:"message,omitempty"`
}

// Changed tells whether the state in force changed.
func (d Decision) Changed() bool { return d.Verdict == Accepted }

// Applied tells whether the record's offset now counts as applied.
func (d Decision) Applied() bool { return d.Verdict != Stale && d.Verdict != Gap }

// Skipped tells whether the record is none that reelctl writes; the caller
// logs and counts it.
func (d Decision) Skipped() bool { return d.Verdict == Malformed }
