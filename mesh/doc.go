// Package mesh lets the instances of a gateway tell each other what they see, by
// datagrams from each to all.
//
// Each instance sends a heartbeat several times a second: its versions of the
// configuration, the load that it puts on targets, what it spent of shared
// budgets, observations of targets, and the addresses of a few others. What
// cannot wait, such as a failed attempt, is sent at once. A datagram may be
// lost; nothing depends on a single one.
//
// An instance becomes known by its seeds, by the store's list of addresses, or by
// being named in a heartbeat, and counts once it was heard. At 36 instances each
// sends and receives about 120 small datagrams a second; the interval grows with
// the fleet so that this number stays bounded.
package mesh
