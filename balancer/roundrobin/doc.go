// Package roundrobin chooses targets in rotation. It is a baseline for the
// evaluation of other policies. It ignores weights: targets on trial receive
// a full share of the requests.
package roundrobin
