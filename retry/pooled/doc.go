// Package pooled limits the attempts that a fleet adds to its requests: in a sliding window, to a ratio of
// the requests plus a fixed slack.
//
// Each instance has a token bucket. Half of the limit is the capacity of all buckets together; the other half
// flows into them within a window, as a part of the ratio for each request and an even share of the slack
// over time. The tokens spent in a window are at most those in the bucket at its start and those that
// flowed in, so that the limit holds whatever messages the instances have received from each other.
// A process starts with an empty bucket, since its predecessor may have just spent its own: restarts only
// leave attempts unused.
//
// An instance that runs out of tokens borrows from neighbors. Loans may be fractions of a token, since a
// bucket hardly holds more than one in a large fleet. The lender removes the tokens before it sends the
// loan, so that late or lost messages and processes that end also only leave attempts unused.
//
// The package reads no clock and does no I/O.
package pooled
