package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/suspicion"
)

const (
	// maxSuccesses limits the successes of one target accepted from a digest.
	maxSuccesses = 20
	// maxDigestEntries limits the targets in each list of a digest so that it fits in a datagram
	// of about 1.5 KB. Targets left out are included in later digests.
	maxDigestEntries = 28
)

// zone is the state of another zone as reported by its bridges, the instances that exchange
// digests between zones.
type zone struct {
	peer
}

// applyDigest records the digest of another zone.
func (k *Knowledge) applyDigest(now time.Time, name fleet.Zone, d *mesh.Digest) {
	z := k.zones[name]
	if z == nil {
		z = &zone{peer: peer{load: make(map[fleet.TargetID]int)}}
		k.zones[name] = z
	}
	k.dropLoad(&z.peer)
	// A digest covers only some targets at a time, so each entry may be a new request.
	z.applyLoad(now, k, d.Load, nil)
	z.lastReceived = now
	for _, g := range d.Successes {
		began := now.Add(-millis(g.AgeMillis))
		for range min(g.Count, maxSuccesses) {
			k.observe(now, mesh.Evidence{Service: g.Service, Target: g.Target, Observation: suspicion.Success}, began, string(name))
		}
	}
}

// Digest summarizes this zone, whose view is v. It includes successes only if this instance is
// the one that reports them; otherwise it discards them.
func (k *Knowledge) Digest(now time.Time, v mesh.View, successes bool) *mesh.Digest {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := &mesh.Digest{Instances: v.ZoneInstances()}
	for id, t := range k.targets {
		n := t.ownInFlight + t.peerInFlight
		for _, z := range k.zones {
			n -= z.load[id]
		}
		if n > 0 && len(d.Load) < maxDigestEntries {
			d.Load = append(d.Load, mesh.Load{Target: id, InFlight: n})
		}
		if !successes {
			t.unreportedSuccesses = 0
			continue
		}
		if t.unreportedSuccesses > 0 && len(d.Successes) < maxDigestEntries {
			t.unreportedSuccesses = min(t.unreportedSuccesses, maxSuccesses)
			d.Successes = append(d.Successes, mesh.Successes{Service: t.service, Target: id, Count: t.unreportedSuccesses, AgeMillis: now.Sub(t.lastSuccessBegan).Milliseconds()})
			t.unreportedSuccesses = 0
		}
	}
	return d
}
