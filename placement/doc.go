// Package placement chooses the target of an attempt by its expected cost.
//
// Everything that speaks against a target is put into one unit, parts of what
// the request is worth: the probability that the attempt fails, bytes that would
// cross zones, a connection that would have to be opened, work that is already
// there, a path that was found cut. The cheapest target wins, so a doubtful
// target is used where the alternatives are worse, and nothing is refused
// because everything is doubtful.
//
// Each instance has an order of preference of its own, worth a little, so that
// instances with the same knowledge spread out and meet few targets each, on
// connections that stay warm. A target that nobody has used for a while is made
// a little cheaper: without work, nobody would learn that it is sound, and
// capacity would lie idle.
//
// The package is pure: all that it weighs is passed in.
package placement
