// Package document defines the gateway's configuration as one versioned document: routes, services
// and the limits on callers. A document replaces the previous one as a whole, and only if its
// version is higher, so that a lagging source cannot revert the fleet.
//
// A Table is the immutable form of a document that serves requests.
package document
