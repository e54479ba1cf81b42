// Package header names the HTTP header fields that instances exchange with
// callers and targets. docs/TARGETS.md is the same list for whoever writes a
// target.
package header
