// Package membership keeps one instance's view of the others.
//
// # Model
//
// Each instance holds a table of member records. A record names a process (an
// instance and its incarnation), where peers reach it, its state, and two
// small facts: the configuration offset it has applied and whether it is
// ready. Records of one instance are ordered by incarnation, then by version,
// then by state; a later record always replaces an earlier one, in whatever
// order they arrive. Only the member itself raises its version, so it refutes
// a false suspicion by announcing itself under the next one.
//
// Every interval an instance pings one other member, in a random order that
// visits all before it visits one again. If no ack arrives in time, it asks a
// few third members to ping on its behalf, so that a network cut one way
// between the two accuses nobody. If those fail as well, the member becomes
// suspect, and dead when it has not refuted by the end of the suspicion time.
// An instance most of whose probes fail suspects itself first: it grants
// longer times, and finally accuses nobody; and while nobody at all answers
// it, it declares nobody dead until it must be the last one. An instance that hears of its own suspicion but
// was not pinged for long cannot be reached, and does not refute.
//
// Changed records ride on pings and acks, each a number of times that grows
// with the logarithm of the fleet, within a fixed size of message. Besides,
// an instance now and then compares a digest of its table with a random
// member's, and the two exchange the records in which they differ.
//
// # The platform's list
//
// The list lags in both directions, so it only proposes: an instance that it
// names is pinged, and joins the table when it answers or when a member
// vouches for it. A dead instance that is still listed is pinged now and
// then, which is also how the two sides of a healed partition find each other.
// A live instance that the list lacks becomes known through its peers.
//
// # Use
//
// The package is pure: Tick and Receive take the time and return the messages
// to send; the random source is handed in. A Node is not safe for concurrent
// use. View returns an immutable snapshot that may be shared.
package membership
