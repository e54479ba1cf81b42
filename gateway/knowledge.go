package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/suspicion"
)

const (
	// peerLoadFor is how long a silent peer's load is counted.
	peerLoadFor = 3 * time.Second
	// digestEntries bounds the targets in each list of a digest, so that it stays
	// within a datagram of about 1.5 KB. Those left out take their turn.
	digestEntries = 28
	// mostSuccesses bounds the successes at one target that are taken from a
	// digest.
	mostSuccesses = 20
	// guessedAnswerKB is taken for an answer's size until some came.
	guessedAnswerKB = 4
	// cutFirst and cutMost bound how long a path is avoided after a connection
	// did not come about; the time doubles with each failure in a row.
	cutFirst = 2 * time.Second
	cutMost  = 8 * time.Second
	// cutTogether is the time within which cut paths to different targets are
	// put down to this instance.
	cutTogether = 4 * time.Second
	// joinedFor is for how long after its start-up a target that nobody used is sought
	// out.
	joinedFor = 8 * time.Second
	// floorAfter is how long an instance only learns before it tries targets for the
	// floor: it does not know yet what the others use, and would try them all.
	floorAfter = 5 * time.Second
	// accountAfter is how long an instance spends only its own part of the retry
	// budgets: heartbeats and digests must have told it first what the others
	// spent, and which zones there are. An instance is known by its first packet,
	// which says nothing of that.
	accountAfter = 2 * time.Second
	// evidenceMost bounds the observations that wait for the next heartbeat.
	evidenceMost = 40
)

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
	ended    []endedUsage
	most     pastMost
	// born is when the first target was chosen.
	born time.Time
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
}

// target is what is known of a target beside its estimate.
type target struct {
	own, others int // in flight
	// lastUse is when any instance last told of a request that reached it.
	lastUse  time.Time
	cutUntil time.Time
	cutFor   time.Duration
	// successes are those of the own zone that other zones were not told of;
	// began is when the latest began.
	successes int
	began     time.Time
	service   document.ServiceName
	reuse     idleBound
}

