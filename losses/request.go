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
	// At is when it ended, as a time of day.
	At time.Duration
	// Outcome is how it ended: refused, failed by its target or by the instance, or
	// left by its caller.
	Outcome string
	// Cause decided it.
	Cause string
}

// Outcomes of lost requests.
const (
	outcomeRefused  = "refused"
	outcomeTarget   = "failed by target"
	outcomeInstance = "failed by instance"
	outcomeLeft     = "caller left"
)

// outsideConfiguration is the status of a request to which no route leads.
const outsideConfiguration = "404"

// history is what the logs say of one request, in order of time.
type history struct {
	class  string
	failed *explain.Line // the last attempt that brought nothing
	open   *explain.Line // an attempt without an answer at the end
	denied *explain.Line // why there was no further one
	final  *explain.Line
}

func (h *history) add(l *explain.Line) {
	switch l.Event {
	case eventlog.AttemptFailed:
		h.failed = l
	case eventlog.AttemptOpen:
		h.open = l
	case eventlog.AttemptNotAdded:
		h.denied = l
	case eventlog.RequestFailed, eventlog.RequestRefused, eventlog.CallerDisconnected:
		h.final = l
	}
	if c := l.Get("class"); c != "" {
		h.class = c
	}
}

// lost returns the request if it was not served.
func (h *history) lost(id string) (Lost, bool) {
	if h.final == nil || h.final.Get("status") == outsideConfiguration {
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
		return outcomeLeft
	case final.Get("by") == "target":
		return outcomeTarget
	}
	return outcomeInstance
}

func (h *history) cause() string {
	switch {
	case h.final.Event == eventlog.CallerDisconnected:
		return "the caller left after " + span(h.final.Get("after_ms"))
	case h.open != nil:
		return "out of time: " + waiting(h.open)
	case h.failed == nil:
		return h.final.Get("why")
	}
	cause := failure(h.failed) + " at " + belief(h.failed)
	if h.denied != nil {
		cause += "; " + denial(h.denied)
	}
	return cause
}

// failure names what an attempt brought.
func failure(l *explain.Line) string {
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

// belief says what was believed of the attempt's target when it was chosen.
func belief(l *explain.Line) string {
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

func denial(l *explain.Line) string {
	if l.Get("budget_left") != "" {
		return "no retry budget"
	}
	return l.Get("why")
}

// waiting says on what an attempt without an answer spent its time.
func waiting(l *explain.Line) string {
	slots, err := strconv.Atoi(l.Get("slots"))
	inFlight, err2 := strconv.Atoi(l.Get("in_flight"))
	place := "slow work"
	if err == nil && err2 == nil && inFlight >= slots {
		place = "queue"
	}
	return place + " at " + belief(l)
}

// span rounds a time in milliseconds to a word.
func span(ms string) string {
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
