package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/message"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

// Packet is the content of a datagram.
type Packet struct {
	// Addr is the address at which the sender is reached. It also identifies the sender.
	Addr string `cbor:"1,keyasint"`
	// Zone is the sender's availability zone.
	Zone fleet.Zone `cbor:"2,keyasint"`
	// Boot is the start time of the sender's process, in milliseconds since the Unix epoch. A
	// higher value is a later process at the same address.
	Boot int64 `cbor:"3,keyasint"`
	// Leaving is set while the sender is stopping.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Sequence numbers the sender's packets, so that duplicates are ignored.
	Sequence uint64 `cbor:"13,keyasint"`
	// Relayed is set if the packet came through an instance of the receiver's zone.
	Relayed bool `cbor:"14,keyasint,omitempty"`
	// Digest summarizes the sender's zone.
	Digest *Digest `cbor:"15,keyasint,omitempty"`
	Versions
	// Heartbeat is set if Load is complete.
	Heartbeat bool `cbor:"8,keyasint,omitempty"`
	// Peers are some of the instances from which the sender receives datagrams.
	Peers []Peer `cbor:"9,keyasint,omitempty"`
	// Load is the number of requests that the sender has in flight, by target.
	Load []Load `cbor:"10,keyasint,omitempty"`
	// Evidence holds the observations of targets that attempts yielded.
	Evidence []Evidence `cbor:"12,keyasint,omitempty"`
	// Estimates are the sender's health estimates of targets, sent to an instance from which it
	// receives a datagram for the first time.
	Estimates []Estimate `cbor:"16,keyasint,omitempty"`
	// RelayedPackets are packets of other zones that the sender relays together.
	RelayedPackets []*Packet `cbor:"17,keyasint,omitempty"`
	// LoanRequests ask for loans out of retry budgets; Loans are those that the sender grants.
	LoanRequests []Loan `cbor:"18,keyasint,omitempty"`
	Loans        []Loan `cbor:"19,keyasint,omitempty"`
	// Instances is the number of instances according to the datagrams that the sender received
	// itself; 0 if it may have discovered only some of them.
	Instances int `cbor:"20,keyasint,omitempty"`
	// Contents holds the observations of request contents that attempts yielded. Earlier versions
	// ignore them.
	Contents []ContentEvidence `cbor:"22,keyasint,omitempty"`
	// LogAvailability is the latest span in which the store's log responded to any instance without
	// interruption, to the sender's knowledge. Heartbeats, announcements and digests carry it.
	// Earlier versions ignore it.
	LogAvailability *AgeSpan `cbor:"23,keyasint,omitempty"`
	// Rates are the rates that targets declare, TokenRequests ask the holders of rates for
	// requests, and TokenResponses are the replies. Earlier versions ignore them.
	Rates          []TargetRate    `cbor:"24,keyasint,omitempty"`
	TokenRequests  []TokenRequest  `cbor:"25,keyasint,omitempty"`
	TokenResponses []TokenResponse `cbor:"26,keyasint,omitempty"`
	// Departures are processes of targets that announced in responses that they are leaving.
	// Earlier versions ignore them.
	Departures []registry.Departure `cbor:"27,keyasint,omitempty"`
	// Backoffs are targets that rejected the sender's requests and from which it backs off for a
	// time. Earlier versions ignore them.
	Backoffs []TargetBackoff `cbor:"28,keyasint,omitempty"`
	// Upheld lists those of Contents whose quarantine had settled at instances that no longer
	// exist. Earlier versions ignore it.
	Upheld []quarantine.Fingerprint `cbor:"29,keyasint,omitempty"`
	// Paths describes the sender's paths to targets. Heartbeats, digests and announcements of a
	// change carry it. Earlier versions ignore it.
	Paths *PathReport `cbor:"30,keyasint,omitempty"`
	// QuotaRequests ask for tokens of tenants' quotas or return some, and QuotaResponses are the replies.
	// Earlier versions ignore them.
	QuotaRequests  []QuotaRequest  `cbor:"31,keyasint,omitempty"`
	QuotaResponses []TokenResponse `cbor:"32,keyasint,omitempty"`
	// Rejections count the attempts at services that reject some. Heartbeats carry those of the sender, digests those
	// of its zone. Earlier versions ignore them.
	Rejections []Rejections `cbor:"33,keyasint,omitempty"`
	// QuotaRanks are the ranks of the requests for which the QuotaRequests ask, in their order. Earlier versions
	// ignore and do not send them; ranks that are missing are 0, the most urgent.
	QuotaRanks []quota.Rank `cbor:"34,keyasint,omitempty"`
	// LogFailure is the latest span in which a call of the sender had no answer from the store's log,
	// in digests that of an instance of its zone. The packets that carry LogAvailability carry it;
	// receivers do not pass it on, so that its end does not grow with each hop. Earlier versions
	// ignore and do not send it.
	LogFailure *AgeSpan `cbor:"35,keyasint,omitempty"`
	// Complete tells as of when a reader of the store has its state. Heartbeats and announcements of
	// readers carry it. Earlier versions ignore and do not send it.
	Complete *CompleteAges `cbor:"36,keyasint,omitempty"`
}

