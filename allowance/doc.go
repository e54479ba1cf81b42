// Package allowance carries the messages of package ratelimit between
// instances.
//
// A Client at each instance asks for the customers with recent traffic there.
// Demands that are due at the same moment for limiters at the same instance go
// in one call. Most wait for the client's tick; an account that is about to
// refuse requests is asked for at once. Calls are answered by the Server of the
// instance that is the customer's limiter.
//
// The request path never waits for a call: it takes from a ratelimit.Table. A
// call that fails or is late has no effect; the account asks again.
//
// To keep calls few at many customers, limiters are placed by partition: all
// customers of one partition have the same limiter (Partition).
package allowance
