// Package upstream sends requests to the targets of a service.
//
// A Try is one request sent to one target. Its Result says what it proves of
// the target (fleet.TryResult) and whether anything was sent: a request of
// which no byte left this instance certainly did not run. Answers are read
// whole, within a bound, before anything is passed on, so that an answer that
// breaks off in the middle is never taken for a whole one.
package upstream
