package claim

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// StreamName returns the log stream of a partition.
func StreamName(partition int) string {
	return "claims-" + strconv.Itoa(partition)
}

// ID identifies a claim by its holder and a number unique to the holder.
type ID struct {
	Holder fleet.Holder
	Seq    uint64
}

// String prints the claim as "instance@incarnation/seq".
func (id ID) String() string {
	return id.Holder.String() + "/" + strconv.FormatUint(id.Seq, 10)
}

// Kind is the kind of an entry.
type Kind uint8

const (
	// Claim requests the key.
	Claim Kind = iota + 1
	// Withdraw records that the holder abandoned its claim undispatched, or
	// that the target did not run the request. It frees the key.
	Withdraw
	// Complete records the target's response, or that there was one.
	Complete
	// Lose records that the outcome is unknown.
	Lose
	// SettleCompleted is an operator's finding that the operation ran.
	SettleCompleted
	// SettleNotRun is an operator's finding that it did not run.
	SettleNotRun
)

var kindNames = [...]string{
	Claim: "claim", Withdraw: "withdraw", Complete: "complete", Lose: "lose",
	SettleCompleted: "settle-completed", SettleNotRun: "settle-not-run",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k == 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Entry is one statement about a key in a partition's stream.
type Entry struct {
	Kind  Kind
	Key   operation.Key
	Claim ID

	// Digest, Base, Window, Service and Route are set on claims.
	Digest operation.Digest
	// Base is the offset up to which the holder had read the stream when the
	// request arrived.
	Base logservice.Offset
	// Window is how long the key is kept after its outcome.
	Window  time.Duration
	Service fleet.ServiceID
	Route   string

	// Target is where the request was sent, on Complete and Lose.
	Target fleet.TargetID
	// Answer is the complete response, on Complete; nil if it is too large.
	Answer *operation.Answer
	// Presumed is set on Lose if it was not reported by the holder.
	Presumed bool
	// Operator and Reason are set on settlements.
	Operator string
	Reason   string
}

// identity is the key of a pending entry.
type identity struct {
	kind     Kind
	claim    ID
	presumed bool
}

func (e *Entry) identity() identity { return identity{e.Kind, e.Claim, e.Presumed} }

// entryOverhead estimates the encoded size of an entry without its variable
// parts, in bytes.
const entryOverhead = 200

// size estimates the encoded size of the entry, in bytes.
func (e *Entry) size() int {
	n := entryOverhead + len(e.Key.Name) + len(e.Reason)
	if e.Answer == nil {
		return n
	}
	for name, values := range e.Answer.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n + len(e.Answer.Body)
}

// Op is the state of one key as read from the stream.
type Op struct {
	// Entry is the winning claim, with the target, answer, operator and
	// reason of the entries that followed it.
	Entry
	State operation.State
	// Claimed and Decided are times of the log's clock; Decided is zero while the
	// claim has no outcome.
	Claimed time.Time
	Decided time.Time
	// Withdrawn is the offset after the last withdrawal for the key, 0 if
	// there was none. Only claims with a base at or beyond it may win.
	Withdrawn logservice.Offset
	// Contradicted is set when the holder reported an outcome opposite to the
	// one settled by an operator.
	Contradicted bool
}

// expired reports whether the key is free again at a time of the log's clock.
func (o *Op) expired(now time.Time) bool {
	switch o.State {
	case operation.Completed, operation.NotRun, operation.SettledCompleted, operation.SettledNotRun:
		return now.After(o.Decided.Add(o.Window))
	}
	return false
}

// Unresolved reports whether an operator has to reconcile the operation.
func (o *Op) Unresolved() bool {
	return o.State == operation.Unknown || o.Contradicted
}

// Verdict is a recorder's reply on an entry.
type Verdict uint8

const (
	// Won means that the claim is the first for its key and undecided.
	Won Verdict = iota + 1
	// Lost means that the key belongs to another claim, or that this claim
	// has been decided in the meantime, as its state shows.
	Lost
	// Mismatch means that the key belongs to another request.
	Mismatch
	// Outdated means that the key was withdrawn after the request arrived.
	Outdated
	// Refused means that the recorder has not appended the entry and never
	// will: it is full or lacks the key's history.
	Refused
	// Done means that an entry other than a claim was read back.
	Done
)

var verdictNames = [...]string{
	Won: "won", Lost: "lost", Mismatch: "mismatch", Outdated: "outdated",
	Refused: "refused", Done: "done",
}

// String returns the verdict's name.
func (v Verdict) String() string {
	if v == 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// compareKeys orders keys by customer and name.
func compareKeys(a, b operation.Key) int {
	if c := cmp.Compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
