// Package ticket holds operations that are homed at one process.
//
// A caller first asks for a ticket and then sends the operation under it,
// through any instance. The ticket names the process (instance and
// incarnation) that issued it, its home, and carries 128 random bits. The home
// alone may ever run the operation, once, from its own memory. So neither the
// log nor a lease is needed, and tickets work through a log outage of any
// length. The price is that the outcome is unknown once the home has crashed.
//
// A home that stops gracefully seals its table: tickets that have not been
// used become not run, for ever, and what is in flight finishes. It then hands
// the outcomes to heirs, which are found by rendezvous over the members by the
// home's name, and which only replay.
//
// The package is pure; package operate forwards requests between processes.
package ticket
