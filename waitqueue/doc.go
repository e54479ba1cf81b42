// Package waitqueue orders the requests of one service that wait at an instance for an attempt.
//
// Requests are tried by rank; within a rank by weighted round robin, each tenant that waits having a number of requests
// in each round in proportion to its weight; within a round by deadline. Requests that can still meet their objective
// come first, ordered by the last start that meets it; then the others, by their last useful start. Requests that a
// tenant was recently granted count towards its rounds, so that none holds the queue for long.
//
// A queue is bounded in requests and bytes. When it is full, the last in order is removed.
//
// The package reads no clock and does no I/O.
package waitqueue
