//go:build race

package faults

// raceFlags are given to the build of the binaries under test.
var raceFlags = []string{"-race"}
