// Package follow keeps an instance's configuration up to date: it tails the
// log's configuration stream, pulls newer records from peers, and publishes
// the state in force.
//
// The log is read by one long poll at a time. Peers pull from each other:
//
//   - while it does not tail the log or the log does not answer, an instance
//     holds long polls at a few peers, chosen at random and anew every few
//     seconds;
//   - an instance that advanced tells a few random peers, by a pull that names
//     its new offset; one that lacks it pulls in turn;
//   - an instance pulls from peers that the membership knows to be ahead.
//
// A change thus reaches an instance that is cut off from the log within a few
// round trips, and in a large fleet only some instances need to tail. Neither
// the long polls nor the telling would do alone: random long polls can form
// circles that no source is part of, and random telling leaves some out.
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
