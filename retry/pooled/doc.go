// Package pooled bounds the attempts that a whole fleet adds to its requests, to
// a ratio of the requests in a sliding window and a fixed slack.
//
// Each instance has a token bucket. Half of the bound is what the buckets of all
// instances hold when they are full; the other half is what flows into them within a
// window: for each request a part of the ratio, and with time an even part of the slack.
// What leaves a bucket within a window is at most what was in it at its start
// and what flowed in, so that the bound holds whatever the instances have heard of
// each other. A process starts with an empty bucket, for an earlier one at its place may have
// just spent what was in its own: restarts only leave attempts unused.
//
// An instance that runs short borrows from neighbours, parts of a token too, since in a
// large fleet a bucket holds hardly more than one. The lender takes out what it lends before
// it says so: a message that is late or lost, or a process that ends, again only leaves
// attempts unused.
//
// The package reads no clock and does no I/O.
package pooled
