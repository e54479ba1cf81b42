// Package eventlog writes one line of key=value pairs for each decision that
// affects a request or changes the state of the instance.
//
// Lines go to standard output through a bounded queue. If standard output blocks,
// lines are dropped and counted, and no request waits. Under load the volume is
// limited to LinesPerSecond with a burst of LinesBurst; the number of dropped lines
// is logged. Lifecycle events of the process and its dependencies are exempt from
// the rate limit.
//
// Every line starts with its event, one of the constants of this package.
// docs/OPERATIONS.md explains each event.
package eventlog
