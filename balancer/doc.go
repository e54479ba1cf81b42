// Package balancer chooses the target for each request of one service at one
// instance.
//
// # Model
//
// Targets are small: 2 to 4 slots and a few hundred connections, shared by
// every instance of the fleet. One instance handles a fortieth of the traffic
// or less, so its own in-flight count says little about the load of a target.
// The package therefore combines four mechanisms:
//
//   - A bounded subset. Each target's connections are divided among the
//     instances (Assign). While there are enough connections, every instance
//     reaches every target; at fleet size each instance reaches a window of
//     them, partly in its own zone and partly elsewhere. The sum over all
//     instances stays within the contract's connections_per_target.
//   - Home slots. The service's slots are laid out over the instances in zone
//     order. An instance uses its home slots first, so that instances collide
//     less often than with independent random choices.
//   - Back-off. After a target sheds a request, this instance avoids the
//     target for a while, but doesn't count it as unhealthy.
//   - Two random choices among the other targets, by weight, preferring the
//     instance's own zone in proportion to the targets in it.
//
// A Balancer holds the state of one service: in-flight counters and back-offs
// by target. Update rebuilds an immutable Picker from announced targets,
// their weights and the member list. Pick and Done run on the request path
// without locks or allocation, and never wait for Update. The package reads no
// clock and opens no socket: times are passed in, and random numbers are
// derived from the seed.
//
// The policies are in separate packages (random, roundrobin, leastload,
// slotshare) and implement the interface of package policy.
package balancer
