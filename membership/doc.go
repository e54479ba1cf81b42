// Package membership implements a SWIM-style gossip protocol that maintains
// each instance's view of the other instances.
//
// # Model
//
// Each instance holds a table of member records. A record names a process (an
// instance and its incarnation), its peer address, its state, the
// configuration offset it has applied and whether it is ready. Records of one
// instance are ordered by incarnation, then by version, then by state; a later
// record always replaces an earlier one, regardless of the order of arrival.
// Only the member itself raises its version: it refutes a false suspicion by
// announcing itself under the next version.
//
// Every interval an instance pings one other member, in a random order that
// visits every member before it repeats one. If no ack arrives in time, it asks
// a few relays (other members) to ping on its behalf, so that a one-way network
// failure between the two causes no suspicion. If the relays fail as well, the
// member becomes suspect, and dead if it has not refuted the suspicion by the
// end of the suspicion time.
//
// An instance most of whose probes fail assumes that the fault is local: it
// extends its probe timeouts and finally suspects nobody. While no peer answers
// it, it declares no member dead until so much time has passed that it must be
// the last instance running. An instance that receives a suspicion about itself
// but has not been pinged for unreachableIntervals intervals is unreachable and
// does not refute.
//
// Changed records are piggybacked on pings and acks within a fixed message
// size. The number of transmissions of each record grows with the logarithm of
// the fleet size. In addition, each instance periodically compares a digest of
// its table with that of a random member, and the two exchange the records that
// differ.
//
// # The platform's list
//
// The list lags in both directions, so it only provides candidates: a listed
// instance is pinged, and added to the table when it answers or when a member
// sends its record. A dead instance that is still listed is pinged
// periodically, which also lets the two sides of a healed partition rediscover
// each other. A live instance missing from the list is discovered through its
// peers.
//
// # Use
//
// The package does no I/O and reads no clock: Tick and Receive take the time
// and return the messages to send; the caller provides the random source. A Node
// is not safe for concurrent use. View returns an immutable snapshot that may be
// shared.
package membership