// CompleteAges are the times since the sender's state was last known to lack nothing that the store had
// accepted, as ages at the time of the datagram.
type CompleteAges struct {
	_                              struct{} `cbor:",toarray"`
	DocumentsMillis, TargetsMillis int64
}

// Rejections count the attempts at a service's targets in one zone and how many of them were rejected.
type Rejections struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Zone    fleet.Zone
	// ElapsedMillis is the time from the begin of the newest slot to the datagram.
	ElapsedMillis int64
	// Attempts and Rejected are the counts of each slot, newest first. The length of slots is that of package rejection.
	Attempts, Rejected []int
	// Tried and Rejecting are sets of targets, of package rejection.
	Tried, Rejecting uint64
}

// QuotaRequest asks for a token of a tenant's quota, or returns one.
type QuotaRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the request at the requester; the response repeats it.
	Number uint64
	Tenant document.TenantName
	// Purpose is what the receiver is to do.
	Purpose QuotaPurpose
}

// QuotaPurpose is what the receiver of a QuotaRequest is to do.
type QuotaPurpose uint8

const (
	// QuotaGrant asks a holder for one of its tokens.
	QuotaGrant QuotaPurpose = iota
	// QuotaAcquire asks an instance of another zone to acquire a token there.
	QuotaAcquire
	// QuotaReturn returns a token to its holder.
	QuotaReturn
)

// PathReport describes an instance's paths to targets. An instance that sends one takes requests from
// others that have lost theirs.
type PathReport struct {
	_ struct{} `cbor:",toarray"`
	// Lost are the services of which the instance has lost the paths to all targets.
	Lost []document.ServiceName
}

// TargetBackoff is a target from which the sender backs off.
type TargetBackoff struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// RemainingMillis is the time for which the sender still backs off when it sends the datagram.
	RemainingMillis int64
}

// TargetRate is the rate limit that a target declares, or the end of one.
type TargetRate struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// Permille is the rate in thousandths of a request per second; 0 if the target declares none
	// any more.
	Permille int64
	// AgeMillis is the time from the response that declared the rate to the datagram or, if the
	// rate has ended, from the start of the attempt whose response declared none.
	AgeMillis int64
	// Holder is the instance of the sender's zone that holds the rate; empty if an instance of
	// another zone holds it.
	Holder string
}

// TokenRequest asks the holder of a target's rate for permission to send one request.
type TokenRequest struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the request at the requester; the response repeats it.
	Number uint64
	Rate   TargetRate
	// Urgent is set for a request that may use the last tokens instead of leaving them to others.
	Urgent bool
}

// TokenResponse is the reply to a TokenRequest or a QuotaRequest.
type TokenResponse struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Granted bool
	// WaitMillis is the time after which a token may be available, if none is granted.
	WaitMillis int64
}

// AgeSpan is a span in which the store's log responded without interruption, or did not respond to a
// call, expressed as ages at the time of the datagram.
type AgeSpan struct {
	_                       struct{} `cbor:",toarray"`
	FromMillis, UntilMillis int64
}

// NewAgeSpan converts a span to ages at the given time. It returns nil for the zero span.
func NewAgeSpan(now time.Time, s registry.Span) *AgeSpan {
	if s.IsZero() {
		return nil
	}
	return &AgeSpan{FromMillis: now.Sub(s.From).Milliseconds(), UntilMillis: now.Sub(s.Until).Milliseconds()}
}

// maxAgeMillis bounds the ages in packets. Older information has no value, and larger numbers may
// not be ages at all.
const maxAgeMillis = int64(24 * time.Hour / time.Millisecond)

// Span converts the ages of a packet that has just arrived to times. It returns the zero span if a
// is nil or invalid.
func (a *AgeSpan) Span(now time.Time) registry.Span {
	if a == nil || a.UntilMillis < 0 || a.FromMillis < a.UntilMillis || a.UntilMillis > maxAgeMillis {
		return registry.Span{}
	}
	from := min(a.FromMillis, maxAgeMillis)
	return registry.Span{
		From:  now.Add(-time.Duration(from) * time.Millisecond),
		Until: now.Add(-time.Duration(a.UntilMillis) * time.Millisecond),
	}
}

// aged returns the span after a delay before sending.
func (a *AgeSpan) aged(delay time.Duration) *AgeSpan {
	if a == nil {
		return nil
	}
	return &AgeSpan{FromMillis: a.FromMillis + delay.Milliseconds(), UntilMillis: a.UntilMillis + delay.Milliseconds()}
}

