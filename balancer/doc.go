// Package balancer chooses the target for each request of one service at one
// instance.
//
// # The model
//
// Targets are small: 2 to 4 slots and a few hundred connections, shared by
// every instance of the fleet. One instance sees a fortieth of the traffic or
// less, so what it has in flight itself says little about how full a target
// is. The package therefore combines four things:
//
//   - A bounded subset. Each target's connections are divided among the
//     instances (Assign). While there are enough connections, every instance
//     reaches every target; at fleet size each instance reaches a window of
//     them, partly in its own zone and partly elsewhere. The sum over all
//     instances stays within the contract's connections_per_target.
//   - Home slots. The service's slots are laid out over the instances in zone
//     order. An instance uses its own slots first, so that instances collide
//     less often than independent random choices would.
//   - The target's own word. A target that sheds a request is left alone by
//     this instance for a while; it isn't called sick for it.
//   - Two random choices among the rest, by weight, preferring the own zone
//     in proportion to the targets that stand there.
//
// A Balancer owns the state of one service: in-flight counters and back-offs
// by target. Update rebuilds an immutable Picker from announced targets,
// their weights and the member list; Pick and Done run on the request path,
// without locks or allocation, and never wait for Update. Nothing here reads
// a clock or opens a socket: times are passed in, randomness comes from the
// seed.
//
// The policies stand in directories of their own (random, roundrobin,
// leastload, slotshare) behind the interface in package policy.
package balancer
