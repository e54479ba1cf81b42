package retry

import (
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
)

// unrunAttempts bounds the tries of one request whose tries before ran
// nothing, for all classes.
const unrunAttempts = 3

// Policy is what a route allows.
type Policy struct {
	Class fleet.Class
	// Attempts bounds the tries of one request, the first included.
	Attempts int
	// Percent bounds retries and hedges in percent of first tries.
	Percent int
	// HedgeAfter is when a hedge may start; 0 means never.
	HedgeAfter time.Duration
}

// PolicyOf returns the policy of a route with its defaults filled in.
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
