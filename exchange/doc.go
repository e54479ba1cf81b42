// Package exchange sends one request to one target over one connection and
// reports the outcome: a complete response, a request that the target did not
// run, a request that was never sent, or an unknown outcome.
//
// No request is sent twice. A connection is returned to the Cache only if its
// response ended exactly at its framing. A response with another request's ID
// belongs to an earlier request on the same connection; it is skipped, since the
// expected response may follow. No connection carries two requests with the same ID,
// as a late second copy of the first one's response would pass for the response to
// the second.
//
// net/http parses and serializes the messages. Its Transport is not used because
// it retries on its own and does not report what was sent.
package exchange
