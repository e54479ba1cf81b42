package evidence

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// Table holds the services in force at this instance.
type Table struct {
	self     fleet.InstanceID
	zone     fleet.Zone
	settings Settings
	roles    Roles
	sender   Sender
	counters *counters
	now      func() time.Time

	mu       sync.RWMutex
	services map[fleet.ServiceID]*Service
	// order is the order in which ticks go over the services.
	order   []*Service
	suspect int

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	lines  map[fleet.InstanceID]*line
	slots  chan struct{}
}

// NewTable returns an empty table. The clock times what arrives between
// ticks. Metrics go to the registry unless it is nil.
func NewTable(self fleet.InstanceID, zone fleet.Zone, s Settings, roles Roles, sender Sender, now func() time.Time, r metrics.Registry) *Table {
	s = s.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Table{
		self: self, zone: zone, settings: s, roles: roles, sender: sender,
		counters: newCounters(r), now: now,
		services: map[fleet.ServiceID]*Service{},
		ctx:      ctx, cancel: cancel,
		lines: map[fleet.InstanceID]*line{},
		slots: make(chan struct{}, s.Announcers),
	}
}

// Close ends the calls under way and waits for them. No Tick may follow.
func (t *Table) Close() {
	t.cancel()
	t.calls.Wait()
}

// Set puts a service in force, or changes its config or targets.
func (t *Table) Set(id fleet.ServiceID, cfg outlier.Config, targets []fleet.Target) *Service {
	now := t.now()
	t.mu.Lock()
	s := t.services[id]
	if s == nil {
		s = &Service{id: id, detector: outlier.NewDetector(cfg, t.self, t.zone)}
		s.set(now, cfg, targets)
		t.services[id] = s
		t.order = append(t.order, s) // a tick under way doesn't look beyond its end
		t.mu.Unlock()
		return s
	}
	t.mu.Unlock()
	s.set(now, cfg, targets)
	return s
}

// Remove takes a service out of force.
func (t *Table) Remove(id fleet.ServiceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[id]
	delete(t.services, id)
	t.order = slices.DeleteFunc(slices.Clone(t.order), func(o *Service) bool { return o == s })
}

// Get returns a service in force, or nil.
func (t *Table) Get(id fleet.ServiceID) *Service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[id]
}

// Suspect tells for how many services so many targets look sick from this
// instance that it blames its own network.
func (t *Table) Suspect() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.suspect
}

// Tick runs all services once, and returns what changed. It starts calls to
// other instances but does not wait for them. It should be called every 50 to
// 100 ms, by one goroutine.
func (t *Table) Tick(now time.Time) []outlier.Event {
	t.mu.RLock()
	order := t.order
	t.mu.RUnlock()
	var events []outlier.Event
	reports := map[fleet.InstanceID][]outlier.Report{}
	suspect := 0
	routine := t.settings.routine(len(order))
	for _, s := range order {
		to := t.roles(s.id)
		out := s.detect(now, to, routine)
		events = append(events, out.Events...)
		if out.Suspect {
			suspect++
		}
		if out.Report != nil && to != "" {
			reports[to] = append(reports[to], *out.Report)
		}
	}
	t.send(now, reports)
	for _, s := range order {
		v, to := s.aggregate(now)
		t.announce(now, s, v, to)
	}
	t.mu.Lock()
	t.suspect = suspect
	t.mu.Unlock()
	t.log(events)
	return events
}

func (t *Table) log(events []outlier.Event) {
	for _, e := range events {
		t.counters.changed(e)
		klog.InfoS("Target changed", "service", e.Service, "target", e.Target,
			"before", e.Before.Phase.String(), "after", e.After.Phase.String(),
			"scope", e.After.Scope.String(), "reason", e.After.Reason.String(),
			"givenBack", e.After.GivenBack, "until", e.After.Until)
	}
}

// fold hands a report to a service's aggregator.
func (t *Table) fold(now time.Time, r outlier.Report) (outlier.Verdicts, bool) {
	s := t.Get(r.Service)
	if s == nil {
		t.counters.unknown.Inc(1)
		return outlier.Verdicts{}, false
	}
	t.counters.folded.Inc(1)
	return s.fold(now, t.self, r), true
}

// apply hands verdicts to a service's detector.
func (t *Table) apply(now time.Time, v outlier.Verdicts) {
	s := t.Get(v.Service)
	if s == nil {
		t.counters.unknown.Inc(1)
		return
	}
	s.apply(now, v)
}
