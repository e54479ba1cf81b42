// Package spending decides when the requests of a service that wait get one of the attempts that the retry budget
// allows.
//
// The budget is a token bucket. While a service rejects widely, a Planner keeps ReservedShare of the bucket and grants
// attempts only from what is above it, to the first in order. After the service has recovered it grants them from the
// whole bucket at a limited rate, so that those that still wait do not arrive together. A request that reaches its last
// useful start gets an attempt if the budget allows one at that moment and, after a recovery, it is at most one ahead of
// that rate. Otherwise it is given up.
//
// A request may wait only if the tokens in the bucket and its refill are expected to cover it and those ahead. First
// attempts need no token and are not planned here.
//
// The package reads no clock and does no I/O; randomness is handed in.
package spending
