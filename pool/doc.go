// Package pool keeps the connections from one instance to its targets: few,
// bounded and warm.
//
// # The model
//
// A target accepts a few hundred connections from all instances together, and
// a new one costs about a millisecond. The balancer gives each instance a
// share of each target's connections; a Set keeps one HTTP/1.1 transport a
// target within that share. Update follows the balancer's Picker: targets
// that left lose their idle connections at once, and those that are busy when
// their answers end. Warm opens connections ahead of use.
//
// # What was sent
//
// Work that must run at most once needs to know whether a target can have
// seen any of it. net/http's own trace tells when a request was handed to a
// buffer, not whether bytes left. So the Set wraps every connection and
// counts writes on it; Trace.Sent compares. If no write began, it seals the
// connection in the same step, so that a write that is still on its way
// inside the transport fails and the answer stays true.
//
// # No hidden repeats
//
// http.Transport repeats some requests by itself when a reused connection
// breaks before the answer: GET and HEAD, and any request with an
// Idempotency-Key header that has no body or a GetBody. Here no request is
// ever sent twice by the transport: repeats belong to the retry budget, and
// those of a confirmation to nobody.
package pool
