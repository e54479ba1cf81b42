package gateway

import (
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/suspicion"
)

// peerLoadTimeout is how long the load of a silent peer is counted.
const peerLoadTimeout = 3 * time.Second

// peerTimeout is how long a silent peer or zone is kept in the tables.
const peerTimeout = 20 * time.Second

// Knowledge holds an instance's state of targets and retry budgets, updated by its own attempts
// and by reports from other instances. It is safe for concurrent use.
type Knowledge struct {
	chooser *placement.Chooser
	retry   pooled.Config

	mu            sync.Mutex
	services      map[document.ServiceName]*service
	targets       map[fleet.TargetID]*target
	peers         map[string]*peer
	zones         map[fleet.Zone]*zone
	pending       []pendingEvidence
	held          *heldEvidence // nil if none is held
	instanceCount instanceCount
	// lastCut is the most recent failed path.
	lastCut struct {
		id fleet.TargetID
		at time.Time
	}
}

// service is the state of a service.
type service struct {
	estimator *suspicion.Estimator
	budget    *pooled.Budget
	latency   latency
	// meanResponseKB is the running mean response size, responses the number of responses.
	meanResponseKB float64
	responses      int
	reuse          reuseStats
	// loansRequestedAt is when loans were last requested from other instances.
	loansRequestedAt time.Time
}

// target is the state of a target apart from its health estimate.
type target struct {
	ownInFlight, peerInFlight int
	// lastUse is when an instance last reported an attempt that reached the target.
	lastUse time.Time
	// lastArrival is the latest known start of a request at the target.
	lastArrival time.Time
	cutUntil    time.Time
	cutDuration time.Duration
	// unreportedSuccesses counts successes of this zone not yet sent to other zones;
	// lastSuccessBegan is the start of the latest one.
	unreportedSuccesses int
	lastSuccessBegan    time.Time
	service             document.ServiceName
	reuse               idleBound
	backoff             backoff
	// restarts counts process restarts under the target's ID; restartedAt is when this instance
	// learned of the last one.
	restarts    int
	restartedAt time.Time
}

// recordArrival records that a request began at the target.
func (t *target) recordArrival(at time.Time) {
	if at.After(t.lastArrival) {
		t.lastArrival = at
	}
}

// NewKnowledge returns the empty state of an instance whose process started at booted.
func NewKnowledge(c *placement.Chooser, retry pooled.Config, booted time.Time) *Knowledge {
	return &Knowledge{
		instanceCount: instanceCount{booted: booted},
		chooser:       c,
		retry:         retry,
		services:      make(map[document.ServiceName]*service),
		targets:       make(map[fleet.TargetID]*target),
		peers:         make(map[string]*peer),
		zones:         make(map[fleet.Zone]*zone),
	}
}

func (k *Knowledge) service(name document.ServiceName) *service {
	s := k.services[name]
	if s == nil {
		s = &service{estimator: suspicion.New(), budget: pooled.New(k.retry, k.instanceCount.booted), meanResponseKB: initialResponseKB}
		k.services[name] = s
	}
	return s
}

func (k *Knowledge) target(id fleet.TargetID) *target {
	t := k.targets[id]
	if t == nil {
		t = new(target)
		k.targets[id] = t
	}
	return t
}

// ResetRestarted discards the state of targets that restarted under the same ID: health estimate,
// requests in flight, failed paths and connection reuse. Later reports of attempts that began
// before the restart are ignored.
func (k *Knowledge) ResetRestarted(now time.Time, ids []fleet.TargetID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		k.targets[id] = &target{restarts: k.target(id).restarts + 1, restartedAt: now}
		for _, p := range k.peers {
			delete(p.load, id)
		}
		for _, z := range k.zones {
			delete(z.load, id)
		}
		for _, s := range k.services {
			s.estimator.Prune(func(other fleet.TargetID) bool { return other != id })
		}
	}
}

// Tick expires state of silent peers and zones.
func (k *Knowledge) Tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for addr, p := range k.peers {
		if now.Sub(p.lastReceived) > peerLoadTimeout {
			k.dropLoad(p)
		}
		if now.Sub(p.lastReceived) > peerTimeout {
			delete(k.peers, addr)
		}
	}
	for name, z := range k.zones {
		if now.Sub(z.lastReceived) > peerLoadTimeout {
			k.dropLoad(&z.peer)
		}
		if now.Sub(z.lastReceived) > peerTimeout {
			delete(k.zones, name)
		}
	}
}

// Forget drops targets that are not in use and have no requests in flight.
func (k *Knowledge) Forget(inUse func(fleet.TargetID) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, t := range k.targets {
		if !inUse(id) && t.ownInFlight == 0 && t.peerInFlight == 0 {
			delete(k.targets, id)
		}
	}
	for _, s := range k.services {
		s.estimator.Prune(inUse)
	}
}

// SuspectCounts returns the number of suspected targets by service.
func (k *Knowledge) SuspectCounts() map[document.ServiceName]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := make(map[document.ServiceName]int, len(k.services))
	for name, s := range k.services {
		n[name] = s.estimator.SuspectedCount()
	}
	return n
}