// NewKnowledge returns the knowledge of an instance that has seen nothing.
func NewKnowledge(c *placement.Chooser, retry pooled.Config) *Knowledge {
	return &Knowledge{
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
		s = &service{estimator: suspicion.New(), budget: pooled.New(k.retry), answerKB: guessedAnswerKB}
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

// Request records a request for a service, for its retry budget.
func (k *Knowledge) Request(now time.Time, name document.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).budget.Request(now)
}

// Placed is a target that was chosen and why.
type Placed struct {
	*registry.Target
	// Cost is the expected cost, Fails its part for failure.
	Cost, Fails float64
	// InFlight is what all instances had there, this attempt left out.
	InFlight int
	// Doubtful tells that the others are to hear of the attempt at once.
	Doubtful bool
	// ForFloor tells that the target was chosen to keep enough targets in use.
	ForFloor bool
	// MaxIdle is how long a connection may have been idle to carry the attempt.
	MaxIdle time.Duration
}

// turns is how many times the slots must come free, as far as known, before the
// attempt is done, its own work included; at least 1.
func (p *Placed) turns() float64 {
	return max(float64(p.InFlight+1)/float64(max(p.Slots, 1)), 1)
}

// crowded tells whether the attempt left no slot free, as far as known.
func (p *Placed) crowded() bool { return p.InFlight+1 >= p.Slots }

// Place chooses a target among those given, the excluded left out, and counts the
// attempt in. Warm tells whether a connection that was idle for at most the given time is
// at hand. It returns false if there is no target.
func (k *Knowledge) Place(now time.Time, name document.ServiceName, ts []*registry.Target, excluded []fleet.TargetID, w placement.Work, warm func(fleet.TargetID, time.Duration) bool) (Placed, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	w.KB += s.answerKB
	w.Typical = s.latency.known().median
	candidates := make([]placement.Candidate, 0, len(ts))
	from := make([]*registry.Target, 0, len(ts))
	for _, t := range ts {
		if !slices.Contains(excluded, t.ID) {
			candidates = append(candidates, k.candidate(now, s, t, warm(t.ID, k.maxIdle(now, s, t.ID))))
			from = append(from, t)
			if t.Zone == k.chooser.Zone {
				w.InZone++
			}
		}
	}
	i, cost := k.chooser.Choose(w, candidates)
	if i < 0 {
		return Placed{}, false
	}
	next := k.floor(now, s, candidates)
	forFloor := next >= 0 && len(excluded) == 0
	if forFloor {
		i, cost = next, k.chooser.Cost(w, &candidates[next])
	}
	c := &candidates[i]
	k.target(c.ID).own++
	return Placed{Target: from[i], Cost: cost, Fails: c.Fails, InFlight: c.InFlight, Doubtful: c.Fails >= placement.Doubtful, ForFloor: forFloor, MaxIdle: k.maxIdle(now, s, c.ID)}, true
}

// maxIdle is how long a connection to the target may have been idle.
func (k *Knowledge) maxIdle(now time.Time, s *service, id fleet.TargetID) time.Duration {
	return min(s.reuse.most(now), k.target(id).reuse.most(now))
}

// floor returns the target to be tried so that enough are in use; -1 if none is.
func (k *Knowledge) floor(now time.Time, s *service, candidates []placement.Candidate) int {
	if k.born.IsZero() {
		k.born = now
	}
	if now.Sub(k.born) < floorAfter {
		return -1
	}
	return placement.Floor(s.estimator.FailedLately(), candidates)
}

func (k *Knowledge) candidate(now time.Time, s *service, rt *registry.Target, warm bool) placement.Candidate {
	t := k.target(rt.ID)
	return placement.Candidate{
		ID:       rt.ID,
		Zone:     rt.Zone,
		Slots:    rt.Slots,
		Sick:     s.estimator.Sick(now, rt.ID),
		Fails:    s.estimator.Fails(now, rt.ID),
		InFlight: t.own + t.others,
		Warm:     warm,
		Cut:      now.Before(t.cutUntil),
		Warming:  now.Before(rt.WarmAt),
		SinceUse: now.Sub(t.lastUse),
		Joined:   t.lastUse.IsZero() && now.Sub(rt.WarmAt) < joinedFor,
		Near:     k.near(now, rt.Zone),
	}
}

// near tells whether this zone's instances look after targets of the given zone:
// their own, and those of a zone from which nothing is heard.
func (k *Knowledge) near(now time.Time, name fleet.Zone) bool {
	if name == k.chooser.Zone {
		return true
	}
	z := k.zones[name]
	return z == nil || now.Sub(z.heard) > peerLoadFor
}

// Ended counts an attempt out.
func (k *Knowledge) Ended(id fleet.TargetID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.target(id).own--
}

// Answered records the length of an answer, which placement weighs.
func (k *Knowledge) Answered(name document.ServiceName, bytes int) {
	const leastWeight = 0.03
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	s.answers++
	weight := max(leastWeight, 1/float64(s.answers+1)) // the first guess counts as one
	s.answerKB += weight * (float64(bytes)/1024 - s.answerKB)
}

// Observe takes in what an attempt of this instance said of its target.
func (k *Knowledge) Observe(now time.Time, name document.ServiceName, id fleet.TargetID, o suspicion.Observation, began time.Time, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := mesh.Evidence{Service: name, Target: id, What: o, TookMillis: took.Milliseconds()}
	if o == suspicion.Unreachable && k.cut(now, id) {
		// Several targets at once: the fault is on this instance's side, and says
		// nothing of them to others.
		return
	}
	k.observe(now, e, began, fromSelf)
	k.tally(e, began)
	if o == suspicion.Good {
		k.target(id).cutFor = 0
	}
	if len(k.pending) < evidenceMost {
		k.pending = append(k.pending, gathered{e, began})
	}
}

// cut avoids the path to a target for a while. It tells whether the path to another
// target was found cut lately.
func (k *Knowledge) cut(now time.Time, id fleet.TargetID) (others bool) {
	t := k.target(id)
	others = k.lastCut.id != "" && k.lastCut.id != id && now.Sub(k.lastCut.at) < cutTogether
	k.lastCut.id, k.lastCut.at = id, now
	t.cutFor = min(max(2*t.cutFor, cutFirst), cutMost)
	t.cutUntil = now.Add(t.cutFor)
	eventlog.Info(eventlog.PathCut, "target", id, "avoid_ms", t.cutFor.Milliseconds(), "others", others)
	return others
}

// fromSelf names this instance as the source of an observation.
const fromSelf = "self"

func (k *Knowledge) observe(now time.Time, e mesh.Evidence, began time.Time, from string) {
	s := k.service(e.Service)
	before, after, change := k.estimate(now, s, &e, began, from)
	if arrived(e.What) {
		k.target(e.Target).lastUse = now
	}
	if e.What == suspicion.Good {
		s.latency.add(time.Duration(e.TookMillis) * time.Millisecond)
	}
	switch change {
	case suspicion.NowSuspected:
		r := s.estimator.Rates()
		eventlog.Info(eventlog.TargetSuspected, "target", e.Target, "service", e.Service, "by", from, "evidence", e.What,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Share(before), "sick", eventlog.Share(after), "sound_fails", eventlog.Share(r.SoundFails), "bout_ms", r.Bout.Milliseconds())
	case suspicion.NowCleared:
		eventlog.Info(eventlog.TargetCleared, "target", e.Target, "service", e.Service, "by", from, "evidence", e.What,
			"age_ms", now.Sub(began).Milliseconds(), "sick_before", eventlog.Share(before), "sick", eventlog.Share(after))
	}
}

// estimate moves the estimate of the evidence's target.
func (k *Knowledge) estimate(now time.Time, s *service, e *mesh.Evidence, began time.Time, from string) (before, after float64, c suspicion.Change) {
	if e.What != suspicion.Rested {
		return s.estimator.Observe(now, e.Target, e.What, began)
	}
	idle := time.Duration(e.TookMillis) * time.Millisecond
	weight := 1.0
	if from != fromSelf {
		weight = 1 / float64(max(k.most.now, k.most.before, 1))
	}
	targetFails := s.estimator.FailsAtOnce(now, e.Target)
	before, after, c = s.estimator.ObserveRested(now, e.Target, s.reuse.stale(idle))
	s.reuse.broke(now, idle, targetFails, weight)
	k.target(e.Target).reuse.after(now, idle)
	return before, after, c
}

// Rested records that a connection to the service carried an exchange after it was idle.
func (k *Knowledge) Rested(now time.Time, name document.ServiceName, idle time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).reuse.served(now, idle)
}

