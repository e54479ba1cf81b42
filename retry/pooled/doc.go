// Package pooled bounds the attempts that a whole fleet adds to its requests, to
// a ratio of the requests in a sliding window and a fixed slack.
//
// Each instance may always spend the ratio of its own requests and an even part
// of half the slack: over all instances that is within the bound without a
// message. What the others have left unspent may be used as well, as long as
// nearly all of them were heard from within the last moment: instances tell how
// many requests and additions they had in the window, and most of the additions
// fall where the failures are.
//
// The package reads no clock and does no I/O.
package pooled
