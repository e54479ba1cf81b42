package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type identifies a kind of error.
type Type string

// The kinds of error that callers can meet.
const (
	NoCustomer     Type = "urn:clementinereel:problem:no-customer"
	KeyInvalid     Type = "urn:clementinereel:problem:key-invalid"
	NoRoute        Type = "urn:clementinereel:problem:no-route"
	MethodRefused  Type = "urn:clementinereel:problem:method-not-allowed"
	BadRequest     Type = "urn:clementinereel:problem:bad-request"
	BodyTooLarge   Type = "urn:clementinereel:problem:body-too-large"
	HeaderTooLarge Type = "urn:clementinereel:problem:header-too-large"
	BodyTimeout    Type = "urn:clementinereel:problem:body-timeout"
	RateLimited    Type = "urn:clementinereel:problem:rate-limited"
	Overloaded     Type = "urn:clementinereel:problem:overloaded"
	NoTarget       Type = "urn:clementinereel:problem:no-target"
	TargetFailed   Type = "urn:clementinereel:problem:target-failed"
	TargetTimeout  Type = "urn:clementinereel:problem:target-timeout"
	AnswerTooLarge Type = "urn:clementinereel:problem:answer-too-large"
	Quarantined    Type = "urn:clementinereel:problem:request-crashes-targets"
	KeyMissing     Type = "urn:clementinereel:problem:operation-key-missing"
	KeyReused      Type = "urn:clementinereel:problem:operation-key-reused"
	// Completed stands for a completed operation whose answer is not kept.
	Completed Type = "urn:clementinereel:problem:operation-completed"
	NotRun    Type = "urn:clementinereel:problem:operation-not-run"
	Unknown   Type = "urn:clementinereel:problem:operation-outcome-unknown"
)

// Problem is one error as a caller gets it.
type Problem struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail says what happened to this request.
	Detail string `json:"detail,omitempty"`
	// RequestID is the request's id in the logs.
	RequestID string `json:"request_id,omitempty"`
	// Outcome is set for work that must not repeat.
	Outcome string `json:"outcome,omitempty"`
	// Next says what the caller may safely do.
	Next string `json:"next,omitempty"`
	// RetryAfter is when to come back; it goes into the header, rounded up.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose title is the status's standard text.
func New(status int, t Type, detail string) *Problem {
	return &Problem{Type: t, Title: http.StatusText(status), Status: status, Detail: detail}
}

// After sets when the caller may come back.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// WithOutcome sets the outcome of work that must not repeat.
func (p *Problem) WithOutcome(o fleet.Outcome, next string) *Problem {
	p.Outcome = o.String()
	p.Next = next
	return p
}

// Body returns the problem as JSON, for an answer to the request.
func (p *Problem) Body(requestID string) []byte {
	p.RequestID = requestID
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a Problem holds strings and numbers only
	}
	return body
}

// Write sends the problem as the answer to a request.
func (p *Problem) Write(w http.ResponseWriter, requestID string) {
	body := p.Body(requestID)
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.Outcome != "" {
		h.Set(header.OperationOutcome, p.Outcome)
	}
	if p.RetryAfter > 0 {
		h.Set(header.RetryAfter, strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
