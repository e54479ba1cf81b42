package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/suspicion"
)

// peer is the state reported by another instance of the zone.
type peer struct {
	boot         int64
	lastReceived time.Time
	load         map[fleet.TargetID]int
}

// pendingEvidence is an observation that has not been sent to other instances.
type pendingEvidence struct {
	mesh.Evidence
	began time.Time
}

// countSuccess counts a success of this zone for its digest.
func (k *Knowledge) countSuccess(e mesh.Evidence, began time.Time) {
	if e.Observation != suspicion.Success {
		return
	}
	t := k.target(e.Target)
	t.unreportedSuccesses++
	t.service = e.Service
	if began.After(t.lastSuccessBegan) {
		t.lastSuccessBegan = began
	}
}

// reachedTarget reports whether the observation implies that a request reached the target.
func reachedTarget(o suspicion.Observation) bool {
	switch o {
	case suspicion.Unreachable, suspicion.ConnRefused, suspicion.WrongTarget:
		return false
	}
	return true
}

// HandlePacket applies a packet of another instance.
func (k *Knowledge) HandlePacket(now time.Time, p *mesh.Packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.Digest != nil {
		k.applyDigest(now, p.Zone, p.Digest)
	}
	k.adoptEstimates(now, p.Estimates, p.Addr)
	k.applyPeerBackoffs(now, p.Backoffs)
	for _, e := range p.Evidence {
		began := now.Add(-millis(e.AgeMillis))
		k.observe(now, e, began, p.Addr)
		if p.Zone == k.chooser.Zone {
			k.countSuccess(e, began)
		}
	}
	if p.Zone != k.chooser.Zone {
		return // the zone's digest carries its load
	}
	pr := k.peers[p.Addr]
	if pr == nil || pr.boot != p.Boot {
		k.dropLoad(pr)
		pr = &peer{boot: p.Boot, load: make(map[fleet.TargetID]int)}
		k.peers[p.Addr] = pr
	}
	pr.lastReceived = now
	known := pr.load
	if p.Heartbeat {
		known = maps.Clone(pr.load)
		k.dropLoad(pr)
	}
	pr.applyLoad(now, k, p.Load, known)
	k.applyLoans(now, p.Loans)
}

// applyLoad records the peer's load at some targets. Where it is higher than known, a request has
// begun.
func (pr *peer) applyLoad(now time.Time, k *Knowledge, loads []mesh.Load, known map[fleet.TargetID]int) {
	for _, l := range loads {
		t := k.target(l.Target)
		if l.InFlight > known[l.Target] {
			t.recordArrival(now)
		}
		t.peerInFlight += l.InFlight - pr.load[l.Target]
		pr.load[l.Target] = l.InFlight
	}
}

func (k *Knowledge) dropLoad(p *peer) {
	if p == nil {
		return
	}
	for id, n := range p.load {
		k.target(id).peerInFlight -= n
	}
	clear(p.load)
}

// FillHeartbeat adds load, evidence and the instance count to a heartbeat.
func (k *Knowledge) FillHeartbeat(now time.Time, p *mesh.Packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, t := range k.targets {
		if t.ownInFlight > 0 {
			p.Load = append(p.Load, mesh.Load{Target: id, InFlight: t.ownInFlight})
		}
	}
	p.Evidence = k.drainPending(now)
	p.Instances = k.instanceCount.ownCount(now)
}

// maxGreetingEstimates limits the health estimates in a greeting so that it fits in a datagram of
// about 1.4 KB together with the addresses of other instances.
const maxGreetingEstimates = 24

// maxEstimateLag is how long after a restart a peer may still send estimates of the earlier
// process: the longest time a change takes to propagate.
const maxEstimateLag = 2 * time.Second

// permille is the unit of health estimates and loans in packets.
const permille = 1000

// HealthEstimates returns the estimates to send to a new instance, at most maxGreetingEstimates.
// The targets most likely unhealthy come first, since the new instance would lose a request at
// each.
func (k *Knowledge) HealthEstimates(now time.Time) []mesh.Estimate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []mesh.Estimate
	for name, s := range k.services {
		s.estimator.Each(now, func(id fleet.TargetID, sick float64) {
			all = append(all, mesh.Estimate{Service: name, Target: id, Permille: int(permille * sick)})
		})
	}
	slices.SortFunc(all, func(a, b mesh.Estimate) int { return b.Permille - a.Permille })
	return all[:min(len(all), maxGreetingEstimates)]
}

// adoptEstimates takes another instance's health estimates for targets that this instance has not
// observed.
func (k *Knowledge) adoptEstimates(now time.Time, bs []mesh.Estimate, from string) {
	for _, b := range bs {
		if k.predatesRestart(b.Target, now.Add(-maxEstimateLag)) {
			continue
		}
		sick := float64(b.Permille) / permille
		if k.service(b.Service).estimator.Adopt(now, b.Target, sick) && sick >= suspicion.SuspectThreshold {
			eventlog.Info(eventlog.TargetSuspected, "target", b.Target, "service", b.Service, "by", from, "evidence", "belief", "sick", eventlog.Fraction(sick))
		}
	}
}

// UrgentUpdate returns the updates that cannot wait for the next heartbeat.
func (k *Knowledge) UrgentUpdate(now time.Time, id fleet.TargetID) mesh.Packet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return mesh.Packet{
		Evidence: k.drainPending(now),
		Load:     []mesh.Load{{Target: id, InFlight: k.target(id).ownInFlight}},
	}
}

func (k *Knowledge) drainPending(now time.Time) []mesh.Evidence {
	evidence := make([]mesh.Evidence, 0, len(k.pending))
	for _, p := range k.pending {
		p.AgeMillis = now.Sub(p.began).Milliseconds()
		evidence = append(evidence, p.Evidence)
	}
	k.pending = k.pending[:0]
	return evidence
}
