// Package allowance carries the messages of package ratelimit between
// instances.
//
// The Client of each instance sends demands for the customers with recent
// traffic there. Demands that are due at the same time for limiters on the same
// instance go into one call. Most wait for the client's tick; those of an
// account that is about to refuse requests are sent immediately. The Server of
// the instance that is the customer's limiter handles the calls.
//
// The request path never waits for a call: it takes from a ratelimit.Table. A
// failed or late call has no effect; the account sends its demand again.
//
// To limit the number of calls with many customers, limiters are placed by partition: all
// customers of one partition have the same limiter (Partition).
package allowance
