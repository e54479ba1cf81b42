// Package rendezvous assigns roles to instances by rendezvous hashing (highest
// random weight).
//
// Every instance computes the same owner of a key from the same members,
// without messages. When a member is removed, only the keys that it owned move,
// each to the next member in its ranking; a member that is added takes an equal
// share of the keys.
//
// Members that are alive and ready rank before those that are not ready yet,
// followed by suspect and then leaving ones, so a role has an owner as long as
// any member is left. The membership views of instances may differ briefly, and
// owners with them: never rely on the owner of a role being the only one.
package rendezvous
