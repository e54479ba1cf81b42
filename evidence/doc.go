// Package evidence carries the evidence and the verdicts of package outlier
// between instances, and runs its detectors and aggregators.
//
// A Table holds one Service for each service in force at this instance. Its
// Tick runs every detector, sends what they report to the service's
// aggregator, runs the aggregators whose role fell on this instance, and
// announces changed verdicts to the instances that report to them. The
// request path uses a Service only: Start, Done, Record and Snapshot.
//
// Which instance aggregates a service is handed in as a function. Nothing
// here depends on all instances agreeing on it: an instance that gets a
// report aggregates for as long as reports come.
//
// # Loss
//
// Counts are sums over a session, so a report that got lost is made up for by
// the next, and one that comes twice counts once. While a report to an
// instance is under way, later ones to it wait, and newer counts of a service
// take the place of older ones. A call that fails is dropped: the detector
// reports again after outlier.RoutineInterval.
//
// # Rate
//
// Reports to one instance go together in one call. An instance with many
// services stretches their routine reports so that together they stay below
// Settings.RoutineRate a second; failures are reported at once all the same.
package evidence
