// Package mesh lets the instances of a gateway tell each other what they see, by
// datagrams.
//
// Within a zone each instance talks to all. It sends a heartbeat every 0.3 to 1.4 s:
// its versions of the configuration, the load that it puts on targets, observations of
// targets. What cannot wait, such as a failed attempt, is sent at once. A load that has
// just changed is told to those only that mostly use the target.
//
// Bytes between zones have a price, so little crosses them: news go to two
// instances of each other zone, the bridges, which pass them on within theirs, and
// the bridges of each pair of zones exchange a digest of their zone from time to
// time. Whoever gets a packet from another zone passes it on, so that views of who
// the bridges are may differ; a packet that comes twice is taken once.
//
// News grows with the load of callers, and bridges get that of all zones. They gather it
// for some milliseconds, and the second of a zone passes on only what the first has not.
// News is paced by a part of the instance's link, and what gathers meanwhile leaves
// together; heartbeats, announcements of changes and loans do not wait.
//
// A datagram may be lost; nothing depends on a single one. An instance becomes
// known by its seeds, by the store's list of addresses, or by being named in a
// heartbeat, and counts once it was heard. The interval of heartbeats grows with
// the zone, up to what freshness needs.
package mesh
