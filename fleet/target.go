package fleet

import (
	"fmt"
	"time"
)

// TargetState is what operators announced of a target.
type TargetState uint8

const (
	// Joined targets may be given work.
	Joined TargetState = iota + 1
	// Leaving targets get no new work; what runs there finishes.
	Leaving
	// Stopped targets are gone.
	Stopped
)

// String returns the state as announcements write it.
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

// MarshalText writes the state as announcements write it.
func (s TargetState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads "joined", "leaving" or "stopped".
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
	// Since is when the log accepted the last announcement, by its clock.
	Since time.Time `json:"since"`
}

// TryResult is how one try of a request at one target ended, as an instance
// saw it. It is the evidence on which targets are judged.
type TryResult uint8

const (
	// TryOK means the target's whole answer arrived and blames nobody.
	TryOK TryResult = iota + 1
	// TryTimeout means the target did not answer in the time it was given.
	TryTimeout
	// TryDialFailed means no connection came about; nothing was sent.
	TryDialFailed
	// TryReset means the connection broke before the answer began.
	TryReset
	// TryTruncated means the answer broke off before its end.
	TryTruncated
	// TryError means a whole answer that says the target failed (a 5xx
	// status that is none of the cases below).
	TryError
	// TryShed means the target said it was full and did not run the request.
	TryShed
	// TryDraining means the target said it is leaving and did not run it.
	TryDraining
	// TryCold means the target said it is not warm yet and did not run it.
	TryCold
	// TryCanceled means this instance or the caller gave up first, for a
	// reason that says nothing of the target.
	TryCanceled
)

var tryNames = [...]string{
	TryOK: "ok", TryTimeout: "timeout", TryDialFailed: "dial-failed",
	TryReset: "reset", TryTruncated: "truncated", TryError: "error",
	TryShed: "shed", TryDraining: "draining", TryCold: "cold",
	TryCanceled: "canceled",
}

// String returns the result as logs and metrics write it.
func (r TryResult) String() string {
	if r == 0 || int(r) >= len(tryNames) {
		return fmt.Sprintf("try(%d)", uint8(r))
	}
	return tryNames[r]
}

// Failed tells whether the result speaks against the target.
func (r TryResult) Failed() bool {
	switch r {
	case TryTimeout, TryDialFailed, TryReset, TryTruncated, TryError:
		return true
	}
	return false
}

// RefusedUnrun tells whether the target certainly did not run the request.
func (r TryResult) RefusedUnrun() bool {
	switch r {
	case TryDialFailed, TryShed, TryDraining, TryCold:
		return true
	}
	return false
}
