package losses

import (
	"sort"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/explain"
	"github.com/clementinereel/clementinereel/placement"
)

// Detection holds the figures on the detection of a service's unhealthy targets.
type Detection struct {
	// UnhealthyPeriods is the number of runs of two or more failures of a target,
	// each within maxFailureGap of the previous one.
	UnhealthyPeriods int
	// Times are the detection times in ascending order: from the start of the first
	// failed attempt of an unhealthy period to the start of its last failed ordinary one.
	Times []time.Duration
	// OrdinaryFailures is the number of attempts that failed in unhealthy periods while
	// the target was estimated to be healthy, TrialFailures the number of those
	// that were sent to a target estimated to be doubtful (trials).
	OrdinaryFailures, TrialFailures int
	// SingleFailures is the number of failures outside unhealthy periods: healthy
	// targets fail occasionally.
	SingleFailures int
	// Ejections is the number of times a target was ejected, FalseEjections the number
	// of ejections with at most one failure shortly before, during or after them.
	Ejections, FalseEjections int
}

// Median returns the median detection time, or 0 if there was no unhealthy period.
func (d *Detection) Median() time.Duration {
	if len(d.Times) == 0 {
		return 0
	}
	return d.Times[len(d.Times)/2]
}

// maxFailureGap bounds the time between two failures of one unhealthy period, between
// two changes of one ejection, and between an ejection and the failures counted for it.
const maxFailureGap = 3 * time.Second

// failedAttempt is an attempt that failed at a target for another reason than its capacity.
type failedAttempt struct {
	startedAt time.Duration
	ordinary  bool // the target was estimated to be healthy
}

// ejection is a period in which at least one instance had ejected a target.
type ejection struct{ from, to time.Duration }

// targetLog collects the failures and ejections of one target.
type targetLog struct {
	service  string
	failures []failedAttempt
	changes  []ejectionChange
}

// ejectionChange is an instance's decision to eject a target or to readmit it.
type ejectionChange struct {
	at      time.Duration
	ejected bool
}

// addTarget records a line that concerns a target.
func (t *Table) addTarget(l *explain.Line) {
	id := l.Get("target")
	if id == "" {
		return
	}
	x := t.targets[id]
	if x == nil {
		x = &targetLog{service: l.Get("service")}
		t.targets[id] = x
	}
	switch l.Event {
	case eventlog.AttemptFailed:
		if l.Get("kind") == "refused" {
			return // a target without capacity is not unhealthy
		}
		fails, err := strconv.ParseFloat(l.Get("fails"), 64)
		x.failures = append(x.failures, failedAttempt{attemptStart(l), err == nil && fails < placement.DoubtfulFailureProbability})
	case eventlog.TargetSuspected:
		x.changes = append(x.changes, ejectionChange{l.At, true})
	case eventlog.TargetCleared:
		x.changes = append(x.changes, ejectionChange{l.At, false})
	}
}

// attemptStart returns the start time of the line's attempt, or the time of the line
// if it has no duration.
func attemptStart(l *explain.Line) time.Duration {
	took, err := time.ParseDuration(l.Get("took_ms") + "ms")
	if err != nil {
		return l.At
	}
	return l.At - took
}

// addTo adds the target's failures and ejections to its service's figures.
func (x *targetLog) addTo(d *Detection) {
	sort.Slice(x.failures, func(a, b int) bool { return x.failures[a].startedAt < x.failures[b].startedAt })
	for from := 0; from < len(x.failures); {
		to := from + 1
		for to < len(x.failures) && x.failures[to].startedAt-x.failures[to-1].startedAt < maxFailureGap {
			to++
		}
		d.addFailures(x.failures[from:to])
		from = to
	}
	for _, s := range x.ejections() {
		d.Ejections++
		if x.countFailures(s) <= 1 {
			d.FalseEjections++
		}
	}
}

// addFailures adds a run of failures: a single failure or an unhealthy period.
func (d *Detection) addFailures(fs []failedAttempt) {
	if len(fs) == 1 {
		d.SingleFailures++
		return
	}
	d.UnhealthyPeriods++
	last := fs[0].startedAt
	for _, f := range fs {
		if !f.ordinary {
			d.TrialFailures++
			continue
		}
		d.OrdinaryFailures++
		last = f.startedAt
	}
	d.Times = append(d.Times, last-fs[0].startedAt)
}

// ejections returns the periods from the first ejection by any instance to the last
// change that follows within maxFailureGap of the previous one.
func (x *targetLog) ejections() []ejection {
	sort.SliceStable(x.changes, func(a, b int) bool { return x.changes[a].at < x.changes[b].at })
	var all []ejection
	for _, c := range x.changes {
		last := len(all) - 1
		switch {
		case last >= 0 && c.at-all[last].to < maxFailureGap:
			all[last].to = c.at
		case c.ejected:
			all = append(all, ejection{c.at, c.at})
		}
	}
	return all
}

// countFailures returns the number of failures during the ejection and within
// maxFailureGap of it.
func (x *targetLog) countFailures(s ejection) int {
	n := 0
	for _, f := range x.failures {
		if f.startedAt > s.from-maxFailureGap && f.startedAt < s.to+maxFailureGap {
			n++
		}
	}
	return n
}
