// Package route finds the route of a request: from the Host header to the
// customer, and from the path to the longest matching prefix of the customer's
// contract.
//
// A Table is immutable and built from a publication.View; the request path
// reads it without locks or allocations. Update builds the next table and
// shares the routes of every contract that did not change.
package route
