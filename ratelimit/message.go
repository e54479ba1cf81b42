package ratelimit

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Demand is an account's request to its customer's limiter.
type Demand struct {
	Customer fleet.CustomerID
	Holder   fleet.Holder
	// Seq numbers the demands of one process in increasing order, starting at 1.
	Seq uint64
	// Applied is the Seq of the last grant that the account applied. Of later
	// grants it applies only the one that answers this demand.
	Applied uint64
	Limits  []LimitDemand
}

// LimitDemand is the part of a demand for one limit.
type LimitDemand struct {
	ID LimitID
	// Balance is in tokens; it is negative while the account is in debt.
	Balance float64
	// Want is the number of tokens that the account lacks.
	Want float64
	// Offered is the rate of requests per second, including refused ones.
	Offered float64
	// Slots is the concurrency that was granted and is in force, 0 if none is.
	Slots int
	// InFlight is the number of requests in flight.
	InFlight int
	// Busy is the mean number of requests in flight since the last demand.
	Busy float64
	// WantSlots is the concurrency that the account can use.
	WantSlots int
}

// Charge pays the debt of an account that is used too rarely to hold tokens. It
// needs no state at the limiter. A charge whose answer is lost is made again, so
// that the customer pays twice.
type Charge struct {
	Customer fleet.CustomerID
	// Seq identifies a charge within the process; it is not sent to the limiter.
	Seq    uint64
	Limits []LimitCharge
}

// LimitCharge is the part of a charge for one limit.
type LimitCharge struct {
	ID     LimitID
	Tokens float64
}

// Due holds the messages that an instance has to send to limiters.
type Due struct {
	Demands []Demand
	Charges []Charge
}

// Grant is the limiter's answer to one demand.
type Grant struct {
	Customer fleet.CustomerID
	// Seq is that of the demand.
	Seq uint64
	// Lifetime is how long the grant is valid, from when the demand was sent.
	Lifetime time.Duration
	// Stale reports that the demand was older than one already answered; the
	// grant is then empty.
	Stale  bool
	Limits []LimitGrant
}

// LimitGrant is the part of a grant for one limit.
type LimitGrant struct {
	ID LimitID
	// Tokens are added to the balance.
	Tokens float64
	// Slots replace the account's concurrency.
	Slots int
	// Level is the number of tokens left at the limiter, for headers only.
	Level float64
	// Share is the account's part of the requests offered over the fleet.
	Share float64
}
