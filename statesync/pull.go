package statesync

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	// pullHedgeDelay is the time after which one more query is made in parallel with those that have
	// no response, up to maxPullQueries in total: paths may drop packets silently and connections
	// may have gone silent, and a change must take effect within seconds.
	pullHedgeDelay = 100 * time.Millisecond
	maxPullQueries = 4
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

// pullOnce fetches the state of the most advanced peer. If it does not respond soon, others are
// queried too, and it again if no other peer is ahead, on new connections. pullOnce returns false if
// no query succeeded, and true if one did or no peer is ahead.
func (f *Follower) pullOnce(ctx context.Context) bool {
	version, position := f.opts.State.Versions()
	r := pullRequest{document: version, registry: position, full: f.opts.State.needsPeerState()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan bool, maxPullQueries)
	client := f.puller.kept
	var queried []string
	for running := 0; ; {
		if best := f.nextPeer(r, queried); best != nil && len(queried) < maxPullQueries {
			queried = append(queried, best.Addr)
			if running > 0 {
				eventlog.Info(eventlog.PullHedged, "queried", len(queried), "peer", best.Addr, "pending", running, "document", version, "registry", position.Offset,
					"behind_ms", f.opts.State.lag().Milliseconds())
			}
			running++
			go func(c *http.Client) { done <- f.pullFrom(ctx, c, best, r) }(client)
			client = f.puller.fresh
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

// nextPeer returns the peer to query after the given ones: the most advanced other one or, if none
// has newer state, the first one again. It returns nil if no peer is ahead, or if the first one was
// queried again already.
func (f *Follower) nextPeer(r pullRequest, queried []string) *mesh.Member {
	v := f.opts.Peers()
	if best := f.mostAdvancedPeer(v, queried); best != nil && r.mayBeServedBy(best) {
		return best
	}
	if len(queried) == 0 || slices.Contains(queried[1:], queried[0]) {
		return nil
	}
	for i := range v.Members {
		if m := &v.Members[i]; m.Addr == queried[0] && m.Fresh(v.At) {
			return m
		}
	}
	return nil
}

// pullFrom fetches and applies the state of a peer, and reports whether that succeeded.
func (f *Follower) pullFrom(ctx context.Context, c *http.Client, m *mesh.Member, r pullRequest) bool {
	began := time.Now()
	w, err := pull(ctx, c, m.Addr, r)
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
