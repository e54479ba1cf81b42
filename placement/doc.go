// Package placement chooses the target of an attempt by its expected cost.
//
// All costs are in one unit, the value of a request: the probability that the attempt fails, bytes that
// cross zones, a connection that has to be opened, requests in flight at the target, an interrupted
// network path. The cheapest target is chosen, so that a doubtful target is used where the alternatives
// are worse, and no request is rejected because all targets are doubtful.
//
// Each instance has a preference order of its own, with a small weight. Instances with the same
// information thereby spread out, and each uses few targets, over connections that stay open. The first
// targets in that order, about Weights.Homes of the instance's zone, are its homes. A target that has not
// been used for a while becomes slightly cheaper: without requests, its health would stay unknown and
// its capacity unused.
//
// While a service fails, a floor applies: a minimum share of its healthy targets must be in use (see
// Chooser.FloorTarget).
//
// The package is pure: all input is passed in.
package placement
