// Package statesync keeps an instance's configuration document and registry of
// targets up to date, from a store that the instance may not reach and from
// peers that may be ahead.
//
// A few instances in each zone read the store by long polls; the others learn from
// heartbeats that a peer is ahead and pull its state. An instance whose readers
// fall silent, or that knows no peer, reads the store itself. State moves by
// version and offset and only upwards, whoever tells it, so that it does not
// matter which source is late, and a fresh process takes the best that any of
// them has.
package statesync
