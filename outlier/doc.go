// Package outlier finds the targets of a service that fail real work and
// decides how much new work each target gets.
//
// The package is pure: the clock and the messages are handed in, it starts no
// goroutine and opens no socket, and the same inputs give the same outputs.
//
// # Parts
//
// A Detector belongs to one service on one instance. The request path records
// how each try at a target ended (Record, or Start and Done) and reads the
// Snapshot that the last Tick returned. Tick folds what was recorded, judges
// the targets as seen from this instance, and says what to report.
//
// An Aggregator holds the pooled evidence of one service. Whichever instance
// has the role folds the reports of all instances and answers with Verdicts.
// Nothing depends on there being exactly one: with two, an instance applies
// the union of their verdicts; with none, each instance goes on by its own
// evidence and the verdicts it holds run out by themselves.
//
// # Evidence
//
// A try gives evidence in two channels. In the failure channel it is bad if
// it ended as fleet.TryResult.Failed says. In the slowness channel it is bad
// if it took longer than a multiple of the service's median latency; a try
// that is still open at that age counts at once, which is how a target that
// lets work time out is found before the first timeout. All tries at a target
// within a short window are one try there, and failures are divided by the
// size of the clumps in which they usually come: both channels are tested as
// if tries were independent. Shed, draining, cold
// and canceled tries are evidence in neither.
//
// # The test
//
// For each target and channel, cumulative sums of the log-likelihood ratio
// run against three alternatives: that the target fails a further 10%, 30% or
// 90% of its tries on top of what the service's other targets fail. A sum
// that passes the threshold opens an accusation. The accusation is then
// weighed again, against the failures that the other targets had since the
// sum left zero: where the whole service fails or slows, nobody stands out.
// It must hold for a settling time, and it is dropped while too many targets
// look sick at once, since then the network or the observer is the likelier
// cause. Config.FalseEjectionWeight sets the threshold and the settling time.
// The threshold is lower where evidence is scarce and higher where the whole
// service is in trouble.
//
// Targets differ by nature, which shows where the service is in trouble: a
// target may then have up to three times the others' rate of bad tries. The
// threshold is half as high again for a target that shed lately, warms up or
// returns, since work that waits there times out in bursts; one that warms up
// is accused only while nobody heard of a good try there.
//
// # Scope
//
// An Aggregator accuses a target before everyone only if that is likelier than
// some zones, or a few reporters, being cut off from it. If zones are likelier,
// it accuses the target before those. A Detector's own accusation counts on its instance alone.
//
// # Return
//
// An ejected target stays away for a time that doubles with each ejection,
// then gets trial traffic, and after enough good tries its share grows over
// the slow start. See Phase.
//
// # Floor
//
// In every Snapshot, at least ceil(FloorPercent of the joined targets) get a
// full share, or all that are neither draining nor cold if those are fewer.
// Where the union of the ejections would break this, targets are given back
// in an order that depends on the ejections alone.
package outlier
