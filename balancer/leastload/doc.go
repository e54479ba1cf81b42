// Package leastload draws two candidates by weight and takes the one with
// fewer requests in flight from this instance. It prefers the own zone in
// proportion to the targets that stand there, and leaves it when its targets
// are full or backed off from.
package leastload
