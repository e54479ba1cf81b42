// Package follow keeps an instance's configuration up to date: it tails the
// log's configuration stream, pulls newer records from peers, and publishes
// the state in force.
//
// The log is read by one long poll at a time. Peers are asked when they are
// known to be ahead, and, while this instance does not tail the log or the log
// does not answer, by long polls to a few of them chosen at random and anew
// every few seconds. A change thus reaches an instance that is cut off from
// the log within a few round trips, and in a large fleet only some instances
// need to tail.
//
// Whatever comes, from wherever, goes through publication.Replica, which moves
// by offset and only upwards: with the log down, everything in force stays in
// force; a late or old answer changes nothing. A fresh instance starts from
// the peer that is furthest ahead, else from the newest checkpoint that the
// log keeps, else from the first record.
//
// The instance that has the checkpoint role appends the state to the stream
// well before the records that it stands on expire. Two that believe they have
// the role do no harm.
package follow
