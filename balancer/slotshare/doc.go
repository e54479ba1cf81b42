// Package slotshare uses the instance's home slots first, its share of the
// service's slots, and falls back to leastload when they are in use.
//
// If every instance keeps at most its home slots busy at a target, the number
// of requests at the target is a sum of a few bounded counts. With
// independent random choices by the same number of instances, that number
// varies more and requests collide more often.
package slotshare
