// Package header defines the HTTP header fields that instances exchange with
// callers and targets. docs/TARGETS.md documents them for target developers.
package header
