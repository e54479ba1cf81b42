// Package suspicion estimates, for each target, the probability that it is unhealthy, from the
// outcomes of the attempts of all instances.
//
// The model is a hidden Markov chain in continuous time: a target is healthy or unhealthy,
// becomes unhealthy at one rate and recovers at another. Most attempts at an unhealthy target
// fail, and very few at a healthy one. Between observations, the estimate decays towards the
// long-run share of unhealthy time; each observation updates it by Bayes' rule. A failure after a
// long silence therefore weighs more than one just after a run of successes, and the estimate of a
// target that gets no requests recovers with time. A target is suspected from SuspectThreshold
// until its estimate falls below ClearThreshold.
//
// A failure that comes much sooner than a usual response is stronger evidence: unhealthy targets
// often fail requests at once, while the failures of healthy ones take as long as the work. How much
// stronger is learned per service.
//
// All rates are learned from observations, starting from weak priors, since deployments differ.
// A target that rejects requests because it is full is not unhealthy.
//
// The package reads no clock and does no I/O.
package suspicion
