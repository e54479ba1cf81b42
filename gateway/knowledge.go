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

// peerLoadFor is how long a silent peer's load is counted.
const peerLoadFor = 3 * time.Second

// peerForgottenAfter is when a silent peer or zone is dropped from the tables.
const peerForgottenAfter = 20 * time.Second

// Knowledge is what one instance knows of targets and budgets, from its own
// attempts and from what others told. It is safe for concurrent use.
type Knowledge struct {
	chooser *placement.Chooser
	retry   pooled.Config

	mu       sync.Mutex
	services map[document.ServiceName]*service
	targets  map[fleet.TargetID]*target
	peers    map[string]*peer
	zones    map[fleet.Zone]*zone
	pending  []gathered
	census   census
	// lastCut is the last path that was found cut.
	lastCut struct {
		id fleet.TargetID
		at time.Time
	}
}

// service is what is known of a service.
type service struct {
	estimator *suspicion.Estimator
	budget    *pooled.Budget
	latency   latency
	// answerKB is the running mean of answers' sizes, answers their number.
	answerKB float64
	answers  int
	reuse    reuse
	// askedAt is when others were last asked for a part of their budgets.
	askedAt time.Time
}

// target is what is known of a target beside its estimate.
type target struct {
	own, others int // in flight
	// lastUse is when any instance last told of a request that reached it.
	lastUse time.Time
	// arrivedAt is when the latest request that is known began there.
	arrivedAt time.Time
	cutUntil  time.Time
	cutFor    time.Duration
	// successes are those of the own zone that other zones were not told of;
	// began is when the latest began.
	successes int
	began     time.Time
	service   document.ServiceName
	reuse     idleBound
	backoff   backoff
	// restarts counts the processes that were followed by another under the target's
	// ID, and restartedAt is when this instance learned of the last.
	restarts    int
	restartedAt time.Time
}

// arrived notes that a request began at the target.
func (t *target) arrived(at time.Time) {
	if at.After(t.arrivedAt) {
		t.arrivedAt = at
	}
}

// NewKnowledge returns the knowledge of an instance that has seen nothing, and whose process
// started at the given time.
func NewKnowledge(c *placement.Chooser, retry pooled.Config, booted time.Time) *Knowledge {
	return &Knowledge{
		census:   census{booted: booted},
		chooser:  c,
		retry:    retry,
		services: make(map[document.ServiceName]*service),
		targets:  make(map[fleet.TargetID]*target),
		peers:    make(map[string]*peer),
		zones:    make(map[fleet.Zone]*zone),
	}
}

func (k *Knowledge) service(name document.ServiceName) *service {
	s := k.services[name]
	if s == nil {
		s = &service{estimator: suspicion.New(), budget: pooled.New(k.retry, k.census.booted), answerKB: guessedAnswerKB}
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

// Restarted forgets what was seen of targets that have started again under their ID:
// whether they fail, what they have in flight, which paths to them are cut and how long
// their connections rest. What comes later of attempts that began before is passed over.
func (k *Knowledge) Restarted(now time.Time, ids []fleet.TargetID) {
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

// Tick drops what is old of peers and zones.
func (k *Knowledge) Tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for addr, p := range k.peers {
		if now.Sub(p.heard) > peerLoadFor {
			k.dropLoad(p)
		}
		if now.Sub(p.heard) > peerForgottenAfter {
			delete(k.peers, addr)
		}
	}
	for name, z := range k.zones {
		if now.Sub(z.heard) > peerLoadFor {
			k.dropLoad(&z.peer)
		}
		if now.Sub(z.heard) > peerForgottenAfter {
			delete(k.zones, name)
		}
	}
}

// Forget drops the targets that are not in use and have nothing in flight.
func (k *Knowledge) Forget(inUse func(fleet.TargetID) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, t := range k.targets {
		if !inUse(id) && t.own == 0 && t.others == 0 {
			delete(k.targets, id)
		}
	}
	for _, s := range k.services {
		s.estimator.Prune(inUse)
	}
}

// Suspects is how many targets of each service count as sick.
func (k *Knowledge) Suspects() map[document.ServiceName]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := make(map[document.ServiceName]int, len(k.services))
	for name, s := range k.services {
		n[name] = s.estimator.SuspectedCount()
	}
	return n
}
