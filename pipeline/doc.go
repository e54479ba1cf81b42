// Package pipeline serves idempotent requests side by side that a caller sends on a
// connection before the first of them has its response (HTTP/1.1 pipelining).
//
// It stands between the connection and net/http.Server, which serves them one after the
// other. While a handler runs, Conn goes on reading into a bounded buffer, recognizes
// complete further requests and starts those that may be repeated. When net/http reaches
// such a request, Server hands its response writer to the running handler instead of
// calling the handler again. Framing, order, limits and errors stay with net/http.
//
// Conn finds the end of a request without a body by delivering at most one header at a
// time: when net/http calls the handler, its own buffer is empty and the next byte begins
// the next request. Behind a request that may run once only nothing is started, and behind
// one with a chunked body nothing that arrives with it.
//
// A connection on which nothing is sent ahead has no buffer and no goroutine of its own.
package pipeline
