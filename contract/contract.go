package contract

import (
	"github.com/clementinereel/clementinereel/fleet"
)

// Format is the only value that Contract.Format may have.
const Format = "clementinereel/contract/v1"

// Contract is what an operator publishes for one customer.
type Contract struct {
	// Format is the version of this document's format: Format. Required.
	Format string `json:"format"`
	// Customer names the customer: lower-case letters, digits and dashes,
	// 1 to 63 characters. Required.
	Customer fleet.CustomerID `json:"customer"`
	// Hosts are the values of the Host header, without port, that belong to
	// the customer. A host may stand in one contract only. At least one.
	Hosts []string `json:"hosts"`
	// Limits bound the customer's traffic over all routes together.
	Limits Limits `json:"limits"`
	// Services are the groups of targets that the routes reach. At least one.
	Services []Service `json:"services"`
	// Routes map requests to services. The longest matching path prefix
	// wins. At least one.
	Routes []Route `json:"routes"`
}

// Limits bound a flow of requests over the whole fleet, whichever instances
// they arrive at.
type Limits struct {
	// Rate is the sustained number of requests a second. Required, above 0.
	Rate float64 `json:"rate_per_second"`
	// Burst is how many requests may come at once above the rate. Default:
	// one second's worth of Rate.
	Burst int `json:"burst,omitempty"`
	// Concurrency is how many requests may be in flight at once over the
	// whole fleet. Default 0: bounded by the targets' slots only.
	Concurrency int `json:"concurrency,omitempty" zero:"allowed"`
}

// Service is a group of like targets.
type Service struct {
	// Name is unique in the contract; same characters as Customer. Required.
	Name string `json:"name"`
	// Slots is how many requests one target serves at once. Required, 1 to
	// 1024. More than Slots requests queue at the target or are shed by it.
	Slots int `json:"slots_per_target"`
	// Connections is how many connections one target accepts from all
	// instances together. Required, at least Slots.
	Connections int `json:"connections_per_target"`
	// Floor is the share of the service's announced targets, in percent,
	// that ejections must leave in use. Default 70; 1 to 100.
	Floor int `json:"floor_percent,omitempty"`
	// Detection says how ejection weighs its two errors.
	Detection Detection `json:"detection"`
	// SlowStart is how long a joining or returning target is given less
	// than its full share of work. Default "10s".
	SlowStart Duration `json:"slow_start,omitempty"`
}

// Detection weighs false ejections (healthy targets set aside) against
// detection time (how long a sick target keeps receiving work).
type Detection struct {
	// FalseEjectionWeight is from 0 (only speed matters) to 1 (only false
	// ejections matter). Default 0.5.
	FalseEjectionWeight *float64 `json:"false_ejection_weight,omitempty"`
	// BaseEjection is how long a target's first ejection lasts before trial
	// traffic. Each further ejection doubles it. Default "5s".
	BaseEjection Duration `json:"base_ejection,omitempty"`
	// MaxEjection bounds the doubling. Default "2m".
	MaxEjection Duration `json:"max_ejection,omitempty"`
}

// Route maps requests to a service and bounds them.
type Route struct {
	// Name is unique in the contract; same characters as Customer. Required.
	Name string `json:"name"`
	// PathPrefix selects requests whose path is the prefix or continues it
	// after a slash. It begins with a slash. Required.
	PathPrefix string `json:"path_prefix"`
	// Methods selects requests by method. Default: all methods that the
	// class allows (lookup: GET, HEAD; confirmation: POST; upload: POST, PUT).
	Methods []string `json:"methods,omitempty"`
	// Service is the name of one of the contract's services. Required.
	Service string `json:"service"`
	// Class is "lookup", "confirmation" or "upload". Required.
	Class fleet.Class `json:"class"`
	// Limits bound the route, within the customer's Limits. Required.
	Limits Limits `json:"limits"`
	// Deadline bounds one request from its arrival to its whole answer.
	// Required; lookup: at most "30s", others at most "10m".
	Deadline Duration `json:"deadline"`
	// MaxBody bounds the request body in bytes. Default 64 KiB for lookups
	// and confirmations, 64 MiB for uploads.
	MaxBody int64 `json:"max_body_bytes,omitempty"`
	// MaxAnswer bounds the answer's body in bytes. Default 1 MiB. Answers
	// are held whole before the first byte goes to the caller.
	MaxAnswer int64 `json:"max_answer_bytes,omitempty"`
	// Value orders routes when capacity is short: the lowest is shed first.
	// Default 50; 1 to 100.
	Value int `json:"value,omitempty"`
	// Retry is allowed for class lookup only.
	Retry *Retry `json:"retry,omitempty"`
	// Hedge is allowed for class lookup only.
	Hedge *Hedge `json:"hedge,omitempty"`
	// RepeatWindow is how long a confirmation's key is remembered: a repeat
	// within it gets the first answer. Default "24h"; class confirmation only.
	RepeatWindow Duration `json:"repeat_window,omitempty"`
}

// Retry allows further tries of an idempotent request.
type Retry struct {
	// Attempts bounds the tries of one request, the first included.
	// Default 2; 1 to 5.
	Attempts int `json:"attempts,omitempty"`
	// BudgetPercent bounds retries and hedges together over the whole fleet,
	// in percent of first tries. Default 10; 1 to 50.
	BudgetPercent int `json:"budget_percent,omitempty"`
}

// Hedge allows a second, parallel try of a slow idempotent request.
type Hedge struct {
	// After is how long the first try may take before the second starts.
	// Required; less than the route's Deadline.
	After Duration `json:"after"`
}
