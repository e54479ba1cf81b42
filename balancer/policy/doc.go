// Package policy is what a balancing policy sees of a service: the candidate
// targets of one immutable snapshot, and the request that needs one of them.
//
// A Policy only ranks; the rules that hold for every policy (a target already
// tried is not tried again, the connection share is kept, a target that shed
// is left alone) stand in Request.Usable.
package policy
