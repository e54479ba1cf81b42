package statesync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// pullJitter spreads the pulls of all instances after a change.
	pullJitter = 30 * time.Millisecond
	// pullRetryDelay is the pause after a failed pull. The path to one peer may be broken, and in
	// a large fleet the next packet that announces newer state may be a second away.
	pullRetryDelay = 50 * time.Millisecond
	// pullHedgeDelay is the time after which one more query is made in parallel with those of which
	// nothing has arrived, up to maxPullQueries in total: paths may drop packets silently and
	// connections may have gone silent, and a change must take effect within seconds.
	pullHedgeDelay = 100 * time.Millisecond
	maxPullQueries = 4
)

// pullKind is a part of the state that is pulled by itself. A big document thus does not delay news of
// targets.
type pullKind struct {
	name string
	// notify is signaled when a peer has newer state of any kind.
	notify chan struct{}
	// ahead reports whether the peer may have newer state of this kind than the requester.
	ahead func(r *pullRequest, m *mesh.Member) bool
	// compare returns a positive number if a's state of this kind is newer than b's.
	compare func(a, b *mesh.Member) int
	// fetch fetches and applies the peer's state.
	fetch func(ctx context.Context, c *http.Client, m *mesh.Member, r pullRequest) error
}

func (f *Follower) newPullKinds() []*pullKind {
	return []*pullKind{
		{name: Documents.String(), notify: make(chan struct{}, 1), ahead: hasNewerDocument, compare: compareDocuments, fetch: f.fetchDocument},
		{name: Targets.String(), notify: make(chan struct{}, 1), ahead: mayHaveNewerTargets, compare: compareTargets, fetch: f.fetchTargets},
	}
}

func hasNewerDocument(r *pullRequest, m *mesh.Member) bool { return m.Document > r.document }

func mayHaveNewerTargets(r *pullRequest, m *mesh.Member) bool {
	return r.full && m.Registry != (registry.Position{}) || m.Registry.After(r.registry)
}

func compareDocuments(a, b *mesh.Member) int {
	if a.Document == b.Document {
		return 0
	}
	return sign(a.Document > b.Document)
}

func compareTargets(a, b *mesh.Member) int { return a.Registry.Compare(b.Registry) }

// fetchDocument fetches and applies the peer's document.
func (f *Follower) fetchDocument(ctx context.Context, c *http.Client, m *mesh.Member, r pullRequest) error {
	t, err := pullDocument(ctx, c, m.Addr, r)
	switch {
	case errors.Is(err, errNoDocumentPath):
		r.targetsOnly = false
		return f.fetchState(ctx, c, m, r)
	case err != nil || t == nil:
		return err
	}
	return f.opts.State.applyDocumentTransfer(t, m.Addr)
}

// fetchTargets fetches and applies the peer's targets.
func (f *Follower) fetchTargets(ctx context.Context, c *http.Client, m *mesh.Member, r pullRequest) error {
	r.targetsOnly = true
	return f.fetchState(ctx, c, m, r)
}

func (f *Follower) fetchState(ctx context.Context, c *http.Client, m *mesh.Member, r pullRequest) error {
	w, err := pull(ctx, c, m.Addr, r)
	if err == nil {
		f.opts.State.applyPeerSnapshot(w, m.Addr, r.full)
	}
	return err
}

// pullOutcome is the outcome of a pull from one or more peers.
type pullOutcome uint8

const (
	// pullDone means that a peer has responded, or that none is ahead.
	pullDone pullOutcome = iota
	pullFailed
	// pullDeclined means that the peers that were asked send to too many others.
	pullDeclined
)

// pullLoop fetches the state of peers that are ahead until ctx is done.
func (f *Follower) pullLoop(ctx context.Context, k *pullKind) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.notify:
		}
		wait.For(ctx, rand.N(pullJitter))
		for {
			outcome, retryAfter := f.pullOnce(ctx, k)
			if outcome == pullDone || !wait.For(ctx, f.pullPause(k, outcome, retryAfter)) {
				break
			}
		}
	}
}

// pullPause returns the pause before the next pull. After a peer has declined, it is a random part of
// the time after which that one may be asked again. It is shorter where few instances are left that
// lack the state: each of those that have it meanwhile can send it too.
func (f *Follower) pullPause(k *pullKind, outcome pullOutcome, retryAfter time.Duration) time.Duration {
	if outcome != pullDeclined {
		return pullRetryDelay
	}
	r := f.pullRequest()
	sources, behind := 0, 1
	v := f.opts.Peers()
	for i := range v.Members {
		m := &v.Members[i]
		switch {
		case m.Zone != f.opts.Zone || !m.Fresh(v.At):
		case k.ahead(&r, m):
			sources++
		default:
			behind++
		}
	}
	const askersPerSource = 4 // waiting instances that ask each source in the time that it names
	share := min(1, float64(behind)/float64(askersPerSource*max(sources, 1)))
	longest := time.Duration(share * float64(retryAfter))
	return longest/2 + rand.N(longest/2+1)
}

// pullRequest returns the request for all that is newer than the current state.
func (f *Follower) pullRequest() pullRequest {
	version, position := f.opts.State.Versions()
	return pullRequest{document: version, registry: position, full: f.opts.State.needsPeerState()}
}

// pullQuery is a query of one peer that is under way.
type pullQuery struct {
	peer  *mesh.Member
	watch *transfer.Watch
	err   error
}

