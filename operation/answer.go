package operation

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/problem"
)

// HeaderReplayed is "true" on an answer that was given before.
const HeaderReplayed = "Operation-Replayed"

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

// document is the body of an answer that no target gave.
type document struct {
	problem.Problem
	Key    string `json:"key,omitempty"`
	Ticket string `json:"ticket,omitempty"`
}

// Name is how the answers of one request name it.
type Name struct {
	RequestID string
	Key       string
	Ticket    string
}

// NewProblem returns an answer with a problem document.
func NewProblem(n Name, status int, out fleet.Outcome, next NextStep, detail string, retry time.Duration) Answer {
	d := document{Problem: *problem.New(status, typeOf(status, out), detail), Key: n.Key, Ticket: n.Ticket}
	d.RequestID = n.RequestID
	d.WithOutcome(out, string(next))
	body, err := json.Marshal(d)
	if err != nil {
		panic("operation: problem document: " + err.Error())
	}
	h := http.Header{}
	h.Set("Content-Type", problem.ContentType)
	a := Answer{Status: status, Header: h, Body: body, Outcome: out, RetryAfter: retry, Next: next}
	a.stamp()
	return a
}

// typeOf returns the kind of problem that callers' programs tell apart.
func typeOf(status int, out fleet.Outcome) problem.Type {
	switch {
	case status == http.StatusBadRequest:
		return problem.KeyMissing
	case status == http.StatusUnprocessableEntity:
		return problem.KeyReused
	case out == fleet.NotRun:
		return problem.NotRun
	case out == fleet.Completed:
		return problem.Completed
	}
	return problem.Unknown
}

// NewCompleted returns a target's whole answer as the operation's answer.
func NewCompleted(status int, h http.Header, body []byte) Answer {
	a := Answer{Status: status, Header: h.Clone(), Body: body, Outcome: fleet.Completed}
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
	a.Header.Set(header.OperationOutcome, a.Outcome.String())
	if a.Replayed {
		a.Header.Set(HeaderReplayed, "true")
	}
	if a.RetryAfter > 0 {
		secs := (a.RetryAfter + time.Second - 1) / time.Second
		a.Header.Set(header.RetryAfter, strconv.Itoa(int(secs)))
	}
}
