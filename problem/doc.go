// Package problem writes errors to callers as application/problem+json
// (RFC 9457). Each kind of error has a Type that stays the same for ever, so
// that a caller's program can tell them apart.
package problem