// Spend takes an attempt out of the service's retry budget, if there is one.
func (k *Knowledge) Spend(now time.Time, name document.ServiceName, v mesh.View, urgent bool) (left float64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.fleet(now, name, v)
	b := k.service(name).budget
	left = b.Left(now, f)
	return left, b.Spend(now, f, urgent)
}

func (k *Knowledge) fleet(now time.Time, name document.ServiceName, v mesh.View) pooled.Fleet {
	f := pooled.Fleet{Instances: k.most.note(now, v.Instances()), Complete: v.Complete() && !k.fresh(now)}
	k.addMembers(&f, name, v)
	for _, z := range k.zones {
		f.Requests += z.claims[name].Requests
		f.Claimed += z.claims[name].Claimed
	}
	return f
}

// fresh tells whether the instance cannot know yet what the others spent.
func (k *Knowledge) fresh(now time.Time) bool {
	return !k.born.IsZero() && now.Sub(k.born) < accountAfter
}

// Durations sums up how long good attempts at the service take.
func (k *Knowledge) Durations(name document.ServiceName) bounds {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).latency.known()
}

// Utilization is the part of the targets' slots that all instances have in use.
func (k *Knowledge) Utilization(ts []*registry.Target) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	used, slots := 0, 0
	for _, t := range ts {
		x := k.target(t.ID)
		used += x.own + x.others
		slots += t.Slots
	}
	return float64(used) / float64(max(slots, 1))
}

// Tick drops what is old.
func (k *Knowledge) Tick(now time.Time, inUse func(fleet.TargetID) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for addr, p := range k.peers {
		if now.Sub(p.heard) > peerLoadFor {
			k.dropLoad(p)
		}
		if now.Sub(p.heard) > 2*k.retry.Window {
			delete(k.peers, addr)
		}
	}
	k.ended = slices.DeleteFunc(k.ended, func(e endedUsage) bool { return now.After(e.until) })
	for name, z := range k.zones {
		if now.Sub(z.heard) > peerLoadFor {
			k.dropLoad(&z.peer)
		}
		if now.Sub(z.heard) > 2*k.retry.Window {
			delete(k.zones, name)
		}
	}
	for id, t := range k.targets {
		if !inUse(id) && t.own == 0 && t.others == 0 {
			delete(k.targets, id)
		}
	}
	for _, s := range k.services {
		s.estimator.Forget(inUse)
	}
}

// Suspects is how many targets of each service count as sick.
func (k *Knowledge) Suspects() map[document.ServiceName]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := make(map[document.ServiceName]int, len(k.services))
	for name, s := range k.services {
		n[name] = s.estimator.Suspects()
	}
	return n
}

// pastMost remembers the largest number of instances of the last while: those
// that are silent may still be spending.
type pastMost struct {
	now, before int
	since       time.Time
}

// mostWindow is half of the time for which a number is remembered.
const mostWindow = 15 * time.Second

func (m *pastMost) note(now time.Time, n int) int {
	if now.Sub(m.since) > mostWindow {
		m.before, m.now, m.since = m.now, 0, now
	}
	m.now = max(m.now, n)
	return max(m.now, m.before)
}
