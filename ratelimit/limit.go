package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// minOverdraft is the minimum overdraft of an account, in tokens.
	minOverdraft = 2
	// overdraftDivisor is the divisor of the burst that gives the sum of all overdrafts.
	overdraftDivisor = 2
	// fullReach is the share of listed instances at or above which a limiter
	// counts all of them as reached.
	fullReach = 0.9
)

// LimitID identifies one limit of a customer. It is stable across contract
// revisions and the same at every instance.
type LimitID uint32

// CustomerWide is the limit on all of a customer's routes together.
const CustomerWide LimitID = 0

// RouteID returns the limit of the route with the given name.
func RouteID(route string) LimitID {
	id := LimitID(xxhash.Sum64String(route))
	if id == CustomerWide {
		return 1
	}
	return id
}

// Limit is one limit over the whole fleet.
type Limit struct {
	ID LimitID
	// Rate is in requests per second.
	Rate float64
	// Burst is the depth of the bucket in requests.
	Burst float64
	// Concurrency is the number of requests in flight; 0 means unbounded.
	Concurrency int
}

// Limits are a customer's limits: the customer-wide limit first, then its routes'.
type Limits []Limit

// LimitsOf returns the limits that a contract sets.
func LimitsOf(c *contract.Contract) Limits {
	limits := make(Limits, 0, 1+len(c.Routes))
	limits = append(limits, limitOf(CustomerWide, c.Limits))
	for i := range c.Routes {
		r := &c.Routes[i]
		limits = append(limits, limitOf(RouteID(r.Name), r.Limits))
	}
	return limits
}

func limitOf(id LimitID, l contract.Limits) Limit {
	burst := float64(l.Burst)
	if burst == 0 {
		burst = math.Max(1, l.Rate)
	}
	return Limit{ID: id, Rate: l.Rate, Burst: burst, Concurrency: l.Concurrency}
}

// Source returns a customer's limits in force.
type Source func(fleet.CustomerID) (Limits, bool)

// View is an instance's view of the fleet.
type View struct {
	// Listed is the number of instances on the platform's list, at least 1.
	Listed int
	// Reached is how many of them, including this one, this instance can reach.
	Reached int
	// Since is when the view last changed.
	Since time.Time
}

// scope returns the share of each limit that a limiter with this view hands out.
func (v View) scope() float64 {
	share := float64(v.Reached) / float64(v.listed())
	if share >= fullReach {
		return 1
	}
	return share
}

func (v View) listed() int { return max(1, v.Listed) }

// overdraft returns the overdraft of one account in tokens.
func (l *Limit) overdraft(n int) float64 {
	return math.Max(minOverdraft, l.Burst/float64(overdraftDivisor*n))
}

// ownSlots returns the concurrency of an account without a grant.
func (l *Limit) ownSlots(n int) int {
	return max(minSlots, l.Concurrency/n)
}
