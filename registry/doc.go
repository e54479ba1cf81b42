// Package registry keeps the targets that register themselves in a keyed log.
//
// Entries lapse when a target stops renewing them, and also when the log itself
// was away. A target whose entry vanished without having announced that it
// leaves therefore stays in use for a short hold; if its entry is back by then,
// nothing was lost. A target that announced that it leaves gets no new work from
// that moment on. It may announce so in an answer as well, before its entry tells it or while
// nobody can read it: that holds for its process whatever the log says.
//
// Changes carry the log's offsets and are applied in order, whoever tells them. The log may be
// restored from an older copy: a position then is of a later epoch, and what is known of
// each target, by its start and sequence, goes before what the copy shows.
// The package reads no clock and does no I/O.
package registry
