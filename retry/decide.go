package retry

import (
	"fmt"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// backoffBase is the greatest wait before the second try; it doubles
	// with each further one up to backoffMax.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Action is what follows.
type Action uint8

const (
	// Stop means that no try is added.
	Stop Action = iota + 1
	// Retry means that a try follows the failed one.
	Retry
	// Hedge means that a try joins the running one.
	Hedge
)

// Reason says why no try is added.
type Reason uint8

const (
	// Answered: the last try needs no other.
	Answered Reason = iota + 1
	// Canceled: the caller or this instance gave up.
	Canceled
	// NotIdempotent: the target may have run a request that must not repeat.
	NotIdempotent
	// BodyConsumed: the request's body can't be sent again.
	BodyConsumed
	// Exhausted: the route's attempts are used up.
	Exhausted
	// Overloaded: the service sheds too much for extra tries.
	Overloaded
	// NoTarget: no other target is available.
	NoTarget
	// TooLate: an answer is not to be expected before the deadline.
	TooLate
	// OverBudget: the service's budget is used up.
	OverBudget
	// NotAllowed: the route allows no such try.
	NotAllowed
)

var reasonNames = [...]string{
	Answered: "answered", Canceled: "canceled", NotIdempotent: "not-idempotent",
	BodyConsumed: "body-consumed", Exhausted: "exhausted", Overloaded: "overloaded",
	NoTarget: "no-target", TooLate: "too-late", OverBudget: "over-budget",
	NotAllowed: "not-allowed",
}

// String returns the reason as logs and metrics write it.
func (r Reason) String() string {
	if r == 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Input is the state of one request.
type Input struct {
	Now      time.Time
	Deadline time.Time
	Policy   Policy
	// Tries counts the tries begun, the first included; it is at least 1.
	Tries int
	// Last is how the last try ended; 0 while it runs.
	Last fleet.TryResult
	// Unsent tells that no byte of the last try left this instance.
	Unsent bool
	// Running counts other tries that still run.
	Running int
	// FirstTry is when the first try began.
	FirstTry time.Time
	// Expected is the latency to be expected of a further try.
	Expected time.Duration
	// OtherTarget tells whether a target that was not tried is available.
	OtherTarget bool
	// RetryAfter is the wait that the last target asked for.
	RetryAfter time.Duration
	// BodyConsumed tells that the request's body can't be sent again.
	BodyConsumed bool
	// Random is uniform in [0, 1).
	Random float64
	// Budget is the service's budget, see Budget.State.
	Budget State
}

// Decision is what follows a try's end, or accompanies a running one.
type Decision struct {
	Action Action
	// After is the wait before a retry or hedge, from Input.Now.
	After time.Duration
	// Unrun tells that the retry is charged to the bound for requests that
	// ran nowhere.
	Unrun bool
	// Reason is set for Stop.
	Reason Reason
}

func stop(r Reason) Decision { return Decision{Action: Stop, Reason: r} }

// Decide says whether a try is added. A Retry or Hedge may begin only after
// Budget.Spend has taken the decision, when its wait is over.
func Decide(in Input) Decision {
	if in.Last == 0 {
		return decideHedge(&in)
	}
	switch {
	case in.Last == fleet.TryCanceled:
		return stop(Canceled)
	case in.Unsent || in.Last.RefusedUnrun():
		return decideUnrun(&in)
	case !in.Last.Failed():
		return stop(Answered)
	}
	return decideRetry(&in)
}

func decideRetry(in *Input) Decision {
	switch {
	case in.Policy.Class != fleet.Lookup:
		return stop(NotIdempotent)
	case in.BodyConsumed:
		return stop(BodyConsumed)
	case in.Tries >= in.Policy.Attempts:
		return stop(Exhausted)
	case in.Running > 0:
		// The other try is the retry.
		return stop(Exhausted)
	case in.Budget.Overloaded:
		return stop(Overloaded)
	}
	after := backoff(in)
	switch {
	case !in.fits(after):
		return stop(TooLate)
	case in.Budget.Tokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Retry, After: after}
}

// decideUnrun decides after a try that ran nothing.
func decideUnrun(in *Input) Decision {
	switch {
	case in.BodyConsumed:
		return stop(BodyConsumed)
	case in.Tries >= max(unrunAttempts, in.Policy.Attempts):
		return stop(Exhausted)
	case in.Running > 0:
		return stop(Exhausted)
	case in.Last == fleet.TryShed && in.Budget.Saturated:
		return stop(Overloaded)
	case !in.OtherTarget:
		return stop(NoTarget)
	}
	after := time.Duration(0)
	if in.Last == fleet.TryShed {
		after = backoff(in)
	}
	switch {
	case !in.fits(after):
		return stop(TooLate)
	case in.Budget.UnrunTokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Retry, After: after, Unrun: true}
}

func decideHedge(in *Input) Decision {
	switch {
	case in.Policy.HedgeAfter == 0 || in.Policy.Class != fleet.Lookup:
		return stop(NotAllowed)
	case in.BodyConsumed:
		return stop(BodyConsumed)
	case in.Tries >= in.Policy.Attempts || in.Running > 0:
		return stop(Exhausted)
	case in.Budget.Overloaded:
		return stop(Overloaded)
	case !in.OtherTarget:
		return stop(NoTarget)
	}
	after := max(0, in.FirstTry.Add(in.Policy.HedgeAfter).Sub(in.Now))
	switch {
	case !in.fits(after):
		return stop(TooLate)
	case in.Budget.Tokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Hedge, After: after}
}

// fits tells whether an answer is to be expected before the deadline.
func (in *Input) fits(after time.Duration) bool {
	return !in.Now.Add(after + in.Expected).After(in.Deadline)
}

// backoff is the wait before the next try. Another target is waited for by
// jitter alone; the same one for at least as long as it asked.
func backoff(in *Input) time.Duration {
	top := min(backoffMax, backoffBase<<min(in.Tries-1, 10))
	wait := time.Duration(in.Random * float64(top))
	if !in.OtherTarget {
		wait = max(wait, in.RetryAfter)
	}
	return wait
}
