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

// Table holds the active services of this instance.
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
	// order is the order in which Tick processes the services.
	order   []*Service
	suspect int

	ctx           context.Context
	cancel        context.CancelFunc
	calls         sync.WaitGroup
	queues        map[fleet.InstanceID]*peerQueue
	announceSlots chan struct{}
}

// NewTable returns an empty table. The now function gives the time of messages
// that arrive between ticks. Metrics are registered in r unless it is nil.
func NewTable(self fleet.InstanceID, zone fleet.Zone, s Settings, roles Roles, sender Sender, now func() time.Time, r metrics.Registry) *Table {
	s = s.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Table{
		self: self, zone: zone, settings: s, roles: roles, sender: sender,
		counters: newCounters(r), now: now,
		services: map[fleet.ServiceID]*Service{},
		ctx:      ctx, cancel: cancel,
		queues:        map[fleet.InstanceID]*peerQueue{},
		announceSlots: make(chan struct{}, s.Announcers),
	}
}

// Close cancels the calls in flight and waits for them to return. Tick must not
// be called afterwards.
func (t *Table) Close() {
	t.cancel()
	t.calls.Wait()
}

// Set adds a service, or updates its config and targets.
func (t *Table) Set(id fleet.ServiceID, cfg outlier.Config, targets []fleet.Target) *Service {
	now := t.now()
	t.mu.Lock()
	s := t.services[id]
	if s == nil {
		s = &Service{id: id, detector: outlier.NewDetector(cfg, t.self, t.zone)}
		s.set(now, cfg, targets)
		t.services[id] = s
		t.order = append(t.order, s) // safe: a running Tick reads only up to the length it copied
		t.mu.Unlock()
		return s
	}
	t.mu.Unlock()
	s.set(now, cfg, targets)
	return s
}

// Remove removes a service.
func (t *Table) Remove(id fleet.ServiceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[id]
	delete(t.services, id)
	t.order = slices.DeleteFunc(slices.Clone(t.order), func(o *Service) bool { return o == s })
}

// Get returns a service, or nil if the table doesn't have it.
func (t *Table) Get(id fleet.ServiceID) *Service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[id]
}

// Suspect returns the number of services of which so many targets look
// unhealthy from this instance that it suspects its own network.
func (t *Table) Suspect() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.suspect
}

// Tick runs all services once and returns the targets' changes. It starts calls
// to other instances without waiting for them. It should be called every 50 to
// 100 ms by a single goroutine.
func (t *Table) Tick(now time.Time) []outlier.Event {
	t.mu.RLock()
	order := t.order
	t.mu.RUnlock()
	var events []outlier.Event
	reports := map[fleet.InstanceID][]outlier.Report{}
	suspect := 0
	routine := t.settings.routineInterval(len(order))
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
		t.counters.countChange(e)
		klog.InfoS("Target changed", "service", e.Service, "target", e.Target,
			"before", e.Before.Phase.String(), "after", e.After.Phase.String(),
			"scope", e.After.Scope.String(), "reason", e.After.Reason.String(),
			"givenBack", e.After.GivenBack, "until", e.After.Until)
	}
}

// handleReport passes a report to the service's aggregator. It returns false if
// the table doesn't have the service.
func (t *Table) handleReport(now time.Time, r outlier.Report) (outlier.Verdicts, bool) {
	s := t.Get(r.Service)
	if s == nil {
		t.counters.unknown.Inc(1)
		return outlier.Verdicts{}, false
	}
	t.counters.folded.Inc(1)
	return s.addReport(now, t.self, r), true
}

// apply passes verdicts to the service's detector. Verdicts on services that
// the table doesn't have are ignored.
func (t *Table) apply(now time.Time, v outlier.Verdicts) {
	s := t.Get(v.Service)
	if s == nil {
		t.counters.unknown.Inc(1)
		return
	}
	s.apply(now, v)
}
