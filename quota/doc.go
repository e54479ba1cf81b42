// Package quota enforces the quotas of tenants over all instances together.
//
// In each zone, up to three instances, the holders of a tenant, have a part of its quota in token buckets;
// the others ask one of them for each request, and another one if it has no token or does not reply. If the
// zone has no token, an instance of another zone is asked to acquire one there.
//
// A holder's part is in proportion to the instances of its zone that it receives from, of all instances of
// the fleet. After a network partition each side thus has as much of the quota as it has instances, and the
// parts never exceed the whole. A bucket starts with few tokens or none when its instance becomes a holder,
// since another one may have granted the rest. Where no holder of the zone replies, the standbys, two instances
// that rank behind them, grant from a small reserve: a part of the margin by which the tolerance of Bounds
// exceeds the quotas.
//
// Of a tenant beyond its quota the least urgent requests are refused first: holders keep tokens for the more urgent
// ones that ask. A holder may grant beyond its rate steadily, up to what Bounds allows for a window less the margin
// for failures.
//
// The package does no I/O. A Table is safe for concurrent use.
package quota
