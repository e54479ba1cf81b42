package lab

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Policy is what one instance decides about the targets of one service. A
// target's number is in its identifier. All times are from the start of the run.
type Policy interface {
	// SetTargets tells which targets are announced.
	SetTargets(now time.Duration, targets []fleet.Target)
	// SetHolder tells which instance pools the evidence.
	SetHolder(now time.Duration, instance int)
	// Start notes that a try at the target begins.
	Start(now time.Duration, target int) Ticket
	// Record notes how a try ended and how long it took.
	Record(now time.Duration, t Ticket, result fleet.TryResult, took time.Duration)
	// Tick runs the policy's periodic work and returns what it sends.
	Tick(now time.Duration) []Message
	// Receive takes a message of another instance and returns the answer.
	Receive(now time.Duration, m Message) []Message
	// Weight is the target's share of new work: 0 when it is ejected, 1 when
	// it gets its full share.
	Weight(target int) float64
}

// Ticket joins the end of a try to its start.
type Ticket struct {
	Target int
	// Token is whatever the policy needs to recognize the try.
	Token any
}

// Message goes from one instance to another.
type Message struct {
	From, To int
	// Body is defined by the policy that sends it.
	Body any
	// Bytes is the size of the encoded body.
	Bytes int
}

// Maker makes the policies of a run, one for each instance.
type Maker struct {
	// Name is the policy's name in tables.
	Name string
	// New makes the policy of one instance.
	New func(s Service, instance int) Policy
}

// None never ejects.
type None struct{}

// NoEjection is the baseline without any ejection.
var NoEjection = Maker{Name: "none", New: func(Service, int) Policy { return None{} }}

// SetTargets implements Policy.
func (None) SetTargets(time.Duration, []fleet.Target) {}

// SetHolder implements Policy.
func (None) SetHolder(time.Duration, int) {}

// Start implements Policy.
func (None) Start(_ time.Duration, target int) Ticket { return Ticket{Target: target} }

// Record implements Policy.
func (None) Record(time.Duration, Ticket, fleet.TryResult, time.Duration) {}

// Tick implements Policy.
func (None) Tick(time.Duration) []Message { return nil }

// Receive implements Policy.
func (None) Receive(time.Duration, Message) []Message { return nil }

// Weight implements Policy.
func (None) Weight(int) float64 { return 1 }
