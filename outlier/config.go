package outlier

import (
	"time"

	"github.com/clementinereel/clementinereel/contract"
)

// Defaults of the contract's fields that concern detection.
const (
	DefaultFalseEjectionWeight = 0.5
	DefaultBaseEjection        = 5 * time.Second
	DefaultMaxEjection         = 2 * time.Minute
	DefaultSlowStart           = 10 * time.Second
	DefaultFloorPercent        = 70
)

// Config says how the targets of one service are judged.
type Config struct {
	// FalseEjectionWeight is from 0 (only detection time matters) to 1 (only
	// false ejections matter).
	FalseEjectionWeight float64
	// BaseEjection is how long a target's first ejection lasts before trial
	// traffic. Each further ejection doubles it.
	BaseEjection time.Duration
	// MaxEjection bounds the doubling. A target that stays well for as long
	// has one ejection of its past forgotten.
	MaxEjection time.Duration
	// SlowStart is how long a joined, cold or returned target gets less than
	// its full share of work.
	SlowStart time.Duration
	// FloorPercent is the share of the joined targets that ejections leave
	// in use, 1 to 100.
	FloorPercent int
	// Slots is how many requests one target serves at once.
	Slots int
}

// FromContract takes the config from a service of a contract, with the
// contract's defaults for what is left out.
func FromContract(s contract.Service) Config {
	c := Config{
		FalseEjectionWeight: DefaultFalseEjectionWeight,
		BaseEjection:        orDefault(s.Detection.BaseEjection.D(), DefaultBaseEjection),
		MaxEjection:         orDefault(s.Detection.MaxEjection.D(), DefaultMaxEjection),
		SlowStart:           orDefault(s.SlowStart.D(), DefaultSlowStart),
		FloorPercent:        s.Floor,
		Slots:               s.Slots,
	}
	if s.Detection.FalseEjectionWeight != nil {
		c.FalseEjectionWeight = *s.Detection.FalseEjectionWeight
	}
	if c.FloorPercent == 0 {
		c.FloorPercent = DefaultFloorPercent
	}
	c.MaxEjection = max(c.MaxEjection, c.BaseEjection)
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// Constants of the test. Thresholds are in nats of log-likelihood: a target
// no different from the others passes threshold h about once in exp(h) tries.
const (
	thresholdSpeed   = 15.0
	thresholdCaution = 20.0
	// referenceRate is the tries a second at which the thresholds hold. They
	// are lower with less evidence, by at most scarcity, so that the false
	// ejections an hour stay the same and not those a try.
	referenceRate = 100.0
	scarcity      = 4.0
	// settleSpeed and settleCaution bound how long an accusation must hold.
	settleSpeed   = 100 * time.Millisecond
	settleCaution = 500 * time.Millisecond
	// trialGoodSpeed and trialGoodCaution are the good tries that end a trial.
	trialGoodSpeed   = 4
	trialGoodCaution = 10
	// trialRelapse is the log-likelihood at which a trial has failed.
	trialRelapse = 5.0
	// returnedFactor scales the threshold for a target in slow start after
	// an ejection.
	returnedFactor = 0.5
	// crowdShare is the share of the targets above which looking sick at
	// once is blamed on the network or the observer.
	crowdShare = 0.5
	// troubleFactor raises the threshold where the others' rate of bad tries,
	// or of slow ones right now, is above troubleBase: in a service that is
	// in trouble as a whole, failures come in bursts that hit single targets.
	troubleFactor = 5.0
	troubleBase   = 0.05
	// slowFactor times the service's median latency is a slow try.
	slowFactor = 3.5
	// slowSlack is the least time by which a slow try passes the median.
	slowSlack = 5 * time.Millisecond

	trialWeight = 0.05
	startWeight = 0.1
	// drainHold is how long a target gets no work after it said that it is
	// draining.
	drainHold = 3 * time.Second
	// mutedFactor raises the threshold for targets that are busy, cold or
	// returning: work that waits there times out in bursts.
	mutedFactor = 1.5
	// busyHold is how long after a target shed load its slowness is no
	// evidence: it said itself that it is full.
	busyHold = 3 * time.Second
	// toldInterval is how often an aggregator passes on at once that a target
	// still says it is cold or draining.
	toldInterval = time.Second
	// staleAfter is how long a sum without a further bad try is kept.
	staleAfter = 30 * time.Second
	// reporterKept is how long an aggregator remembers a silent reporter.
	reporterKept = 5 * time.Minute

	// FlushInterval is the least time between two reports of a detector.
	FlushInterval = 100 * time.Millisecond
	// RoutineInterval is the time between reports that carry no bad try.
	// Detector.SetRoutine stretches it.
	RoutineInterval = time.Second
)

// limits are the constants of the test at one weight.
type limits struct {
	threshold float64
	settle    time.Duration
	trialGood float64
}

func (c Config) limits() limits {
	w := min(max(c.FalseEjectionWeight, 0), 1)
	return limits{
		threshold: thresholdSpeed + w*(thresholdCaution-thresholdSpeed),
		settle:    settleSpeed + time.Duration(w*float64(settleCaution-settleSpeed)),
		trialGood: trialGoodSpeed + w*(trialGoodCaution-trialGoodSpeed),
	}
}

// trialLimit is how long a trial lasts that too few tries decide.
func (c Config) trialLimit() time.Duration { return max(c.BaseEjection, 5*time.Second) }

// stayFor is how long the ejection after so many earlier ones lasts.
func (c Config) stayFor(level int) time.Duration {
	d := c.BaseEjection
	for range level {
		if d *= 2; d >= c.MaxEjection {
			return c.MaxEjection
		}
	}
	return min(d, c.MaxEjection)
}
