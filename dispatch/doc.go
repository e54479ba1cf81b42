// Package dispatch runs the tries of one request at the targets of a service.
//
// Package retry decides, this package carries out: it starts the first try,
// adds a retry when one has failed or a hedge when one is slow, takes the
// first good answer and cancels the other tries. Each try belongs to the one
// request that started it, so a late answer can reach nobody else.
//
// Only lookups have more than one try at a time. For the other classes a try
// follows another only if the target certainly did not run the request.
package dispatch
