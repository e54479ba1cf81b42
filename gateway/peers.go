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

// peer is what another instance of the zone told.
type peer struct {
	boot  int64
	heard time.Time
	load  map[fleet.TargetID]int
}

// gathered is an observation that was not told yet.
type gathered struct {
	mesh.Evidence
	began time.Time
}

// tally counts a success of the own zone, for its digest.
func (k *Knowledge) tally(e mesh.Evidence, began time.Time) {
	if e.Observation != suspicion.Success {
		return
	}
	t := k.target(e.Target)
	t.successes++
	t.service = e.Service
	if began.After(t.began) {
		t.began = began
	}
}

// arrived tells whether the observation means that a request reached the target.
func arrived(o suspicion.Observation) bool {
	switch o {
	case suspicion.Unreachable, suspicion.ConnRefused, suspicion.WrongTarget:
		return false
	}
	return true
}

// Take takes in a packet of another instance.
func (k *Knowledge) Take(now time.Time, p *mesh.Packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.Digest != nil {
		k.takeDigest(now, p.Zone, p.Digest)
	}
	k.adopt(now, p.Estimates, p.Addr)
	k.applyPeerBackoffs(now, p.Backoffs)
	for _, e := range p.Evidence {
		began := now.Add(-millis(e.AgeMillis))
		k.observe(now, e, began, p.Addr)
		if p.Zone == k.chooser.Zone {
			k.tally(e, began)
		}
	}
	if p.Zone != k.chooser.Zone {
		return // its load is in its zone's digest
	}
	pr := k.peers[p.Addr]
	if pr == nil || pr.boot != p.Boot {
		k.dropLoad(pr)
		pr = &peer{boot: p.Boot, load: make(map[fleet.TargetID]int)}
		k.peers[p.Addr] = pr
	}
	pr.heard = now
	known := pr.load
	if p.Heartbeat {
		known = maps.Clone(pr.load)
		k.dropLoad(pr)
	}
	pr.takeLoad(now, k, p.Load, known)
	k.applyLoans(now, p.Loans)
}

// takeLoad takes in the peer's load at some targets. Where it is higher than what was known
// before, a request has begun there.
func (pr *peer) takeLoad(now time.Time, k *Knowledge, loads []mesh.Load, known map[fleet.TargetID]int) {
	for _, l := range loads {
		t := k.target(l.Target)
		if l.InFlight > known[l.Target] {
			t.arrived(now)
		}
		t.others += l.InFlight - pr.load[l.Target]
		pr.load[l.Target] = l.InFlight
	}
}

func (k *Knowledge) dropLoad(p *peer) {
	if p == nil {
		return
	}
	for id, n := range p.load {
		k.target(id).others -= n
	}
	clear(p.load)
}

// Fill completes a heartbeat.
func (k *Knowledge) Fill(now time.Time, p *mesh.Packet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, t := range k.targets {
		if t.own > 0 {
			p.Load = append(p.Load, mesh.Load{Target: id, InFlight: t.own})
		}
	}
	p.Evidence = k.takePending(now)
	p.Instances = k.census.own(now)
}

// beliefEntries bounds the beliefs of a greeting, so that it stays within a datagram of
// about 1.4 KB beside the names of other instances.
const beliefEntries = 24

// beliefAge is for how long after a target has started again a peer may still tell of the
// earlier process: as long as a change may take to be in force everywhere.
const beliefAge = 2 * time.Second

// permille is the unit in which beliefs are told.
const permille = 1000

// Beliefs are what the instance believes of targets: first of those that are likely
// sick, for a fresh instance would lose a request at each, then of some others.
func (k *Knowledge) Beliefs(now time.Time) []mesh.Estimate {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []mesh.Estimate
	for name, s := range k.services {
		s.estimator.Each(now, func(id fleet.TargetID, sick float64) {
			all = append(all, mesh.Estimate{Service: name, Target: id, Permille: int(permille * sick)})
		})
	}
	slices.SortFunc(all, func(a, b mesh.Estimate) int { return b.Permille - a.Permille })
	return all[:min(len(all), beliefEntries)]
}

// adopt takes over what another instance believes of targets of which this one knows
// nothing.
func (k *Knowledge) adopt(now time.Time, bs []mesh.Estimate, from string) {
	for _, b := range bs {
		if k.ofEarlierProcess(b.Target, now.Add(-beliefAge)) {
			continue
		}
		sick := float64(b.Permille) / permille
		if k.service(b.Service).estimator.Adopt(now, b.Target, sick) && sick >= suspicion.SuspectThreshold {
			eventlog.Info(eventlog.TargetSuspected, "target", b.Target, "service", b.Service, "by", from, "evidence", "belief", "sick", eventlog.Share(sick))
		}
	}
}

// News returns what cannot wait for the next heartbeat.
func (k *Knowledge) News(now time.Time, id fleet.TargetID) mesh.Packet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return mesh.Packet{
		Evidence: k.takePending(now),
		Load:     []mesh.Load{{Target: id, InFlight: k.target(id).own}},
	}
}

func (k *Knowledge) takePending(now time.Time) []mesh.Evidence {
	told := make([]mesh.Evidence, 0, len(k.pending))
	for _, g := range k.pending {
		g.AgeMillis = now.Sub(g.began).Milliseconds()
		told = append(told, g.Evidence)
	}
	k.pending = k.pending[:0]
	return told
}
