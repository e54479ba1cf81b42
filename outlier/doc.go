// Package outlier finds the targets of a service that fail real work and
// decides how much new work each target gets.
//
// The package is deterministic: callers pass in the time and the messages. It
// starts no goroutines and opens no sockets.
//
// # Parts
//
// A Detector belongs to one service on one instance. The request path records
// the outcome of each try at a target (Record, or Start and Done) and reads the
// Snapshot that the last Tick returned. Tick processes the recorded tries,
// evaluates the targets as seen from this instance and returns the Report to send.
//
// An Aggregator holds the pooled evidence of one service. The instance
// in that role combines the reports of all instances and returns Verdicts.
// Correctness does not depend on there being exactly one: with two, an instance
// applies the union of their verdicts; with none, each instance uses its own
// evidence and the verdicts that it has received expire.
//
// # Evidence
//
// A try gives evidence in two channels. In the failure channel it is bad if
// fleet.TryResult.Failed reports true. In the slowness channel it is bad
// if it took longer than a multiple of the service's median latency; a try
// that is still open at that age counts immediately, so that a target that lets
// work time out is detected before the first timeout. Both tests assume
// independent tries: the slowness channel therefore counts all tries at a target
// within a short window as one, and failures are divided by the size of the
// bursts in which they usually occur. Shed, draining, cold and canceled tries
// are evidence in neither channel.
//
// # The test
//
// For each target and channel, cumulative sums of the log-likelihood ratio
// run against three alternatives: that the target fails a further 10%, 30% or
// 90% of its tries on top of what the service's other targets fail. A sum
// that passes the threshold opens an accusation. The accusation is then tested
// again, against the failures of the other targets since the sum left zero: if
// the whole service fails or slows down, no target is an outlier. It must
// persist for a settling time, and it is dropped while too many targets look
// unhealthy at once, because the network or the observer is then the more
// likely cause. Config.FalseEjectionWeight sets the threshold and the settling time.
// The threshold is lower where evidence is scarce and higher where the whole
// service is in trouble.
//
// Targets differ, and the differences grow when the service is degraded: a
// target may then have up to three times the others' rate of bad tries. The
// threshold is 50% higher for a target that recently shed load, warms up or
// returns, because work queued there times out in bursts; a target that warms
// up is accused only while no good try there has been recorded.
//
// # Scope
//
// An Aggregator accuses a target fleet-wide only if that is more likely than
// some zones, or a few reporters, being cut off from it. If zones are more
// likely, the accusation applies to those zones only. A Detector's own
// accusation applies to its instance only.
//
// # Return
//
// An ejected target gets no traffic for a time that doubles with each ejection,
// then trial traffic; after enough good tries its share grows over the slow start. See Phase.
//
// # Floor
//
// In every Snapshot, at least ceil(FloorPercent of the joined targets) get a
// full share, or all that are neither draining nor cold if those are fewer.
// If the union of the ejections would violate this, targets are restored in an
// order that depends on the ejections alone.
package outlier
