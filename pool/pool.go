package pool

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/clementinereel/clementinereel/fleet"
)

// Share is the number of connections that an instance may have to a target.
type Share struct {
	Target      fleet.Target
	Connections int
}

// key identifies a target; a target ID is unique only within its service.
type key struct {
	service fleet.ServiceID
	id      fleet.TargetID
}

func keyOf(t fleet.Target) key { return key{t.Service, t.ID} }

// Set holds the connections to all targets of an instance. It is safe for
// concurrent use.
type Set struct {
	cfg      Config
	unpooled *http.Transport

	mu    sync.RWMutex
	hosts map[key]*host
}

// New returns an empty Set.
func New(cfg Config) *Set {
	cfg = cfg.withDefaults()
	s := &Set{cfg: cfg, hosts: make(map[key]*host)}
	dial := dialer(cfg)
	s.unpooled = newTransport(cfg, func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, closed: func() {}}, nil
	})
	s.unpooled.DisableKeepAlives = true
	return s
}

// Update replaces the shares of the Set. Connections to targets without a share
// are closed once idle; running requests are not interrupted. A target whose
// share or address changed gets new connections.
func (s *Set) Update(shares []Share) {
	next := make(map[key]*host, len(shares))
	s.mu.Lock()
	for _, sh := range shares {
		if sh.Connections > 0 {
			next[keyOf(sh.Target)] = s.hostFor(sh)
		}
	}
	prev := s.hosts
	s.hosts = next
	s.mu.Unlock()
	for k, h := range prev {
		if next[k] != h {
			h.retire()
		}
	}
}

func (s *Set) hostFor(sh Share) *host {
	h := s.hosts[keyOf(sh.Target)]
	if h != nil && h.share == sh.Connections && h.target.Addr == sh.Target.Addr {
		return h
	}
	return newHost(s.cfg, sh.Target, sh.Connections)
}

// Warm opens one connection to every target that has fewer than Config.Warm
// connections, with at most maxWarmDials dials at a time. Call it once per tick.
// It returns the targets for which dialing failed.
func (s *Set) Warm(ctx context.Context) []fleet.Target {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []fleet.Target
	slots := make(chan struct{}, maxWarmDials)
	for _, h := range s.snapshot() {
		if !h.needsWarm() {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if h.warm(ctx) != nil {
				mu.Lock()
				failed = append(failed, h.target)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// maxWarmDials limits the concurrent dials of Warm.
const maxWarmDials = 8

// snapshot returns the hosts; the map is replaced, never modified.
func (s *Set) snapshot() map[key]*host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts
}

// Open returns the number of connections to targets with a share.
func (s *Set) Open() int {
	n := 0
	for _, h := range s.snapshot() {
		n += h.openCount()
	}
	return n
}

// Close closes idle connections at once and busy ones when their responses end.
func (s *Set) Close() { s.Update(nil) }

// RoundTripper returns a RoundTripper that sends requests to the target,
// whatever the host of their URL. For a target without a share, each request
// uses a new connection.
func (s *Set) RoundTripper(t fleet.Target) http.RoundTripper {
	h := s.host(t)
	if h == nil {
		return roundTripper{s.unpooled, t.Addr}
	}
	return roundTripper{h.transport, h.target.Addr}
}

// SingleUse is like RoundTripper, but each request has a connection of its own. net/http matches
// responses to requests by their order: on a connection that has carried another request, an extra
// response to that one would count as the response to this one.
func (s *Set) SingleUse(t fleet.Target) http.RoundTripper {
	h := s.host(t)
	if h == nil {
		return roundTripper{s.unpooled, t.Addr}
	}
	return roundTripper{h.single, h.target.Addr}
}

// host returns what holds the connections to the target, nil if it has no share.
func (s *Set) host(t fleet.Target) *host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts[keyOf(t)]
}
