// Package statesync keeps an instance's configuration document and target registry
// up to date, from a platform store that may be unreachable and from peers that may
// have newer state.
//
// A few instances in each zone read the store by long polls; the others learn from
// heartbeats that a peer is ahead and pull its state. An instance reads the store
// itself if its zone's readers fail or it has no peers. State is ordered by version
// and offset and only ever moves forward, whatever its source, so delayed updates
// are harmless and a new process gets the newest state that any source has.
package statesync
