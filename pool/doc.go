// Package pool manages the connections from one instance to its targets, with
// a limit per target and connections opened ahead of use.
//
// # The model
//
// A target accepts a few hundred connections from all instances together, and
// opening one takes about a millisecond. The balancer gives each instance a
// share of each target's connections; a Set keeps one HTTP/1.1 transport per
// target within that share. Update applies the shares of the balancer's Picker:
// idle connections to removed targets are closed at once, busy ones when their
// responses end. Warm opens connections ahead of use.
//
// # Which response belongs to a request
//
// net/http matches responses to requests by their order on the connection, and
// targets need not repeat the ID of a request. An extra response that arrives
// once the next request was sent counts as the response to that one. Requests
// that must run at most once therefore use connections that carry nothing else
// (Set.SingleUse), within the same share.
//
// # What was sent
//
// For requests that must run at most once, the caller needs to know whether a
// target can have received any part of them. The trace of net/http reports when
// a request was written to a buffer, not whether bytes left. The Set therefore
// wraps every connection and counts its writes; Trace.Sent compares the counts.
// If no write has started, it seals the connection in the same step, so that a
// write still pending inside the transport fails and the result stays valid.
//
// # No hidden retries
//
// http.Transport retries some requests itself when a reused connection breaks
// before the response: GET and HEAD, and any request with an Idempotency-Key
// header that has no body or a GetBody. Here the transport never sends a request
// twice: retries are subject to the retry budget, and confirmations must not be
// retried.
package pool
