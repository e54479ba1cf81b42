// Package explain determines from instances' log files why a request ended as it did.
//
// It collects the lines of the request and the lines of the state that its decisions
// were based on: the last change of the health estimate of each attempted target, the
// document in force, and whether the store or peers were unavailable at the time. It
// sorts them by time, marks the deciding line, states the age of the health estimate
// behind it, and reports which information is missing.
package explain
