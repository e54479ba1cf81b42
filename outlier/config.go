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

// Config configures the detection of unhealthy targets of one service.
type Config struct {
	// FalseEjectionWeight is from 0 (only detection time matters) to 1 (only
	// false ejections matter).
	FalseEjectionWeight float64
	// BaseEjection is how long a target's first ejection lasts before trial
	// traffic. Each further ejection doubles it.
	BaseEjection time.Duration
	// MaxEjection bounds the doubling. For each such period that a
	// target stays healthy, one past ejection is disregarded.
	MaxEjection time.Duration
	// SlowStart is how long a joined, cold or returned target gets less than
	// its full share of work.
	SlowStart time.Duration
	// FloorPercent is the minimum percentage of the joined targets that
	// ejections leave in use, 1 to 100.
	FloorPercent int
	// Slots is how many requests one target serves concurrently.
	Slots int
}

// FromContract returns the config of a service of a contract, with defaults for
// omitted fields.
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
	// referenceRate is the number of tries per second that the thresholds are
	// meant for. They are lower with less evidence, by at most
	// maxThresholdReduction, to keep the false ejections per hour constant
	// instead of those per try.
	referenceRate         = 100.0
	maxThresholdReduction = 4.0
	// settleSpeed and settleCaution bound how long an accusation must
	// persist.
	settleSpeed   = 100 * time.Millisecond
	settleCaution = 500 * time.Millisecond
	// trialGoodSpeed and trialGoodCaution are the good tries that end a trial.
	trialGoodSpeed   = 4
	trialGoodCaution = 10
	// trialFailureScore is the log-likelihood at which a trial has failed.
	trialFailureScore = 5.0
	// returnedFactor scales the threshold for a target in slow start after
	// an ejection.
	returnedFactor = 0.5
	// maxSuspectShare is the share of targets that look unhealthy at once above
	// which the network or the observer is assumed to be the cause.
	maxSuspectShare = 0.5
	// troubleFactor raises the threshold if the others' rate of bad tries, or
	// their current rate of slow ones, is above troubleBase: in a service that
	// is degraded as a whole, failures come in bursts that hit single targets.
	troubleFactor = 5.0
	troubleBase   = 0.05
	// slowFactor times the service's median latency is the limit of a slow try.
	slowFactor = 3.5
	// slowSlack is the minimum time by which a slow try exceeds the median.
	slowSlack = 5 * time.Millisecond

	trialWeight = 0.05
	startWeight = 0.1
	// drainTTL is how long a target gets no work after it reported draining.
	drainTTL = 3 * time.Second
	// mutedFactor raises the threshold for targets that are busy, cold or
	// returning: work queued there times out in bursts.
	mutedFactor = 1.5
	// busyTTL is how long after a target shed load its slowness is no evidence,
	// since it reported itself that it is full.
	busyTTL = 3 * time.Second
	// selfReportInterval is the minimum interval between immediate updates that
	// a target is still cold or draining.
	selfReportInterval = time.Second
	// sumTimeout is how long a sum is kept without a further bad try.
	sumTimeout = 30 * time.Second
	// reporterTTL is how long an aggregator keeps a silent reporter.
	reporterTTL = 5 * time.Minute

	// FlushInterval is the minimum time between two reports of a detector.
	FlushInterval = 100 * time.Millisecond
	// RoutineInterval is the time between reports that carry no bad try.
	// Detector.SetRoutine extends it.
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

// trialLimit returns the duration of a trial with too few tries to decide it.
func (c Config) trialLimit() time.Duration { return max(c.BaseEjection, 5*time.Second) }

// ejectionTime returns the duration of an ejection after level earlier ones.
func (c Config) ejectionTime(level int) time.Duration {
	d := c.BaseEjection
	for range level {
		if d *= 2; d >= c.MaxEjection {
			return c.MaxEjection
		}
	}
	return min(d, c.MaxEjection)
}
