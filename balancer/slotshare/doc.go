// Package slotshare uses the instance's own share of the service's slots
// first, and falls back on leastload when the share is in use.
//
// An instance that keeps at most its home slots busy at a target makes the
// number of requests there a sum of a few bounded counts; independent random
// choices of as many instances vary more, and collide more often.
package slotshare
