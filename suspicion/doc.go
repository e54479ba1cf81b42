// Package suspicion estimates, for each target, how likely it is sick at a
// moment, from what all instances see of real work.
//
// The model is a hidden Markov chain in continuous time: a target is sound or
// sick, falls sick at one rate and recovers at another; a sick target fails most
// of its work, a sound one very little. Between observations the estimate moves
// towards the long-run share of sick time; each observation moves it by Bayes'
// rule. One failure after a long silence thus weighs more than one just after a
// run of successes, and a target that was set aside is trusted a little more
// with each second.
//
// A failure says more when it came much sooner than work takes: a sick target often
// fails its work at once, while a sound one fails what it could not do after trying.
// How much more is learned for each service.
//
// The rates are learned from what is seen, from weak priors, since deployments
// differ. A target that refuses work because it is full is not sick.
//
// The package reads no clock and does no I/O.
package suspicion
