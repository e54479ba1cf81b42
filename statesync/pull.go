package statesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// pullJitter spreads the pulls of all instances after a change.
	pullJitter = 30 * time.Millisecond
	// pullAgain is the pause after a pull that failed. The path to one peer may be cut,
	// and in a large fleet the next news that tells of a newer state may be a second away.
	pullAgain = 50 * time.Millisecond
)

// pull fetches the state of peers that are ahead.
func (f *Follower) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.ahead:
		}
		wait.For(ctx, rand.N(pullJitter))
		for !f.pullOnce(ctx) && wait.For(ctx, pullAgain) {
			// Until a peer has answered, or none is ahead.
		}
	}
}

// pullOnce fetches the state of the peer that is furthest ahead. It tells false if that
// failed, and true if there is none.
func (f *Follower) pullOnce(ctx context.Context) bool {
	version, position := f.o.State.Versions()
	r := request{document: version, registry: position, all: f.o.State.asksPeers()}
	best := f.best(f.o.Peers())
	if best == nil || !r.wants(best) {
		return true
	}
	began := time.Now()
	w, err := f.puller.pull(ctx, best.Addr, r)
	if err != nil {
		eventlog.Error(eventlog.PullFailed, err, "peer", best.Addr, "document", version, "theirs", best.Document, "epoch", position.Epoch, "registry", position.Offset,
			"their_epoch", best.Registry.Epoch, "their_registry", best.Registry.Offset, "behind_ms", f.o.State.behind().Milliseconds(), "took_ms", time.Since(began).Milliseconds())
		return false
	}
	f.o.State.applyWhole(w, best.Addr, r.all)
	return true
}

// wants tells whether a peer may have what is asked for.
func (r *request) wants(m *mesh.Member) bool {
	if r.all && m.Registry != (registry.Position{}) {
		return true
	}
	return m.Document > r.document || m.Registry.After(r.registry)
}

// best is the peer that is furthest ahead: one of the own zone before others, and
// any of the equals.
func (f *Follower) best(v mesh.View) *mesh.Member {
	var best *mesh.Member
	ties := 1
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) {
			continue
		}
		switch c := f.compare(m, best); {
		case c > 0:
			best, ties = m, 1
		case c == 0:
			ties++
			if rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

func (f *Follower) compare(a, b *mesh.Member) int {
	if b == nil {
		return 1
	}
	switch {
	case a.Document != b.Document:
		return sign(a.Document > b.Document)
	case a.Registry != b.Registry:
		return a.Registry.Compare(b.Registry)
	case (a.Zone == f.o.Zone) != (b.Zone == f.o.Zone):
		return sign(a.Zone == f.o.Zone)
	}
	return 0
}

func sign(more bool) int {
	if more {
		return 1
	}
	return -1
}
