package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

// Packet is one datagram.
type Packet struct {
	// Addr is where the sender is reached; it also names the sender.
	Addr string `cbor:"1,keyasint"`
	// Zone is the sender's availability zone.
	Zone fleet.Zone `cbor:"2,keyasint"`
	// Boot is when the sender's process started, in milliseconds since the Unix
	// epoch. A higher one is a later process at the address.
	Boot int64 `cbor:"3,keyasint"`
	// Leaving tells that the sender is stopping.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Sequence numbers the sender's packets, so that one that comes twice is
	// taken once.
	Sequence uint64 `cbor:"13,keyasint"`
	// Relayed tells that the packet came through an instance of the receiver's
	// zone.
	Relayed bool `cbor:"14,keyasint,omitempty"`
	// Digest sums up the sender's zone.
	Digest *Digest `cbor:"15,keyasint,omitempty"`
	Versions
	// Heartbeat tells that Load is complete.
	Heartbeat bool `cbor:"8,keyasint,omitempty"`
	// Known are some instances that the sender heard.
	Known []Known `cbor:"9,keyasint,omitempty"`
	// Load is what the sender has in flight.
	Load []Load `cbor:"10,keyasint,omitempty"`
	// Evidence is what attempts said of targets.
	Evidence []Evidence `cbor:"12,keyasint,omitempty"`
	// Beliefs are what the sender believes of targets, for an instance that it hears
	// for the first time.
	Beliefs []Belief `cbor:"16,keyasint,omitempty"`
	// Passed are packets of other zones that the sender passes on together.
	Passed []*Packet `cbor:"17,keyasint,omitempty"`
	// Asks are for loans out of retry budgets, Loans what the sender lends.
	Asks  []Loan `cbor:"18,keyasint,omitempty"`
	Loans []Loan `cbor:"19,keyasint,omitempty"`
	// Instances is how many instances the sender counts by what it heard itself; 0 if it
	// may know only some of them.
	Instances int `cbor:"20,keyasint,omitempty"`
	// Contents is what attempts said of contents of requests. Earlier versions pass them over.
	Contents []ContentEvidence `cbor:"22,keyasint,omitempty"`
	// Answered is when the store's log last answered somebody without a break, as far as the
	// sender knows. Heartbeats, announcements and digests carry it. Earlier versions pass it over.
	Answered *Answered `cbor:"23,keyasint,omitempty"`
	// Rates are those that targets name, TokenAsks ask the holders of some for requests, and Tokens
	// answer. Earlier versions pass them over.
	Rates     []TargetRate `cbor:"24,keyasint,omitempty"`
	TokenAsks []TokenAsk   `cbor:"25,keyasint,omitempty"`
	Tokens    []Token      `cbor:"26,keyasint,omitempty"`
	// Departures are processes of targets that said in answers that they leave. Earlier versions pass
	// them over.
	Departures []registry.Departure `cbor:"27,keyasint,omitempty"`
	// Backoffs are targets that turned the sender away, and from which it backs off for a time. Earlier
	// versions pass them over.
	Backoffs []TargetBackoff `cbor:"28,keyasint,omitempty"`
	// Upheld are those of Contents whose quarantine had settled at instances that are gone. Earlier
	// versions pass them over.
	Upheld []quarantine.Fingerprint `cbor:"29,keyasint,omitempty"`
}

// TargetBackoff is a target from which the sender backs off.
type TargetBackoff struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// ForMillis is for how long, from the datagram on.
	ForMillis int64
}

// TargetRate is the rate that a target names, or that it names none any more.
type TargetRate struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// Permille is in thousandths of a request a second; 0 if the rate has ended.
	Permille int64
	// AgeMillis is how long before the datagram the answer came that named it, or the attempt
	// began whose answer named none.
	AgeMillis int64
	// Holder is the instance of the sender's zone that holds the rate; empty if another zone's does.
	Holder string
}

// TokenAsk asks the holder of a target's rate for one request.
type TokenAsk struct {
	_ struct{} `cbor:",toarray"`
	// Number is the asker's own; the answer repeats it.
	Number uint64
	Rate   TargetRate
	// Urgent requests leave nothing to others.
	Urgent bool
}

// Token answers a TokenAsk.
type Token struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Granted bool
	// WaitMillis is after which time there may be one, if none is granted.
	WaitMillis int64
}

// Answered is a time in which the store's log answered without a break, as ages.
type Answered struct {
	_                       struct{} `cbor:",toarray"`
	FromMillis, UntilMillis int64
}

// AnsweredAt tells a span by its ages; nil if there is none.
func AnsweredAt(now time.Time, s registry.Span) *Answered {
	if s.IsZero() {
		return nil
	}
	return &Answered{FromMillis: now.Sub(s.From).Milliseconds(), UntilMillis: now.Sub(s.Until).Milliseconds()}
}

