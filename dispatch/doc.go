// Package dispatch runs the tries of one request at the targets of a service.
//
// Package retry makes the decisions; this package carries them out. It starts
// the first try, adds a retry after a failure or a hedge (a parallel second
// try) when the first is slow, returns the first successful response and
// cancels the other tries. Tries are never shared between requests, so a late
// response cannot reach another caller.
//
// Only lookups run more than one try at a time. Requests of other classes are
// tried again only if the target certainly did not run the request.
package dispatch
