// Package leastload draws two candidates by weight and takes the one with
// fewer requests in flight from this instance. It prefers the instance's own
// zone in proportion to the targets in it, and uses other zones when the
// zone's targets are full or backed off.
package leastload
