// Package rejection estimates whether a service rejects requests widely, as opposed to single targets that do.
//
// Each instance counts its attempts and rejections at a service's targets by zone of targets, in slots of SlotLength,
// and reports the slots of the last Window to the others. A report replaces the earlier one of its sender,
// so that duplicates are harmless and a lost report is made up for by the next. Reports expire with their slots and
// when their sender is silent; a sender's new process replaces the reports of the old one. Another zone is
// heard through summaries of its instances' counts, which replace each other as reports of one sender.
//
// A belief that a zone's targets reject begins once many of the recent attempts at most of the targets were
// rejected. It ends once the latest attempts are so much more likely under the usual rate of rejections that chance
// hardly explains it, or once nothing is heard for beliefTimeout. After a change only the
// attempts that led to it and later ones count.
//
// The package reads no clock and does no I/O. Times may jump: slots from the future are ignored.
package rejection
