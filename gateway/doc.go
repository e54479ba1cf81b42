// Package gateway implements a proxy instance: it accepts callers' requests, looks up
// their route in the current document, places each on a target and returns the target's
// complete response.
//
// Knowledge holds the state that placement and retries depend on, in one table for each
// kind of entity: health estimates of targets, load, paths and budgets. Packets of other
// instances and the instance's own attempts update it, and a ticker drops old entries.
// choice.go selects targets, learn.go derives observations from attempts, evidence.go
// updates health estimates by them, attemptGroup.retry decides on retries and call.serve
// refuses requests.
//
// Guarantees for each request:
//
//   - a non-repeatable request is sent to another target only if no part of it has left
//     the instance or the first target confirmed that it did not run it;
//   - a response is forwarded completely or not at all, and only if it names the request;
//   - a refusal (503) is sent only if no target may have run the request;
//   - when a request is given up, the caller gets its response at once.
package gateway
