package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/suspicion"
)

const (
	// mostSuccesses bounds the successes at one target that are taken from a
	// digest.
	mostSuccesses = 20
	// digestEntries bounds the targets in each list of a digest, so that it stays
	// within a datagram of about 1.5 KB. Those left out take their turn.
	digestEntries = 28
)

// zone is what another zone's bridges told of all its instances.
type zone struct {
	peer
}

// takeDigest takes in what another zone does.
func (k *Knowledge) takeDigest(now time.Time, name fleet.Zone, d *mesh.Digest) {
	z := k.zones[name]
	if z == nil {
		z = &zone{peer: peer{load: make(map[fleet.TargetID]int)}}
		k.zones[name] = z
	}
	k.dropLoad(&z.peer)
	// What a digest leaves out takes its turn, so that each entry may be a request that
	// has just begun.
	z.takeLoad(now, k, d.Load, nil)
	z.heard = now
	for _, g := range d.Successes {
		began := now.Add(-millis(g.AgeMillis))
		for range min(g.Count, mostSuccesses) {
			k.observe(now, mesh.Evidence{Service: g.Service, Target: g.Target, Observation: suspicion.Success}, began, string(name))
		}
	}
}

// Digest sums up the own zone, of which v is the view, with its successes if this
// instance is the one to tell of them.
func (k *Knowledge) Digest(now time.Time, v mesh.View, successes bool) *mesh.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := &mesh.Digest{Instances: v.ZoneInstances()}
	for id, t := range k.targets {
		n := t.own + t.others
		for _, z := range k.zones {
			n -= z.load[id]
		}
		if n > 0 && len(d.Load) < digestEntries {
			d.Load = append(d.Load, mesh.Load{Target: id, InFlight: n})
		}
		if !successes {
			t.successes = 0
			continue
		}
		if t.successes > 0 && len(d.Successes) < digestEntries {
			t.successes = min(t.successes, mostSuccesses)
			d.Successes = append(d.Successes, mesh.Successes{Service: t.service, Target: id, Count: t.successes, AgeMillis: now.Sub(t.began).Milliseconds()})
			t.successes = 0
		}
	}
	return d
}
