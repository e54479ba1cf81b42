package retry

import (
	"fmt"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// backoffBase is the maximum wait before the second try. It doubles with
	// each further try, up to backoffMax.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// Action says whether a try is added, and of which kind.
type Action uint8

const (
	// Stop means that no try is added.
	Stop Action = iota + 1
	// Retry means that a new try follows the failed one.
	Retry
	// Hedge means that a second try starts while the first still runs.
	Hedge
)

// Reason says why no try is added.
type Reason uint8

const (
	// Answered: the last try did not fail.
	Answered Reason = iota + 1
	// Canceled: the caller or this instance canceled the request.
	Canceled
	// NotIdempotent: the target may have run a request that must not be repeated.
	NotIdempotent
	// BodyConsumed: the request's body can't be sent again.
	BodyConsumed
	// Exhausted: the attempts are used up, or another try still runs.
	Exhausted
	// Overloaded: the service sheds too many tries to allow extra ones.
	Overloaded
	// NoTarget: no other target is available.
	NoTarget
	// TooLate: no response is expected before the deadline.
	TooLate
	// OverBudget: the service's budget is used up.
	OverBudget
	// NotAllowed: the route does not allow hedging.
	NotAllowed
)

var reasonNames = [...]string{
	Answered: "answered", Canceled: "canceled", NotIdempotent: "not-idempotent",
	BodyConsumed: "body-consumed", Exhausted: "exhausted", Overloaded: "overloaded",
	NoTarget: "no-target", TooLate: "too-late", OverBudget: "over-budget",
	NotAllowed: "not-allowed",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r == 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Input is the state of one request, on which Decide bases its decision.
type Input struct {
	Now      time.Time
	Deadline time.Time
	Policy   Policy
	// Tries is the number of tries begun, including the first; at least 1.
	Tries int
	// Last is the result of the last try; 0 while it runs.
	Last fleet.TryResult
	// Unsent reports whether no byte of the last try was sent.
	Unsent bool
	// Running is the number of other tries that still run.
	Running int
	// FirstTry is the start time of the first try.
	FirstTry time.Time
	// Expected is the expected latency of another try.
	Expected time.Duration
	// OtherTarget reports whether a target not yet tried is available.
	OtherTarget bool
	// RetryAfter is the wait that the last target requested.
	RetryAfter time.Duration
	// BodyConsumed reports whether the request's body can't be sent again.
	BodyConsumed bool
	// Random is a uniform random number in [0, 1).
	Random float64
	// Budget is the state of the service's budget, from Budget.State.
	Budget State
}

// Decision is the result of Decide: whether, when and on which budget a try is
// added after a failed one or alongside a running one.
type Decision struct {
	Action Action
	// After is the wait before a retry or hedge, from Input.Now.
	After time.Duration
	// NotRun reports whether the retry is charged to the bucket for tries that
	// the target did not run (State.NotRunTokens).
	NotRun bool
	// Reason is set only if Action is Stop.
	Reason Reason
}

func stop(r Reason) Decision { return Decision{Action: Stop, Reason: r} }

// Decide decides whether a try is added. A Retry or Hedge may begin only if
// Budget.Spend returns true for the decision once its wait is over.
func Decide(in Input) Decision {
	if in.Last == 0 {
		return decideHedge(&in)
	}
	switch {
	case in.Last == fleet.TryCanceled:
		return stop(Canceled)
	case in.Unsent || in.Last.NotRun():
		return decideNotRun(&in)
	case !in.Last.Failed():
		return stop(Answered)
	}
	return decideRetry(&in)
}

// decideRetry decides after a failed try that the target may have run.
func decideRetry(in *Input) Decision {
	switch {
	case in.Policy.Class != fleet.Lookup:
		return stop(NotIdempotent)
	case in.BodyConsumed:
		return stop(BodyConsumed)
	case in.Tries >= in.Policy.Attempts:
		return stop(Exhausted)
	case in.Running > 0:
		// The other try serves as the retry.
		return stop(Exhausted)
	case in.Budget.Overloaded:
		return stop(Overloaded)
	}
	after := backoff(in)
	switch {
	case !in.fitsDeadline(after):
		return stop(TooLate)
	case in.Budget.Tokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Retry, After: after}
}

// decideNotRun decides after a try that the target did not run.
func decideNotRun(in *Input) Decision {
	switch {
	case in.BodyConsumed:
		return stop(BodyConsumed)
	case in.Tries >= max(notRunAttempts, in.Policy.Attempts):
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
	case !in.fitsDeadline(after):
		return stop(TooLate)
	case in.Budget.NotRunTokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Retry, After: after, NotRun: true}
}

// decideHedge decides on a hedge while the last try runs.
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
	case !in.fitsDeadline(after):
		return stop(TooLate)
	case in.Budget.Tokens < 1:
		return stop(OverBudget)
	}
	return Decision{Action: Hedge, After: after}
}

// fitsDeadline reports whether a try that begins after the given wait is
// expected to end before the deadline.
func (in *Input) fitsDeadline(after time.Duration) bool {
	return !in.Now.Add(after + in.Expected).After(in.Deadline)
}

// backoff returns the wait before the next try: exponential backoff with full
// jitter and, if only the same target is left, at least its RetryAfter.
func backoff(in *Input) time.Duration {
	top := min(backoffMax, backoffBase<<min(in.Tries-1, 10))
	wait := time.Duration(in.Random * float64(top))
	if !in.OtherTarget {
		wait = max(wait, in.RetryAfter)
	}
	return wait
}
