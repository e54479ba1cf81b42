// Package upstream sends requests to the targets of a service.
//
// A try is one request sent to one target. Its Result holds the outcome for
// the target's health estimate (fleet.TryResult) and whether anything was sent:
// a request of which no byte left this instance certainly did not run.
// Responses are buffered completely, up to a size limit, before anything is
// forwarded, so that a truncated response is never taken for a complete one.
package upstream
