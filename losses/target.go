package losses

import (
	"sort"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/explain"
	"github.com/clementinereel/clementinereel/placement"
)

// Detection is how a service's sick targets were met.
type Detection struct {
	// Bouts is how many times a target failed more than once in a row.
	Bouts int
	// Times are, in order, the times from the first failure of a bout to the last
	// failure of work that was sent to it as to a sound target.
	Times []time.Duration
	// Ordinary is the work that failed in bouts though it was sent as to a sound
	// target, Trials that which was sent to a target known to be doubtful.
	Ordinary, Trials int
	// Single is how many failures stand alone: sound targets fail now and then.
	Single int
	// Aside is how many times a target was set aside, False how many of these
	// followed at most one failure.
	Aside, False int
}

// Median is the middle detection time; 0 if no bout was seen.
func (d *Detection) Median() time.Duration {
	if len(d.Times) == 0 {
		return 0
	}
	return d.Times[len(d.Times)/2]
}

// boutGap is the longest time between two failures of one bout.
const boutGap = 3 * time.Second

// attempt is one that failed at a target.
type attempt struct {
	at       time.Duration
	ordinary bool
}

// spell is a time for which some instance had set a target aside.
type spell struct{ from, to time.Duration }

// targetLog is what the logs say of one target.
type targetLog struct {
	service  string
	failures []attempt
	changes  []change
}

// change is an instance's change of mind on a target.
type change struct {
	at    time.Duration
	aside bool
}

// addTarget takes in a line that tells of a target.
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
			return // a target that is full is not sick
		}
		fails, err := strconv.ParseFloat(l.Get("fails"), 64)
		x.failures = append(x.failures, attempt{began(l), err == nil && fails < placement.DoubtfulFailureProbability})
	case eventlog.TargetSuspected:
		x.changes = append(x.changes, change{l.At, true})
	case eventlog.TargetCleared:
		x.changes = append(x.changes, change{l.At, false})
	}
}

// began is when the line's attempt began.
func began(l *explain.Line) time.Duration {
	took, err := time.ParseDuration(l.Get("took_ms") + "ms")
	if err != nil {
		return l.At
	}
	return l.At - took
}

// detect adds what happened at the target to its service's figures.
func (x *targetLog) detect(d *Detection) {
	sort.Slice(x.failures, func(a, b int) bool { return x.failures[a].at < x.failures[b].at })
	for from := 0; from < len(x.failures); {
		to := from + 1
		for to < len(x.failures) && x.failures[to].at-x.failures[to-1].at < boutGap {
			to++
		}
		d.bout(x.failures[from:to])
		from = to
	}
	for _, s := range x.spells() {
		d.Aside++
		if x.failed(s) <= 1 {
			d.False++
		}
	}
}

func (d *Detection) bout(fs []attempt) {
	if len(fs) == 1 {
		d.Single++
		return
	}
	d.Bouts++
	last := fs[0].at
	for _, f := range fs {
		if !f.ordinary {
			d.Trials++
			continue
		}
		d.Ordinary++
		last = f.at
	}
	d.Times = append(d.Times, last-fs[0].at)
}

// spells are the times from a first suspicion of any instance until the last
// change of mind.
func (x *targetLog) spells() []spell {
	sort.SliceStable(x.changes, func(a, b int) bool { return x.changes[a].at < x.changes[b].at })
	var all []spell
	for _, c := range x.changes {
		last := len(all) - 1
		switch {
		case last >= 0 && c.at-all[last].to < boutGap:
			all[last].to = c.at
		case c.aside:
			all = append(all, spell{c.at, c.at})
		}
	}
	return all
}

// failed counts the failures just before and within a spell.
func (x *targetLog) failed(s spell) int {
	n := 0
	for _, f := range x.failures {
		if f.at > s.from-boutGap && f.at < s.to+boutGap {
			n++
		}
	}
	return n
}
