// Package spending decides when the requests of a service that wait get one of the attempts that the retry budget
// allows.
//
// An attempt is worth the probability that it is accepted, and the budget allows the same number whenever they are
// made. While a service rejects widely, a Planner keeps a part of the stock of the budget and grants only what
// flows in beyond it, to the first in order. After the service has recovered the stock pays for those that still wait, spread
// over time so that they do not arrive together. A request that reaches its last useful start gets an attempt if the budget
// allows one at that moment and no more than one goes ahead of the pace, and is given up otherwise.
//
// A request may wait only if stock and inflow are expected to cover it and those ahead. First attempts
// are no matter of this package.
//
// The package reads no clock and does no I/O; randomness is handed in.
package spending