// pullRace is a pull from the peer with the newest state. While nothing has arrived, others are queried
// too, and it again if no other peer is ahead, on new connections. Once something arrives, the other
// queries end.
type pullRace struct {
	f       *Follower
	kind    *pullKind
	request pullRequest
	// queried are the addresses of the peers that were queried.
	queried []string
	running map[*pullQuery]bool
	// receiving is the query of which something has arrived; nil if there is none.
	receiving *pullQuery
	// begun receives the queries of which something has arrived, done those that have ended.
	begun, done chan *pullQuery
}

// pullOnce fetches the state of the most advanced peer. If a peer has declined, pullOnce also returns
// the time after which it may be asked again.
func (f *Follower) pullOnce(ctx context.Context, k *pullKind) (pullOutcome, time.Duration) {
	p := &pullRace{
		f: f, kind: k, request: f.pullRequest(), running: make(map[*pullQuery]bool),
		begun: make(chan *pullQuery, maxPullQueries), done: make(chan *pullQuery, maxPullQueries),
	}
	defer p.stopAllBut(nil)
	for {
		p.queryNext(ctx)
		switch {
		case len(p.running) == 0 && len(p.queried) == 0:
			return pullDone, 0
		case len(p.running) == 0:
			return pullFailed, 0
		}
		select {
		case q := <-p.begun:
			if p.receiving == nil {
				p.receiving = q
				p.stopAllBut(q)
			}
		case q := <-p.done:
			p.end(q)
			declined := new(declinedError)
			switch {
			case q.err == nil:
				f.cancelSupersededReads()
				return pullDone, 0
			case errors.As(q.err, &declined) && p.receiving == nil:
				return pullDeclined, declined.after
			}
		case <-time.After(pullHedgeDelay):
		}
	}
}

// queryNext queries one more peer, unless something is arriving or there is no other to query.
func (p *pullRace) queryNext(ctx context.Context) {
	if p.receiving != nil || len(p.queried) >= maxPullQueries {
		return
	}
	peer := p.f.nextPeer(p.kind, p.request, p.queried)
	if peer == nil {
		return
	}
	client := p.f.puller.fresh
	if len(p.queried) == 0 {
		client = p.f.puller.kept
	}
	p.queried = append(p.queried, peer.Addr)
	if len(p.running) > 0 {
		eventlog.Info(eventlog.PullHedged, "kind", p.kind.name, "queried", len(p.queried), "peer", peer.Addr, "pending", len(p.running), "document", p.request.document, "registry", p.request.registry.Offset,
			"behind_ms", p.f.opts.State.Lag().Milliseconds())
	}
	p.start(ctx, client, peer)
}

// start starts a query.
func (p *pullRace) start(ctx context.Context, c *http.Client, m *mesh.Member) {
	watch, ctx := transfer.NewWatch(ctx, pullTimeout, stallTimeout)
	q := &pullQuery{peer: m, watch: watch}
	p.running[q] = true
	ended := make(chan struct{})
	go func() {
		select {
		case <-watch.Begun():
			p.begun <- q
		case <-ended:
		}
	}()
	go func() {
		defer close(ended)
		began := time.Now()
		q.err = p.kind.fetch(ctx, c, m, p.request)
		if cause := context.Cause(ctx); cause != nil {
			q.err = cause
		}
		p.f.logPull(p.kind, q, p.request, time.Since(began))
		p.done <- q
	}()
}

// end removes a query that has ended.
func (p *pullRace) end(q *pullQuery) {
	q.watch.Stop()
	delete(p.running, q)
	if q == p.receiving {
		p.receiving = nil
	}
}

// stopAllBut ends all queries but one.
func (p *pullRace) stopAllBut(one *pullQuery) {
	for q := range p.running {
		if q != one {
			q.watch.Stop()
		}
	}
}

// logPull logs a query that failed, unless another peer has responded or the instance is stopping.
func (f *Follower) logPull(k *pullKind, q *pullQuery, r pullRequest, took time.Duration) {
	if q.err == nil || errors.Is(q.err, context.Canceled) {
		return
	}
	event, declined := eventlog.PullFailed, new(declinedError)
	if errors.As(q.err, &declined) {
		event = eventlog.PullDeclined
	}
	m := q.peer
	eventlog.Error(event, q.err, "kind", k.name, "peer", m.Addr, "document", r.document, "theirs", m.Document, "epoch", r.registry.Epoch, "registry", r.registry.Offset,
		"their_epoch", m.Registry.Epoch, "their_registry", m.Registry.Offset, "behind_ms", f.opts.State.Lag().Milliseconds(), "took_ms", took.Milliseconds())
}

// nextPeer returns the peer to query after the given ones: the most advanced other one or, if none
// has newer state, the first one again. It returns nil if no peer is ahead, or if the first one was
// queried again already.
func (f *Follower) nextPeer(k *pullKind, r pullRequest, queried []string) *mesh.Member {
	v := f.opts.Peers()
	if best := f.mostAdvancedPeer(k, v, queried); best != nil && k.ahead(&r, best) {
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

// mostAdvancedPeer returns the peer with the newest state, or nil. Among equals, peers of the own
// zone come first, then the choice is random. Peers in queried are skipped.
func (f *Follower) mostAdvancedPeer(k *pullKind, v mesh.View, queried []string) *mesh.Member {
	var best *mesh.Member
	ties := 1
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) || slices.Contains(queried, m.Addr) {
			continue
		}
		switch c := f.comparePeers(k, m, best); {
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
func (f *Follower) comparePeers(k *pullKind, a, b *mesh.Member) int {
	if b == nil {
		return 1
	}
	if c := k.compare(a, b); c != 0 {
		return c
	}
	if (a.Zone == f.opts.Zone) != (b.Zone == f.opts.Zone) {
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
