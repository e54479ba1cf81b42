package status

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// Path is where an instance serves its Report. The query parameter
// "customer", if given, restricts the report to one customer.
const Path = "/status"

// Report is the state of one instance.
type Report struct {
	Instance    fleet.InstanceID  `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Zone        fleet.Zone        `json:"zone"`
	// Ready tells whether the instance takes work from the balancer.
	Ready bool `json:"ready"`
	// Config says how far the instance follows the configuration stream.
	Config Config `json:"config"`
	// Revisions is the contract revision in force for each customer.
	Revisions map[fleet.CustomerID]logservice.Offset `json:"revisions"`
	// Ejected lists the targets that the instance gives no work at present.
	Ejected []Ejection `json:"ejected"`
	// Operations counts those whose outcome is not settled.
	Operations Operations `json:"operations"`
}

// Config says how far an instance follows the configuration stream.
type Config struct {
	// Next is the offset after the last record applied.
	Next logservice.Offset `json:"next"`
	// Contact is when the log or a peer last answered.
	Contact time.Time `json:"contact"`
}

// Ejection is one target set aside.
type Ejection struct {
	Service fleet.ServiceID `json:"service"`
	Target  fleet.TargetID  `json:"target"`
	// Scope is "fleet" if the target is sick for everyone, "instance" if only
	// as seen from this instance.
	Scope string `json:"scope"`
	// Reason says on what evidence.
	Reason string `json:"reason"`
	// Until is when trial traffic begins; it may be put off.
	Until time.Time `json:"until"`
}

// Operations counts the operations that this instance knows of.
type Operations struct {
	// Pending have been claimed or dispatched and not ended.
	Pending int `json:"pending"`
	// Unknown ended without a known outcome and await an operator.
	Unknown int `json:"unknown"`
}
