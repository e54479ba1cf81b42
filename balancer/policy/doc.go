// Package policy defines the interface of balancing policies and their view
// of a service: the candidate targets of one immutable snapshot, and the
// request that needs one of them.
//
// A Policy only ranks candidates. Request.Usable enforces the rules that hold
// for every policy: a target that was already tried isn't tried again, the
// connection share is kept, and a target that shed a request is avoided
// during its back-off.
package policy