// oldestAge bounds ages in packets, in milliseconds: what is older says nothing, and may not be an age.
const oldestAge = int64(24 * time.Hour / time.Millisecond)

// Span is the time that is meant, by a packet that has just arrived; zero if it is none.
func (a *Answered) Span(now time.Time) registry.Span {
	if a == nil || a.UntilMillis < 0 || a.FromMillis < a.UntilMillis || a.UntilMillis > oldestAge {
		return registry.Span{}
	}
	from := min(a.FromMillis, oldestAge)
	return registry.Span{
		From:  now.Add(-time.Duration(from) * time.Millisecond),
		Until: now.Add(-time.Duration(a.UntilMillis) * time.Millisecond),
	}
}

// older is the same, told after a wait.
func (a *Answered) older(waited time.Duration) *Answered {
	if a == nil {
		return nil
	}
	return &Answered{FromMillis: a.FromMillis + waited.Milliseconds(), UntilMillis: a.UntilMillis + waited.Milliseconds()}
}

// Versions are what an instance tells of its state. Packets to other zones may carry none.
type Versions struct {
	Document document.Version `cbor:"5,keyasint,omitempty"`
	// Registry and Epoch are the position up to which it knows the targets. Instances of
	// earlier versions tell no epoch.
	Registry registry.Offset `cbor:"6,keyasint,omitempty"`
	Epoch    registry.Epoch  `cbor:"21,keyasint,omitempty"`
	// Log tells what it knows of the store's log.
	Log LogState `cbor:"7,keyasint,omitempty"`
}

// Position is the position up to which the instance knows the targets.
func (v Versions) Position() registry.Position {
	return registry.Position{Epoch: v.Epoch, Offset: v.Registry}
}

// Belief is how likely a target is sick.
type Belief struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Target  fleet.TargetID
	// Permille is the probability in thousandths, which take fewer bytes than a
	// floating-point number.
	Permille int
}

// Known names another instance.
type Known struct {
	_    struct{} `cbor:",toarray"`
	Addr string
	Zone fleet.Zone
}

// Digest is what the instances of one zone do together.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Instances is how many there are.
	Instances int
	// Complete and Usage are for earlier versions, which then keep to their own parts of
	// the retry budgets.
	Complete bool
	Load     []Load
	Usage    []any
	// Successes are those that the zone's instances had since the last digest
	// that carried any. Only one of the bridges sends them.
	Successes []Successes
}

// Successes are the good attempts at one target.
type Successes struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Target  fleet.TargetID
	Count   int
	// AgeMillis is how long before the datagram the latest attempt began.
	AgeMillis int64
}

// LogState is what an instance knows of the store's log.
type LogState uint8

const (
	// LogUnread means that the instance leaves the reading to others.
	LogUnread LogState = iota
	// LogAnswers means that the log answered its last call.
	LogAnswers
	// LogAway means that the log did not.
	LogAway
)

// Load is how many requests an instance has at a target.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Target   fleet.TargetID
	InFlight int
}

// Loan is a part of a service's retry budget.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	// Permille is in thousandths of an attempt, which take fewer bytes than a
	// floating-point number.
	Permille int
}

// Evidence is one observation of a target.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Target  fleet.TargetID
	What    suspicion.Observation
	// AgeMillis is how long before the datagram the attempt began.
	AgeMillis int64
	// TookMillis is how long a good attempt took, or for how long a connection was
	// idle that broke at once.
	TookMillis int64
}

// ContentEvidence is what is known of a content that may crash its targets.
type ContentEvidence struct {
	_       struct{} `cbor:",toarray"`
	Content quarantine.Fingerprint
	Losses  []ContentLoss
	// Served tells whether a target served the content, and ServedMillis how long before the
	// datagram one last did.
	Served       bool
	ServedMillis int64
}

// ContentLoss is an attempt whose answer was lost at a process of a target.
type ContentLoss struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// Born is when the process started, in milliseconds since the Unix epoch.
	Born int64
	// EndedMillis is how long before the datagram the attempt ended, TookMillis how long it took.
	EndedMillis, TookMillis int64
}

// maxPacket bounds a datagram, in bytes. Larger ones would be sent in fragments.
const maxPacket = 1400

func encode(p *Packet) ([]byte, error) {
	b, err := cbor.Marshal(p)
	return b, errors.WithStack(err)
}

func decode(b []byte) (*Packet, error) {
	p := new(Packet)
	if err := cbor.Unmarshal(b, p); err != nil {
		return nil, errors.WithStack(err)
	}
	if p.Addr == "" {
		return nil, errors.New("packet without an address")
	}
	for _, q := range p.Passed {
		if q == nil || q.Addr == "" {
			return nil, errors.New("passed on a packet without an address")
		}
	}
	return p, nil
}
