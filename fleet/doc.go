// Package fleet holds the identifiers that every other package shares: the
// names of customers, services, targets and instances, the class of a route
// and the outcome of a request.
//
// The types carry no behaviour beyond parsing and printing, so that decision
// packages can depend on them without depending on each other.
package fleet
