// Package document holds the gateway's configuration as one whole, versioned
// document: routes, services and the limits on callers. A document replaces the
// one before it as a whole and only if its version is higher, so that a lagging
// source can never take the fleet back.
//
// A Table is the immutable form that the request path reads.
package document
