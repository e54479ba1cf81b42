// Package eventlog writes one line of key=value pairs for each decision that
// touches a request or changes what the instance believes.
//
// Lines go to standard output through a bounded queue: when standard output does
// not take them, lines are dropped and counted, and no request waits. A rate
// bounds the volume under load: at most LinesPerSecond with a burst of
// LinesBurst; what was left out is counted and said in a line of its own. Lines
// of the process's own life (start, stop, dependencies) are never left out by
// the rate.
//
// Every line names its event; the events are the constants of this package and
// docs/OPERATIONS.md explains each.
package eventlog
