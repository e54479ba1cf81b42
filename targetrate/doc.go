// Package targetrate tracks the rate limits that targets announce in their responses, in requests per
// second from all instances together, and grants requests within them.
//
// The latest announcement that any instance received applies. An announced rate counts from the receipt of
// its response; the end of a rate counts from the start of the attempt whose response announced none. The
// result therefore does not depend on the order in which instances receive announcements.
//
// One instance at a time, the holder, has the token bucket of a target's rate, and other instances request
// each token from it. Instances derive the holder from the instances that they hear from; a new holder starts
// with an empty bucket.
//
// The package reads no clock and does no I/O. A Table is safe for concurrent use.
package targetrate
