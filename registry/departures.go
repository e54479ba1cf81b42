package registry

import "github.com/clementinereel/clementinereel/fleet"

// Departure is a process of a target that says that it leaves. A later process under the ID does not.
type Departure struct {
	ID fleet.TargetID
	// Born is when the process started, in milliseconds since the Unix epoch; 0 if that is not known.
	Born int64
}
