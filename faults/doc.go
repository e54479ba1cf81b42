// Package faults holds the tests with real processes behind a fault-injecting
// proxy, and what they share.
//
// A Fleet is a set of `clementinereel serve` processes on loopback. The
// platform's stand-in and the emulated targets run in the test's own process.
// A Link, made by toxiproxy, cuts one direction or both, and delays. One
// stands between each instance and the platform. A Switch before each
// instance's peer address and, on request, before each target gives every
// instance that connects a Link of its own, so that pairs can be cut.
// Processes are started, killed, paused and stopped as an operating system
// does it.
//
// Tests wait for conditions with generous limits and assert promises, never
// how long something took. docs/TESTING.md tells how to run and write them.
package faults