// Versions describes the state of an instance. Packets to other zones may carry none.
type Versions struct {
	Document document.Version `cbor:"5,keyasint,omitempty"`
	// Registry and Epoch are the position up to which the instance has the targets. Instances of
	// earlier versions send no epoch.
	Registry registry.Offset `cbor:"6,keyasint,omitempty"`
	Epoch    registry.Epoch  `cbor:"21,keyasint,omitempty"`
	// Log is the state of the store's log as the instance sees it.
	Log LogState `cbor:"7,keyasint,omitempty"`
}

// Position returns the position up to which the instance has the targets.
func (v Versions) Position() registry.Position {
	return registry.Position{Epoch: v.Epoch, Offset: v.Registry}
}

// Estimate is the estimated probability that a target is unhealthy.
type Estimate struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Target  fleet.TargetID
	// Permille is the probability in thousandths, which take fewer bytes than a floating-point
	// number.
	Permille int
}

// Peer identifies another instance.
type Peer struct {
	_    struct{} `cbor:",toarray"`
	Addr string
	Zone fleet.Zone
}

// Digest summarizes the instances of one zone.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Instances is the number of instances.
	Instances int
	// Complete and Usage are for earlier versions, which then use only their own parts of the retry
	// budgets.
	Complete bool
	Load     []Load
	Usage    []any
	// Successes are those of the zone's instances since the last digest that carried any. Only one
	// of the bridges sends them.
	Successes []Successes
}

// Successes counts the successful attempts at one target.
type Successes struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	Target  fleet.TargetID
	Count   int
	// AgeMillis is the time from the start of the latest attempt to the datagram.
	AgeMillis int64
}

// LogState is the state of the store's log as an instance sees it.
type LogState uint8

const (
	// LogUnread means that the instance leaves reading the log to others.
	LogUnread LogState = iota
	// LogAvailable means that the log responded to the instance's last call.
	LogAvailable
	// LogUnavailable means that the log did not respond to the instance's last call.
	LogUnavailable
	// LogLate means that the log responded to the instance's last call, and the response to the present
	// one is late. Earlier versions do not send it, and take it for no response.
	LogLate
	// LogLoading means that the instance reads the log from its beginning, and parts of it arrive. It knows
	// no later changes yet. Earlier versions do not send it, and take it for a log that is not read.
	LogLoading
)

// Doubtful reports whether an instance in this state may get no response to its present call.
func (s LogState) Doubtful() bool { return s == LogUnavailable || s == LogLate }

// Load is the number of requests that an instance has in flight at a target.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Target   fleet.TargetID
	InFlight int
}

// Loan is a part of a service's retry budget that one instance lends to another.
type Loan struct {
	_       struct{} `cbor:",toarray"`
	Service document.ServiceName
	// Permille is the amount in thousandths of an attempt, which take fewer bytes than a
	// floating-point number.
	Permille int
}

// Evidence is one observation of a target.
type Evidence struct {
	_           struct{} `cbor:",toarray"`
	Service     document.ServiceName
	Target      fleet.TargetID
	Observation suspicion.Observation
	// AgeMillis is the time from the start of the attempt to the datagram.
	AgeMillis int64
	// DurationMillis is the duration of a successful attempt, or the idle time of a connection that
	// broke as soon as it was used.
	DurationMillis int64
}

// ContentEvidence holds the observations of a request content that may crash targets.
type ContentEvidence struct {
	_       struct{} `cbor:",toarray"`
	Content quarantine.Fingerprint
	Losses  []ContentLoss
	// Served is set if a target has served the content, and ServedAgeMillis is the time from the
	// last such response to the datagram.
	Served          bool
	ServedAgeMillis int64
}

// ContentLoss is an attempt whose response was lost at a process of a target.
type ContentLoss struct {
	_      struct{} `cbor:",toarray"`
	Target fleet.TargetID
	// ProcessStartMillis is the start time of the process, in milliseconds since the Unix epoch.
	ProcessStartMillis int64
	// EndAgeMillis is the time from the end of the attempt to the datagram, and DurationMillis the
	// duration of the attempt.
	EndAgeMillis, DurationMillis int64
}

// maxPacketBytes bounds the size of a datagram. Larger ones would be fragmented.
const maxPacketBytes = 1400

func encode(p *Packet) ([]byte, error) {
	b, err := cbor.Marshal(p)
	return b, errors.WithStack(err)
}

// maxElements bounds the elements of a list in a datagram. A datagram has no room for more of 16 bytes each; without
// the bound, empty elements of one byte would each decode to a whole Packet.
const maxElements = readBufferBytes / 16

var decoder = message.NewDecoder(maxElements)

func decode(b []byte) (*Packet, error) {
	p := new(Packet)
	if err := decoder.Decode(b, p); err != nil {
		return nil, err
	}
	if p.Addr == "" {
		return nil, errors.New("packet has no sender address")
	}
	for _, q := range p.RelayedPackets {
		if q == nil || q.Addr == "" {
			return nil, errors.New("relayed packet has no sender address")
		}
	}
	return p, nil
}
