package retry

import (
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
)

// notRunAttempts limits the tries of a request, of any class, whose earlier tries
// the target did not run. A higher limit in the policy takes precedence.
const notRunAttempts = 3

// Policy says which extra tries a route allows.
type Policy struct {
	Class fleet.Class
	// Attempts limits the tries of one request, including the first.
	Attempts int
	// Percent limits retries and hedges, in percent of first tries.
	Percent int
	// HedgeAfter is the time from the start of the first try after which a
	// hedge may start; 0 disables hedging.
	HedgeAfter time.Duration
}

// PolicyOf returns the policy of a route with defaults filled in.
func PolicyOf(r *contract.Route) Policy {
	p := Policy{Class: r.Class, Attempts: 1}
	if r.Class != fleet.Lookup {
		return p
	}
	if r.Hedge != nil {
		p.HedgeAfter = r.Hedge.After.D()
		p.Attempts = contract.DefaultAttempts
		p.Percent = contract.DefaultBudgetPercent
	}
	if r.Retry != nil {
		p.Attempts = r.Retry.Attempts
		p.Percent = r.Retry.BudgetPercent
	}
	return p
}
