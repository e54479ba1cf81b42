// Package operate runs operations that must run at most once. It connects the
// decision logic of packages operation, claim and ticket, which does no I/O,
// with the log, the peers and the proxy.
//
// The proxy calls Do for a request of class confirmation. Do returns the
// complete answer with the outcome of the operation, also for repeats through
// other instances. The request is dispatched by a Runner at most once.
//
// Each instance also records the partitions for which it ranks first or second
// in rendezvous hashing over the members. The second reads the stream too, so
// that it can take over immediately. Two recorders that both consider
// themselves first are harmless.
//
// A dispatched operation continues until its own deadline when its caller
// disconnects, because the caller is expected to retry with the same key.
package operate
