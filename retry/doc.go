// Package retry decides on further tries of a request: whether a failed try
// is followed by another, and when a slow one is joined by a hedge.
//
// Decide is a pure function of one request's state. Two bounds are shared by
// all requests of a service at an instance and kept in a Budget.
//
// # What may be tried again
//
// A request of class lookup may be retried and hedged as its route allows. A
// request that the target certainly did not run may go to another target
// whatever its class, since nothing ran; its body must still be whole. All
// other failures of confirmations and uploads are final.
//
// # The budget over the fleet
//
// Each first try at an instance earns its contract's percentage of a token,
// and each retry or hedge spends one, so over any number of instances the
// extra tries are at most
//
//	percent*first tries + (instances + restarts)*startCredit + saved
//
// without any message. Saved is what was earned before the time considered;
// above one token it decays with a time constant of 10 s, so that a quiet hour
// does not pay for a storm. One token never decays: an instance with little
// traffic saves it up and spends it on its share of failures, which is what a
// minimum in retries a second would be for; such a minimum would grow the
// bound with the number of instances. Tries after a refusal that ran nothing
// have a bucket of their own at 20 % of first tries.
//
// # Overload
//
// While 15 % of the tries at the service are shed, retries and hedges would
// take slots from first tries; there are none then. What was shed itself holds
// no slot and may be tried again a little later up to 30 %. A refusal by a
// target that is leaving, cold or out of reach says nothing of load.
package retry
