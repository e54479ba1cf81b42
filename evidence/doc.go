// Package evidence exchanges the evidence (counts of the results of tries) and
// the verdicts of package outlier between instances, and runs its detectors and
// aggregators.
//
// A Table holds one Service for each active service of this instance. Its Tick
// runs every detector, sends their reports to the service's aggregator, runs
// the aggregators of this instance, and announces changed verdicts to
// the instances that report to them. The request path uses only a Service:
// Start, Done, Record and Snapshot.
//
// A function passed to NewTable selects the instance that aggregates a service.
// Instances need not agree on it: an instance that receives reports aggregates
// for as long as they arrive.
//
// # Loss
//
// Counts are cumulative over a session, so the next report makes up for a lost
// one, and a duplicate counts once. While a report to an instance is in flight,
// later ones to it are queued, and newer counts of a service replace older
// ones. A failed call is not retried: the detector reports again after
// outlier.RoutineInterval.
//
// # Rate
//
// Reports to one instance are batched in one call. An instance with many
// services lengthens the interval of their routine reports so that together
// they stay below Settings.RoutineRate per second. Failures are always reported
// at once.
package evidence
