package lab

import (
	"math"
	"slices"
	"time"
)

// Measures are the counts of one run, or the sums over many.
type Measures struct {
	Runs      int
	Instances int
	// Length is the time that was run.
	Length time.Duration
	// Sick is the number of targets that were sick and met work, Detected
	// the time of each from its first failure until the last instance that
	// it is sick for had set it aside. Targets never detected have no entry.
	Sick     int
	Detected []time.Duration
	// Seen is the same until each instance had set it aside at least once,
	// though others may have given it back by then.
	Seen []time.Duration
	// Ejections counts the decisions of single instances to set a target
	// aside, FalseEjections those against a target that was well.
	Ejections, FalseEjections int
	// HealthyOut is the time that healthy targets were set aside, summed
	// over instances.
	HealthyOut time.Duration
	// Tries counts tries, SickTries those at targets that were sick.
	Tries, SickTries int
	// LeftTries counts tries at targets after they were announced to leave.
	LeftTries int
	// Offered and Answered count requests after the warm-up, CouldAnswer how
	// many the healthy slots could have answered.
	Offered, Answered int
	CouldAnswer       float64
	// Retries follow failures, Moves refusals.
	Retries, Moves int
	// BelowFloor is the time that an instance's ejections left less in use
	// than the floor, summed over instances; UnionBelowFloor the time that
	// the ejections of all instances together did.
	BelowFloor, UnionBelowFloor time.Duration
	// Messages and Bytes count the traffic between instances.
	Messages, Bytes int
}

// Add adds the measures of another run.
func (m *Measures) Add(o Measures) {
	m.Runs++
	m.Instances = o.Instances
	m.Length += o.Length
	m.Sick += o.Sick
	m.Detected = append(m.Detected, o.Detected...)
	m.Seen = append(m.Seen, o.Seen...)
	m.Ejections += o.Ejections
	m.FalseEjections += o.FalseEjections
	m.HealthyOut += o.HealthyOut
	m.Tries += o.Tries
	m.SickTries += o.SickTries
	m.LeftTries += o.LeftTries
	m.Offered += o.Offered
	m.Answered += o.Answered
	m.CouldAnswer += o.CouldAnswer
	m.Retries += o.Retries
	m.Moves += o.Moves
	m.BelowFloor += o.BelowFloor
	m.UnionBelowFloor += o.UnionBelowFloor
	m.Messages += o.Messages
	m.Bytes += o.Bytes
}

// Undetected stands for the detection time of a target never detected.
const Undetected = time.Duration(1<<63 - 1)

// Detection returns the given quantile of the detection times, from 0 to 1,
// or Undetected where that share of the sick targets was not detected.
func (m Measures) Detection(q float64) time.Duration {
	return quantile(m.Detected, m.Sick, q)
}

// FirstSight returns the given quantile of Seen, or Undetected.
func (m Measures) FirstSight(q float64) time.Duration {
	return quantile(m.Seen, m.Sick, q)
}

// quantile takes the times that are missing from all as endless.
func quantile(times []time.Duration, all int, q float64) time.Duration {
	n := int(math.Ceil(q*float64(all))) - 1
	if all == 0 || n >= len(times) {
		return Undetected
	}
	slices.Sort(times)
	return times[max(0, n)]
}

// FalsePerHour is the number of targets falsely set aside by all instances
// in an hour of the service: ejections by one instance count as its share.
func (m Measures) FalsePerHour() float64 {
	return float64(m.FalseEjections) / float64(m.Instances) / m.Length.Hours()
}

// Goodput is the share of what healthy slots could answer that was answered.
func (m Measures) Goodput() float64 { return float64(m.Answered) / m.CouldAnswer }

// SickShare is the share of tries that went to sick targets.
func (m Measures) SickShare() float64 { return float64(m.SickTries) / float64(m.Tries) }

// RetryShare is the number of retries for each request.
func (m Measures) RetryShare() float64 {
	return float64(m.Retries) / float64(m.Tries-m.Retries-m.Moves)
}

// BytesPerSecond is the control traffic that one instance sends on average.
func (m Measures) BytesPerSecond() float64 {
	return float64(m.Bytes) / float64(m.Instances) / m.Length.Seconds()
}
