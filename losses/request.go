package losses

import (
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/explain"
	"github.com/clementinereel/clementinereel/placement"
)

// Lost is a request that was not served.
type Lost struct {
	ID, Service, Class string
	// At is the time of day at which the request ended.
	At time.Duration
	// Outcome is how the request ended, one of the outcome constants.
	Outcome string
	// Cause is the reason for the outcome, in words for operators.
	Cause string
}

// Outcomes of lost requests.
const (
	outcomeRefused    = "refused"
	outcomeTarget     = "failed by target"
	outcomeInstance   = "failed by instance"
	outcomeCallerLeft = "caller left"
)

// statusNoRoute is the status of a request that matches no route. Such requests are
// not counted as lost.
const statusNoRoute = "404"

// requestLog keeps the log lines that decide the outcome of one request.
type requestLog struct {
	class      string
	failed     *explain.Line // the last attempt that failed
	unanswered *explain.Line // an attempt still without a response when the request ended
	denied     *explain.Line // why no further attempt was made
	final      *explain.Line // the end of the request
}

func (h *requestLog) add(l *explain.Line) {
	switch l.Event {
	case eventlog.AttemptFailed:
		h.failed = l
	case eventlog.AttemptOpen:
		h.unanswered = l
	case eventlog.AttemptNotAdded:
		h.denied = l
	case eventlog.RequestFailed, eventlog.RequestRefused, eventlog.CallerDisconnected:
		h.final = l
	}
	if c := l.Get("class"); c != "" {
		h.class = c
	}
}

// lost returns the request as a Lost, or false if it was served or matched no route.
func (h *requestLog) lost(id string) (Lost, bool) {
	if h.final == nil || h.final.Get("status") == statusNoRoute {
		return Lost{}, false
	}
	x := Lost{ID: id, Service: h.final.Get("service"), Class: h.class, At: h.final.At, Outcome: outcome(h.final), Cause: h.cause()}
	if x.Service == "" && h.failed != nil {
		x.Service = h.failed.Get("service")
	}
	return x, true
}

func outcome(final *explain.Line) string {
	switch {
	case final.Event == eventlog.RequestRefused:
		return outcomeRefused
	case final.Event == eventlog.CallerDisconnected:
		return outcomeCallerLeft
	case final.Get("by") == "target":
		return outcomeTarget
	}
	return outcomeInstance
}

func (h *requestLog) cause() string {
	switch {
	case h.final.Event == eventlog.CallerDisconnected:
		return "the caller left after " + durationRange(h.final.Get("after_ms"))
	case h.unanswered != nil:
		return "out of time: " + timeoutCause(h.unanswered)
	case h.failed == nil:
		return h.final.Get("why")
	}
	cause := failureCause(h.failed) + " at " + targetHealth(h.failed)
	if h.denied != nil {
		cause += "; " + denialCause(h.denied)
	}
	return cause
}

// failureCause describes how an attempt failed.
func failureCause(l *explain.Line) string {
	switch l.Get("kind") {
	case "answered":
		return "error " + l.Get("status")
	case "refused":
		return "shed"
	case "unsent":
		return "no connection"
	case "withheld":
		return "withheld"
	case "overdue":
		return "no answer"
	}
	if l.Get("reused") == "true" {
		return "reset, reused connection"
	}
	return "reset, fresh connection"
}

// targetHealth describes the target's health estimate at the time the attempt chose it.
func targetHealth(l *explain.Line) string {
	fails, err := strconv.ParseFloat(l.Get("fails"), 64)
	switch {
	case err != nil:
		return "a target of which the line does not tell"
	case fails < placement.DoubtfulFailureProbability:
		return "a target that looked sound"
	case l.Get("for_floor") == "true":
		return "a doubtful target, tried for the floor"
	}
	return "a doubtful target"
}

func denialCause(l *explain.Line) string {
	if l.Get("budget_left") != "" {
		return "no retry budget"
	}
	return l.Get("why")
}

// timeoutCause describes where an unanswered attempt spent its time: in the queue
// of a target whose slots were all in use, or in slow processing.
func timeoutCause(l *explain.Line) string {
	slots, err := strconv.Atoi(l.Get("slots"))
	inFlight, err2 := strconv.Atoi(l.Get("in_flight"))
	place := "slow work"
	if err == nil && err2 == nil && inFlight >= slots {
		place = "queue"
	}
	return place + " at " + targetHealth(l)
}

// durationRange returns the range that contains a duration in milliseconds, in words.
func durationRange(ms string) string {
	n, err := strconv.Atoi(ms)
	switch {
	case err != nil:
		return "an unknown time"
	case n < 100:
		return "less than 0.1 s"
	case n < 500:
		return "less than 0.5 s"
	}
	return "0.5 s or more"
}
