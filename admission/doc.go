// Package admission decides which requests may use a service now, which are
// queued for a short time, and which are refused at once.
//
// There is one Gate for each (service, class) at each instance. It limits the
// requests in flight and keeps a short queue, so that an unhealthy service or
// a flood of requests from one customer fills only its own gate. A Gate has no
// clock or goroutines: the time and the results of tries are passed in. Queue
// adds the blocking.
//
// # The limit
//
// All instances share the few slots of a target, so no instance has a fixed
// number of its own. The limit starts at a multiple of the instance's share of
// the healthy slots, where the share is its part of the service's requests, and
// then adapts. A try that a target sheds for lack of slots lowers the limit by
// a tenth, at most once per expected latency. A success while the limit is
// nearly used raises it, by 1/limit up to the share and by a fifth of that
// above it. For targets that queue instead of shedding, latency is the signal:
// a block of tries whose median is more than twice the minimum of the last half
// minute lowers the limit by a fifth, but not below the share, as latency can
// have other causes. Medians ignore a minority of slow or failing targets,
// which is left to ejection. The limit never exceeds the service's healthy
// slots.
//
// # Shedding
//
// A request is refused at once if the expected wait in the queue plus the
// expected latency exceeds its deadline, or if the queue is full. A full queue
// drops its request of the lowest value, the newest among equals, in favor of
// one of higher value. Queued requests that can no longer finish by their
// deadline are refused at the next tick, with a delay after which to retry.
package admission
