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
	// pullRetryDelay is the pause after a failed pull. The path to one peer may be broken, and in
	// a large fleet the next packet that announces newer state may be a second away.
	pullRetryDelay = 50 * time.Millisecond
	// pullHedgeDelay is the time after which one more peer is queried in parallel with those that
	// have not responded, up to maxPullPeers in total: their paths may drop packets silently, and
	// a change must take effect within seconds.
	pullHedgeDelay = 100 * time.Millisecond
	maxPullPeers   = 4
)

// pullLoop fetches the state of peers that are ahead until ctx is done.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.peerAhead:
		}
		wait.For(ctx, rand.N(pullJitter))
		for !f.pullOnce(ctx) && wait.For(ctx, pullRetryDelay) {
			// Retry until a peer has responded or none is ahead.
		}
	}
}

// pullOnce fetches the state of the most advanced peer, and of others if it does not respond soon.
// It returns false if none responded, and true if one did or no peer is ahead.
func (f *Follower) pullOnce(ctx context.Context) bool {
	version, position := f.opts.State.Versions()
	r := pullRequest{document: version, registry: position, full: f.opts.State.needsPeerState()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan bool, maxPullPeers)
	var queried []string
	for running := 0; ; {
		if best := f.mostAdvancedPeer(f.opts.Peers(), queried); len(queried) < maxPullPeers && best != nil && r.mayBeServedBy(best) {
			queried = append(queried, best.Addr)
			running++
			go func() { done <- f.pullFrom(ctx, best, r) }()
		}
		if running == 0 {
			return len(queried) == 0
		}
		select {
		case ok := <-done:
			running--
			if ok {
				return true
			}
		case <-time.After(pullHedgeDelay):
		}
	}
}

// pullFrom fetches and applies the state of a peer, and reports whether that succeeded.
func (f *Follower) pullFrom(ctx context.Context, m *mesh.Member, r pullRequest) bool {
	began := time.Now()
	w, err := f.puller.pull(ctx, m.Addr, r)
	if ctx.Err() != nil {
		return false // another peer has responded, or the instance is stopping
	}
	if err != nil {
		eventlog.Error(eventlog.PullFailed, err, "peer", m.Addr, "document", r.document, "theirs", m.Document, "epoch", r.registry.Epoch, "registry", r.registry.Offset,
			"their_epoch", m.Registry.Epoch, "their_registry", m.Registry.Offset, "behind_ms", f.opts.State.lag().Milliseconds(), "took_ms", time.Since(began).Milliseconds())
		return false
	}
	f.opts.State.applyPeerSnapshot(w, m.Addr, r.full)
	f.cancelSupersededReads()
	return true
}

// mayBeServedBy reports whether a peer may have newer state than the requester.
func (r *pullRequest) mayBeServedBy(m *mesh.Member) bool {
	if r.full && m.Registry != (registry.Position{}) {
		return true
	}
	return m.Document > r.document || m.Registry.After(r.registry)
}

// mostAdvancedPeer returns the peer with the newest state, or nil. Among equals, peers of the own
// zone come first, then the choice is random. Peers in queried are skipped.
func (f *Follower) mostAdvancedPeer(v mesh.View, queried []string) *mesh.Member {
	var best *mesh.Member
	ties := 1
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) || slices.Contains(queried, m.Addr) {
			continue
		}
		switch c := f.comparePeers(m, best); {
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

// comparePeers returns a positive number if a is the better peer to pull from, a negative one if b
// is, and 0 if they are equal. b may be nil.
func (f *Follower) comparePeers(a, b *mesh.Member) int {
	if b == nil {
		return 1
	}
	switch {
	case a.Document != b.Document:
		return sign(a.Document > b.Document)
	case a.Registry != b.Registry:
		return a.Registry.Compare(b.Registry)
	case (a.Zone == f.opts.Zone) != (b.Zone == f.opts.Zone):
		return sign(a.Zone == f.opts.Zone)
	}
	return 0
}

func sign(more bool) int {
	if more {
		return 1
	}
	return -1
}
