// Package roundrobin takes the targets in turn. It is the baseline that other
// policies are measured against; it gives targets on trial their full turn.
package roundrobin
