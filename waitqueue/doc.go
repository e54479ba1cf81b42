// Package waitqueue orders the requests of one service that wait at an instance for an attempt.
//
// Requests are tried by rank; within a rank in rounds, in each of which every tenant that waits has a number of
// requests in proportion to its weight; within a round what is lost next comes first. Requests that a tenant was
// recently granted count towards its rounds, so that none holds the queue for long. With one tenant, only
// rank and loss decide.
//
// A queue is bounded in requests and bytes. When it is full, the last in order gives way.
//
// The package reads no clock and does no I/O.
package waitqueue
