package experiment

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/faults"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// Config says what is measured.
type Config struct {
	Binaries  *faults.Binaries
	User      User
	Instances int
	// Load is the load as a share of the slots.
	Load   float64
	Runs   int
	Faults []Fault
	// Class is the class of the service whose targets turn sick.
	Class fleet.Class
	// WarmUp is how long the load runs before the fault, Window how long
	// after it began.
	WarmUp time.Duration
	Window time.Duration
}

// Result is what one run gave.
type Result struct {
	Fault Fault
	Run   int
	// Detections has an entry for each sick target.
	Detections []detection
	// FalseTargets are the healthy targets set aside by any instance,
	// FalsePairs counts pairs of an instance and such a target.
	FalseTargets []fleet.TargetID
	FalsePairs   int
	// Ejecting counts the instances that set a sick target aside.
	Ejecting   int
	BelowFloor int
	// Tries counts the work that came to the service's targets in the run.
	Tries  int
	Report *load.Report
}

// Run measures all faults on one fleet, one run after the other.
func Run(t testing.TB, c Config) []Result {
	t.Helper()
	f := faults.New(t, c.User.setup(c.Binaries, c.Instances))
	var all []Result
	for _, fault := range c.Faults {
		for n := range c.Runs {
			r := c.once(t, f, fault, n)
			t.Logf("%s %s run %d: %s", c.User.Name, fault.Name, n+1, r.line())
			all = append(all, r)
		}
	}
	return all
}

// once makes one run on a fleet that is well.
func (c Config) once(t testing.TB, f *faults.Fleet, fault Fault, n int) Result {
	t.Helper()
	service := f.Route(c.Class).Service
	f.SetAll(service, emulator.Behavior{})
	waitWell(t, f)
	sick := pickSick(f.Targets[service], fault, n)
	before := f.Work(service)
	w := newWatcher(f, fault, sick)
	ctx, stop := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go func() { defer close(watched); w.run(ctx) }()
	o := f.Load(c.WarmUp+c.Window, c.User.mix(f, c.Load))
	o.Seed = uint64(n + 1)
	rep := loadBeside(t, o, func() {
		time.Sleep(c.WarmUp)
		begin(t, f, fault, sick)
	})
	stop()
	<-watched
	r := Result{Fault: fault, Run: n, Report: rep, Tries: f.Work(service) - before}
	if fault.Eject {
		for _, s := range sick {
			r.Detections = append(r.Detections, detect(s.Arrivals(), c.Window, fault.limited()))
		}
	}
	r.FalseTargets, r.FalsePairs = slices.Sorted(maps.Keys(w.seen.wrong)), w.seen.wrongPairs()
	r.Ejecting, r.BelowFloor = len(w.seen.right), w.seen.below
	f.SetLog(faults.LogUp)
	return r
}

// begin turns the targets sick.
func begin(t testing.TB, f *faults.Fleet, fault Fault, sick []*faults.Target) {
	t.Helper()
	if fault.LogDown {
		f.SetLog(faults.LogHangs)
	}
	for _, s := range sick {
		assert.NilError(t, s.Set(fault.Behavior))
	}
}

// pickSick takes another target in each run.
func pickSick(targets []*faults.Target, fault Fault, n int) []*faults.Target {
	if fault.Targets < 0 {
		return targets
	}
	var sick []*faults.Target
	for k := range fault.Targets {
		sick = append(sick, targets[(n+k)%len(targets)])
	}
	return sick
}

// waitWell waits until no instance sets any target aside.
func waitWell(t testing.TB, f *faults.Fleet) {
	t.Helper()
	for _, i := range f.Instances {
		faults.Eventually(t, func() error {
			r, err := i.Status()
			if err == nil && len(r.Ejected) > 0 {
				err = errors.Errorf("%s still sets targets aside: %v", i.ID(), r.Ejected)
			}
			return err
		})
	}
}

// loadBeside sends a load while a function turns targets sick.
func loadBeside(t testing.TB, o load.Options, do func()) *load.Report {
	t.Helper()
	type result struct {
		rep *load.Report
		err error
	}
	done := make(chan result, 1)
	go func() {
		rep, err := load.Run(context.Background(), o)
		done <- result{rep, err}
	}()
	do()
	res := <-done
	assert.NilError(t, res.err)
	return res.rep
}
