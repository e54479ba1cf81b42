package statesync

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// pullPatience is the time after which another peer is asked beside those that do not
	// answer, pullMost peers in all: their paths may be cut in silence, and a change must be in
	// force within seconds.
	pullPatience = 100 * time.Millisecond
	pullMost     = 4
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

// pullOnce fetches the state of the peer that is furthest ahead, and of others if it does not
// answer soon. It tells false if none did, and true if no peer is ahead.
func (f *Follower) pullOnce(ctx context.Context) bool {
	version, position := f.o.State.Versions()
	r := request{document: version, registry: position, all: f.o.State.needsPeerState()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan bool, pullMost)
	var asked []string
	for running := 0; ; {
		if best := f.best(f.o.Peers(), asked); len(asked) < pullMost && best != nil && r.wants(best) {
			asked = append(asked, best.Addr)
			running++
			go func() { done <- f.pullFrom(ctx, best, r) }()
		}
		if running == 0 {
			return len(asked) == 0
		}
		select {
		case ok := <-done:
			running--
			if ok {
				return true
			}
		case <-time.After(pullPatience):
		}
	}
}

// pullFrom fetches the state of a peer, and tells whether that succeeded.
func (f *Follower) pullFrom(ctx context.Context, m *mesh.Member, r request) bool {
	began := time.Now()
	w, err := f.puller.pull(ctx, m.Addr, r)
	if ctx.Err() != nil {
		return false // another peer has answered, or the instance stops
	}
	if err != nil {
		eventlog.Error(eventlog.PullFailed, err, "peer", m.Addr, "document", r.document, "theirs", m.Document, "epoch", r.registry.Epoch, "registry", r.registry.Offset,
			"their_epoch", m.Registry.Epoch, "their_registry", m.Registry.Offset, "behind_ms", f.o.State.lag().Milliseconds(), "took_ms", time.Since(began).Milliseconds())
		return false
	}
	f.o.State.applyWhole(w, m.Addr, r.all)
	f.overtaken()
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
// any of the equals. Those that were asked already are left out.
func (f *Follower) best(v mesh.View, asked []string) *mesh.Member {
	var best *mesh.Member
	ties := 1
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) || slices.Contains(asked, m.Addr) {
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
