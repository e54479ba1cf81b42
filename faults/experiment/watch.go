package experiment

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/faults"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/status"
)

// watchInterval is the time between two reads of an instance's status.
const watchInterval = 250 * time.Millisecond

// observation sums up what the instances' status pages said in a run.
type observation struct {
	mu sync.Mutex
	// wrong are the targets that were set aside without being sick, with the
	// number of instances that did so.
	wrong map[fleet.TargetID]map[fleet.InstanceID]bool
	// right are the instances that set a sick target aside.
	right map[fleet.InstanceID]bool
	// below counts reads of instances that used less than a service's floor.
	below int
	reads int
}

// watcher reads all instances' status pages until its context ends.
type watcher struct {
	fleet *faults.Fleet
	fault Fault
	sick  map[fleet.TargetID]bool
	seen  observation
}

func newWatcher(f *faults.Fleet, fault Fault, sick []*faults.Target) *watcher {
	w := &watcher{fleet: f, fault: fault, sick: map[fleet.TargetID]bool{}}
	w.seen.wrong = map[fleet.TargetID]map[fleet.InstanceID]bool{}
	w.seen.right = map[fleet.InstanceID]bool{}
	for _, t := range sick {
		w.sick[t.ID] = true
	}
	return w
}

func (w *watcher) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, i := range w.fleet.Instances {
		wg.Go(func() { w.follow(ctx, i) })
	}
	wg.Wait()
}

func (w *watcher) follow(ctx context.Context, i *faults.Instance) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r, err := i.Status(); err == nil {
			w.note(r)
		}
	}
}

// note takes one instance's report in.
func (w *watcher) note(r status.Report) {
	w.seen.mu.Lock()
	defer w.seen.mu.Unlock()
	w.seen.reads++
	out := map[fleet.ServiceID]int{}
	for _, e := range r.Ejected {
		out[e.Service]++
		if w.rightly(r, e) {
			w.seen.right[r.Instance] = true
			continue
		}
		if w.seen.wrong[e.Target] == nil {
			w.seen.wrong[e.Target] = map[fleet.InstanceID]bool{}
		}
		w.seen.wrong[e.Target][r.Instance] = true
	}
	if w.belowFloor(out) {
		w.seen.below++
	}
}

func (w *watcher) rightly(r status.Report, e status.Ejection) bool {
	return w.fault.Eject && w.sick[e.Target] && w.fault.concerns(r.Instance, r.Zone)
}

func (w *watcher) belowFloor(out map[fleet.ServiceID]int) bool {
	for _, s := range w.fleet.Contract.Services {
		all := len(w.fleet.Targets[s.Name])
		floor := int(math.Ceil(float64(all*s.Floor) / 100))
		if all-out[fleet.NewServiceID(w.fleet.Contract.Customer, s.Name)] < floor {
			return true
		}
	}
	return false
}

// wrongPairs counts pairs of an instance and a target wrongly set aside.
func (o *observation) wrongPairs() int {
	n := 0
	for _, by := range o.wrong {
		n += len(by)
	}
	return n
}
