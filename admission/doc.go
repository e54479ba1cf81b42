// Package admission decides which requests may use a service now, which wait
// a little, and which are refused at once.
//
// A Gate stands before each (service, class) at each instance. It bounds the
// requests in flight and keeps a short queue, so that one service's sickness
// or one customer's flood fills its own gate and nobody else's. Gates are
// pure: time and the ends of tries are passed in; Queue adds the waiting.
//
// # The limit
//
// A target has a few slots for all instances together, so no instance knows
// what it may use. The gate starts with a multiple of its share of the healthy
// slots, where the share is its part of the service's requests, and adapts:
// a try that a target sheds for want of slots takes a tenth off the limit, at
// most once a latency; a success while the limit is nearly used raises it, by
// 1/limit up to the share and by a fifth of that beyond. Where targets queue
// rather than shed, latency tells: a block of tries whose median is twice the
// least of the last half minute takes a fifth off, though not below the share,
// as latency may have other causes. Medians leave a slow or failing minority
// of targets to ejection. The limit never exceeds the service's healthy slots.
//
// # Shedding
//
// A request is refused at once if the queue's expected wait and the expected
// latency do not fit its deadline, or if the queue is full. A full queue gives
// up its least valuable request, the youngest of these, for a more valuable
// one. Nobody waits for an answer that is known: what can no longer finish is
// refused at the next tick, with a wait after which to repeat.
package admission
