// Package mesh exchanges state between the instances of a gateway in datagrams over UDP.
//
// Within a zone, each instance sends to all others. It sends a heartbeat every 0.3 to 1.4 s with
// its versions of the configuration, the load that it puts on targets and observations of targets.
// Urgent updates, such as a failed attempt, are sent at once. A change of load is sent at once only
// to the instances that mostly use the target.
//
// Traffic between zones is charged by the byte, so it is kept small: updates go to two instances of
// each other zone, its bridges, which relay them within their zone, and the bridges of each pair of
// zones exchange a digest of their zone at intervals. Every instance relays packets that it
// receives from another zone, so that instances may disagree on which ones are the bridges;
// duplicate packets are ignored.
//
// The volume of updates grows with the load of callers, and bridges receive those of all zones.
// Bridges batch them for some milliseconds, and the second bridge of a zone relays only what the
// first has not. Updates are limited to a share of the instance's link; those that arrive while the
// limit is reached are sent together. Heartbeats, announcements of changes and loans are not
// delayed.
//
// Datagrams may be lost; nothing depends on a single one. An instance is discovered through its
// seeds, through the store's list of addresses, or by being named in a heartbeat, and counts once a
// datagram from it has arrived. The heartbeat interval grows with the size of the zone, within the
// limit that up-to-date state requires.
package mesh
