package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// CustomerID names a customer. It is the name of the customer's contract.
type CustomerID string

// ServiceID names a service as "customer/service"; it is unique in the fleet.
type ServiceID string

// NewServiceID joins a customer and a service name of its contract.
func NewServiceID(c CustomerID, name string) ServiceID {
	return ServiceID(string(c) + "/" + name)
}

// Split returns the customer and the service's name in its contract.
func (s ServiceID) Split() (CustomerID, string) {
	customer, name, _ := strings.Cut(string(s), "/")
	return CustomerID(customer), name
}

// TargetID names one target (back end) of a service. It is unique within the
// service and never used again for another machine.
type TargetID string

// InstanceID names one instance of the proxy.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Incarnation tells apart two processes that ran under one InstanceID. It is
// the start time of the process in nanoseconds since the Unix epoch.
type Incarnation int64

// Holder names one process: an instance and its incarnation.
type Holder struct {
	Instance    InstanceID  `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// String prints the holder as "instance@incarnation".
func (h Holder) String() string {
	return string(h.Instance) + "@" + strconv.FormatInt(int64(h.Incarnation), 10)
}

// Class is the kind of work a route carries. It decides whether work may be
// repeated and how it is valued when capacity is short.
type Class uint8

const (
	// Lookup is idempotent and short: it may be retried and hedged.
	Lookup Class = iota + 1
	// Confirmation must run at most once: a deposit or a settlement.
	Confirmation
	// Upload streams a large body and is acknowledged only when stored.
	Upload
)

// Classes lists every class, in the order of their numbers.
var Classes = []Class{Lookup, Confirmation, Upload}

var classNames = map[Class]string{
	Lookup:       "lookup",
	Confirmation: "confirmation",
	Upload:       "upload",
}

// String returns the class as contracts write it.
func (c Class) String() string {
	name, ok := classNames[c]
	if !ok {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return name
}

// MarshalText writes the class as contracts write it.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText reads "lookup", "confirmation" or "upload".
func (c *Class) UnmarshalText(b []byte) error {
	for class, name := range classNames {
		if name == string(b) {
			*c = class
			return nil
		}
	}
	return fmt.Errorf("unknown class %q: want lookup, confirmation or upload", b)
}

// Outcome is what a caller is told about a request that must not repeat.
type Outcome uint8

const (
	// Completed means the target ran the work and its whole answer is known.
	Completed Outcome = iota + 1
	// NotRun means no target ran the work and none will under this attempt.
	NotRun
	// Unknown means the work may have run; only reconciliation can tell.
	Unknown
)

// String returns the outcome as the Outcome header carries it.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}
