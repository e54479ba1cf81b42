package fleet

import (
	"fmt"
	"time"
)

// TargetState is the state of a target as announced by the operators.
type TargetState uint8

const (
	// Joined targets may receive requests.
	Joined TargetState = iota + 1
	// Leaving targets receive no new requests; running ones complete.
	Leaving
	// Stopped targets have been removed from service.
	Stopped
)

// String returns the name of the state in announcements.
func (s TargetState) String() string {
	switch s {
	case Joined:
		return "joined"
	case Leaving:
		return "leaving"
	case Stopped:
		return "stopped"
	}
	return fmt.Sprintf("target-state(%d)", uint8(s))
}

// MarshalText returns the name of the state in announcements.
func (s TargetState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText accepts "joined", "leaving" or "stopped".
func (s *TargetState) UnmarshalText(b []byte) error {
	for _, v := range []TargetState{Joined, Leaving, Stopped} {
		if v.String() == string(b) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("unknown target state %q: want joined, leaving or stopped", b)
}

// Target is one back end of a service, as announced by the operators.
type Target struct {
	ID      TargetID  `json:"id"`
	Service ServiceID `json:"service"`
	// Addr is the target's IP address and port.
	Addr string `json:"addr"`
	Zone Zone   `json:"zone"`
	// State is the last announced state.
	State TargetState `json:"state"`
	// Since is the time at which the log service accepted the last
	// announcement, by its clock.
	Since time.Time `json:"since"`
}

// TryResult is the result of one try of a request at one target, as observed by
// an instance. It is the evidence for the target's health estimate.
type TryResult uint8

const (
	// TryOK means the full response arrived and indicates no target failure.
	TryOK TryResult = iota + 1
	// TryTimeout means the target did not respond within the timeout.
	TryTimeout
	// TryDialFailed means no connection could be established; nothing was sent.
	TryDialFailed
	// TryReset means the connection broke before the response began.
	TryReset
	// TryTruncated means the response broke off before its end.
	TryTruncated
	// TryError means a full response with a 5xx status that is none of the
	// cases below.
	TryError
	// TryShed means the target reported that it was at capacity and did not
	// run the request.
	TryShed
	// TryDraining means the target reported that it is leaving and did not
	// run the request.
	TryDraining
	// TryCold means the target reported that it is still warming up and did
	// not run the request.
	TryCold
	// TryCanceled means this instance or the caller canceled the try for a
	// reason unrelated to the target's health.
	TryCanceled
)

var tryResultNames = [...]string{
	TryOK: "ok", TryTimeout: "timeout", TryDialFailed: "dial-failed",
	TryReset: "reset", TryTruncated: "truncated", TryError: "error",
	TryShed: "shed", TryDraining: "draining", TryCold: "cold",
	TryCanceled: "canceled",
}

// String returns the name of the result in logs and metrics.
func (r TryResult) String() string {
	if r == 0 || int(r) >= len(tryResultNames) {
		return fmt.Sprintf("try(%d)", uint8(r))
	}
	return tryResultNames[r]
}

// Failed reports whether the result counts as a failure of the target.
func (r TryResult) Failed() bool {
	switch r {
	case TryTimeout, TryDialFailed, TryReset, TryTruncated, TryError:
		return true
	}
	return false
}

// NotRun reports whether the target certainly did not run the request.
func (r TryResult) NotRun() bool {
	switch r {
	case TryDialFailed, TryShed, TryDraining, TryCold:
		return true
	}
	return false
}
