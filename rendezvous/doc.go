// Package rendezvous assigns roles to instances by highest random weight.
//
// Every instance computes the same owner of a key from the same members, with
// no message between them. When a member goes, only the keys that it owned
// move, each to its next in rank; when one comes, it takes an equal share.
//
// Members that are ready and alive come before those that are not ready yet,
// then suspect and leaving ones, so a role has a holder while any member is
// left. Views may differ between instances for a moment, and then so may
// owners: a role's holder must never be relied on to be the only one.
package rendezvous
