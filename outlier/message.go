package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Counts are tries at one target by how they ended.
type Counts struct {
	// Good are tries that ended with a complete response and no failure.
	Good uint32
	// Failed are tries for which fleet.TryResult.Failed holds.
	Failed uint32
	// Fast are good tries within the service's usual latency.
	Fast uint32
	// Slow are tries beyond it, including those still open.
	Slow uint32
	// Shed, Cold and Draining are tries that the target refused for that
	// reason.
	Shed     uint32
	Cold     uint32
	Draining uint32
}

func (c Counts) minus(o Counts) Counts {
	return Counts{
		Good: c.Good - o.Good, Failed: c.Failed - o.Failed,
		Fast: c.Fast - o.Fast, Slow: c.Slow - o.Slow,
		Shed: c.Shed - o.Shed, Cold: c.Cold - o.Cold, Draining: c.Draining - o.Draining,
	}
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Good: c.Good + o.Good, Failed: c.Failed + o.Failed,
		Fast: c.Fast + o.Fast, Slow: c.Slow + o.Slow,
		Shed: c.Shed + o.Shed, Cold: c.Cold + o.Cold, Draining: c.Draining + o.Draining,
	}
}

// urgent reports whether the counts should be sent immediately.
func (c Counts) urgent() bool { return c.Failed > 0 || c.Slow > 0 || c.Cold > 0 || c.Draining > 0 }

// TargetCounts are the tries at one target since a report session began.
type TargetCounts struct {
	Target fleet.TargetID
	Counts Counts
}

// Report is the evidence of one instance about one service. Counts are sums
// over the session, so that a lost, late or repeated report counts once.
type Report struct {
	Service fleet.ServiceID
	From    fleet.InstanceID
	Zone    fleet.Zone
	// Session identifies a series of counts; later ones have higher numbers.
	// Seq numbers the reports of a session from 1, and Acked is the last one
	// acknowledged by the aggregator.
	Session int64
	Seq     uint64
	Acked   uint64
	// Suspect means that so many targets look unhealthy from this instance that
	// its own network is the likely cause: its bad tries are not evidence.
	Suspect bool
	// Median is the median latency of good tries, over Samples of them.
	Median  time.Duration
	Samples uint32
	// Targets are the counts that changed since the report Acked.
	Targets []TargetCounts
}

// Phase is the state of a target between ejection and full use.
type Phase uint8

const (
	// InUse targets get their full share.
	InUse Phase = iota
	// Ejected targets get no work.
	Ejected
	// Trial targets get a small share of work that decides on their return.
	Trial
	// Returning targets were ejected and get a growing share.
	Returning
	// Warming targets joined or reported being cold; their share grows like that
	// of Returning targets.
	Warming
	// Draining targets reported that they refuse new work.
	Draining
	// Gone targets are announced to leave or stop, or are unknown.
	Gone
)

var phaseNames = [...]string{"in-use", "ejected", "trial", "returning", "warming", "draining", "gone"}

// String returns the phase as used in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Scope is the set of instances that an ejection applies to.
type Scope uint8

const (
	// ScopeNone is the scope of targets that are not ejected.
	ScopeNone Scope = iota
	// ScopeInstance ejections apply to the instance that made them.
	ScopeInstance
	// ScopeZone ejections apply to the instances of one zone.
	ScopeZone
	// ScopeFleet ejections apply to every instance.
	ScopeFleet
)

var scopeNames = [...]string{"none", "instance", "zone", "fleet"}

// String returns the scope as used in logs and metrics.
func (s Scope) String() string { return scopeNames[s] }

// Reason is what a target was accused of.
type Reason uint8

const (
	// ReasonNone is the reason where there is no accusation.
	ReasonNone Reason = iota
	// ReasonFailing means too many tries failed.
	ReasonFailing
	// ReasonSlow means too many tries were slow or stayed open.
	ReasonSlow
)

var reasonNames = [...]string{"none", "failing", "slow"}

// String returns the reason as used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the state of one target that an aggregator has ejected, or that
// reported to some instance that it is cold or draining.
type Verdict struct {
	Target fleet.TargetID
	// Zone limits the verdict to the instances of one zone; empty: all.
	Zone   fleet.Zone
	Phase  Phase
	Reason Reason
	// Remaining is how long the phase lasts without further verdicts.
	Remaining time.Duration
	// Score is how strong the accusation was, in nats.
	Score int
}

// Verdicts are all verdicts of an aggregator on a service's targets.
type Verdicts struct {
	Service fleet.ServiceID
	From    fleet.InstanceID
	// Number orders the verdicts of one aggregator.
	Number int64
	// Session and Ack identify the last report applied, if any.
	Session int64
	Ack     uint64
	// Median is the service's median latency over all reporters; 0: unknown.
	Median time.Duration
	// FailureRate and SlowRate are the rates of bad tries at the targets that
	// are not suspected; 0: unknown.
	FailureRate, SlowRate float64

	Entries []Verdict
}

// Status describes why a target has its weight.
type Status struct {
	Phase  Phase
	Scope  Scope
	Reason Reason
	// Until is when the phase ends if nothing else happens; zero: open.
	Until time.Time
	// GivenBack means that the target is ejected but keeps its full share
	// because of the floor.
	GivenBack bool
}

// Event is a change of a target's status.
type Event struct {
	Time    time.Time
	Service fleet.ServiceID
	Target  fleet.TargetID
	Before  Status
	After   Status
}
