// Package registry tracks the targets that register themselves in a keyed log.
//
// Entries lapse when a target stops renewing them, and also when the log itself was unavailable. A
// target whose entry vanished without an announcement therefore stays in use for a grace period; if
// its entry is available again by then, nothing was lost. A target that announced that it leaves
// gets no new work from then on. It may also announce this in a response, before its entry shows it
// or while the log cannot be read; this applies to its process whatever the log says.
//
// Changes carry the offsets of the log and are applied in order, whatever their source. The log may
// be restored from an older copy: positions then belong to a later epoch, and the recorded start
// time and sequence of each target take precedence over the copy.
//
// The package reads no clock and does no I/O.
package registry
