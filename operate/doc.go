// Package operate runs work that must run at most once: it connects the pure
// decisions of packages operation, claim and ticket with the log, the peers
// and the proxy.
//
// The proxy calls Do for a request of class confirmation. Do returns the whole
// answer, which says what became of the operation, also to repeats through
// other instances. The request is dispatched by a Runner at most once.
//
// Each instance also records the partitions for which it stands first or
// second by rendezvous over the members. The second reads along, so that it
// can take over at once. Two recorders that both think they are first are
// harmless.
//
// A dispatched operation goes on when its caller goes away, until its own
// deadline, for the caller will come back with the same key.
package operate
