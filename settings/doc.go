// Package settings reads and checks the JSON settings of one instance.
//
// Settings hold what differs from instance to instance (names, addresses) and
// the bounds that protect the process. What customers may do stands in
// contracts, never here.
package settings
