// Package retry decides on retries and hedges: whether another try follows a
// failed one, and when a second try starts alongside a slow one (a hedge).
//
// Decide is a pure function of one request's state. The limits shared by all
// requests of a service at an instance are kept in a Budget.
//
// # Which requests may be tried again
//
// A request of class lookup may be retried and hedged as its route allows. A
// request that the target certainly did not run may go to another target
// whatever its class, provided that its body can still be sent in full. All
// other failures of confirmations and uploads are final.
//
// # The budget across the fleet
//
// Each first try at an instance earns its contract's percentage of a token,
// and each retry or hedge spends one, so over any number of instances the
// number of extra tries is at most
//
//	percent*first tries + (instances + restarts)*initialTokens + saved
//
// without messages between instances. Here, saved is the number of tokens
// earned before the period considered. Tokens above the first decay with a time
// constant of 10 s, so that an hour of low failure rates does not pay for a
// retry storm. The first token never decays: an instance with little traffic
// accumulates it and spends it on its share of failures. A minimum number of
// retries per second would serve the same purpose, but would make the bound
// grow with the number of instances. Tries that follow a try the target did not
// run have a separate bucket, filled at 20 % of first tries.
//
// # Overload
//
// While 15 % or more of the tries at the service are shed, retries and hedges
// would take slots from first tries, so none are made. A shed try holds no slot;
// its request may be tried again after a backoff while less than 30 % are shed.
// A refusal by a target that is leaving, cold or unreachable does not indicate
// load.
package retry
