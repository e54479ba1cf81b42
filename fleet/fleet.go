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

// NewServiceID returns the ID of the service with the given name in the
// customer's contract.
func NewServiceID(c CustomerID, name string) ServiceID {
	return ServiceID(string(c) + "/" + name)
}

// Split returns the customer and the service's name in the customer's contract.
func (s ServiceID) Split() (CustomerID, string) {
	customer, name, _ := strings.Cut(string(s), "/")
	return CustomerID(customer), name
}

// TargetID names one target (back end) of a service. It is unique within the
// service and never reused for another machine.
type TargetID string

// InstanceID names one instance of the proxy.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Incarnation distinguishes processes that ran under the same InstanceID. It is
// the start time of the process in nanoseconds since the Unix epoch.
type Incarnation int64

// Holder identifies one process by its instance and incarnation.
type Holder struct {
	Instance    InstanceID  `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the holder as "instance@incarnation".
func (h Holder) String() string {
	return string(h.Instance) + "@" + strconv.FormatInt(int64(h.Incarnation), 10)
}

// Class is the kind of requests on a route. It determines whether they may be
// repeated and their priority when capacity is short.
type Class uint8

const (
	// Lookup is idempotent and short: it may be retried and hedged.
	Lookup Class = iota + 1
	// Confirmation must run at most once, such as a deposit or a settlement.
	Confirmation
	// Upload streams a large body and is acknowledged only when stored.
	Upload
	// Download is idempotent with a large response: it may be retried and hedged. Contracts
	// have no such class; the gateway's documents do.
	Download
)

// Classes lists the classes of contracts in the order of their values.
var Classes = []Class{Lookup, Confirmation, Upload}

// Repeatable reports whether requests of the class may run more than once.
func (c Class) Repeatable() bool { return c == Lookup || c == Download }

var classNames = map[Class]string{
	Lookup:       "lookup",
	Confirmation: "confirmation",
	Upload:       "upload",
	Download:     "download",
}

// String returns the name of the class in contracts.
func (c Class) String() string {
	name, ok := classNames[c]
	if !ok {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return name
}

// MarshalText returns the name of the class in contracts.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText accepts the names of the classes of contracts: "lookup", "confirmation" or "upload".
func (c *Class) UnmarshalText(b []byte) error {
	for _, class := range Classes {
		if class.String() == string(b) {
			*c = class
			return nil
		}
	}
	return fmt.Errorf("unknown class %q: want lookup, confirmation or upload", b)
}

// Outcome is the result reported to the caller of a request that must not be
// repeated.
type Outcome uint8

const (
	// Completed means the target ran the request and its full response arrived.
	Completed Outcome = iota + 1
	// NotRun means no target ran the request and none will in this attempt.
	NotRun
	// Unknown means the request may have run; only reconciliation can determine
	// whether it did.
	Unknown
)

// String returns the value of the outcome in the Operation-Outcome header.
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
