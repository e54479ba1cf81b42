package operation

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// HeaderOutcome carries the outcome of an operation in every answer.
	HeaderOutcome = "Operation-Outcome"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderTicket carries an operation ticket.
	HeaderTicket = "Operation-Ticket"
	// HeaderReplayed is "true" on an answer that was given before.
	HeaderReplayed = "Operation-Replayed"
	// ContentTypeProblem is the media type of RFC 9457.
	ContentTypeProblem = "application/problem+json"
)

// NextStep is what a caller may safely do after an answer.
type NextStep string

const (
	// RepeatSameKey means that the same request with the same key or ticket
	// is safe, and gets the operation's answer once there is one.
	RepeatSameKey NextStep = "repeat-with-same-key"
	// UseNewKey means that this key or ticket is finished as not run; a new
	// one may be used for the same work.
	UseNewKey NextStep = "use-new-key"
	// AskOperator means that only reconciliation can tell whether the work
	// ran. A new key might run it twice. A repeat with the same key is safe
	// and gets the operators' settlement once there is one.
	AskOperator NextStep = "ask-operator"
	// FixRequest means that the request itself is wrong.
	FixRequest NextStep = "fix-request"
)

// Answer is a whole answer to the caller of an operation.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Outcome is what the answer says of the operation.
	Outcome fleet.Outcome
	// Replayed is set when the answer was given, or recorded, before.
	Replayed bool
	// RetryAfter is when a repeat makes sense; 0 where it does not.
	RetryAfter time.Duration
	// Next is what the caller may safely do; empty on a target's answer.
	Next NextStep
}

// Problem is the body of an answer that no target gave, after RFC 9457.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Outcome   string   `json:"outcome"`
	Next      NextStep `json:"next"`
	RequestID string   `json:"request_id,omitempty"`
	Key       string   `json:"key,omitempty"`
	Ticket    string   `json:"ticket,omitempty"`
}

// Name is how the answers of one request name it.
type Name struct {
	RequestID string
	Key       string
	Ticket    string
}

// NewProblem returns an answer with a problem document.
func NewProblem(n Name, status int, out fleet.Outcome, next NextStep, detail string, retry time.Duration) Answer {
	p := Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: detail, Outcome: out.String(), Next: next,
		RequestID: n.RequestID, Key: n.Key, Ticket: n.Ticket,
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic("operation: problem document: " + err.Error())
	}
	h := http.Header{}
	h.Set("Content-Type", ContentTypeProblem)
	a := Answer{Status: status, Header: h, Body: body, Outcome: out, RetryAfter: retry, Next: next}
	a.stamp()
	return a
}

// NewCompleted returns a target's whole answer as the operation's answer.
func NewCompleted(status int, header http.Header, body []byte) Answer {
	a := Answer{Status: status, Header: header.Clone(), Body: body, Outcome: fleet.Completed}
	if a.Header == nil {
		a.Header = http.Header{}
	}
	a.stamp()
	return a
}

// AsReplay returns the answer marked as given before.
func (a Answer) AsReplay() Answer {
	a.Header = a.Header.Clone()
	if a.Header == nil {
		a.Header = http.Header{}
	}
	a.Replayed = true
	a.stamp()
	return a
}

// stamp writes what the answer says into its header.
func (a *Answer) stamp() {
	a.Header.Set(HeaderOutcome, a.Outcome.String())
	if a.Replayed {
		a.Header.Set(HeaderReplayed, "true")
	}
	if a.RetryAfter > 0 {
		secs := (a.RetryAfter + time.Second - 1) / time.Second
		a.Header.Set("Retry-After", strconv.Itoa(int(secs)))
	}
}
