package pool

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/clementinereel/clementinereel/fleet"
)

// Share is how many connections an instance may have to a target.
type Share struct {
	Target      fleet.Target
	Connections int
}

// key tells targets apart; a target's ID is unique within its service.
type key struct {
	service fleet.ServiceID
	id      fleet.TargetID
}

func keyOf(t fleet.Target) key { return key{t.Service, t.ID} }

// Set holds the connections to all targets of an instance. It is safe for
// concurrent use.
type Set struct {
	cfg   Config
	spare *http.Transport

	mu    sync.RWMutex
	hosts map[key]*host
}

// New returns an empty Set.
func New(cfg Config) *Set {
	cfg = cfg.withDefaults()
	s := &Set{cfg: cfg, hosts: make(map[key]*host)}
	dial := dialer(cfg)
	s.spare = newTransport(cfg, func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, closed: func() {}}, nil
	})
	s.spare.DisableKeepAlives = true
	return s
}

// Update makes the Set hold exactly the given shares. Connections to targets
// that are no longer among them are closed when idle; no request is cut. A
// share or address that changed gets new connections.
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

// Warm brings every target that has fewer than Config.Warm connections one
// nearer to it, a few at a time, until ctx is done. Call it once a tick. It
// returns the targets to which no connection came about.
func (s *Set) Warm(ctx context.Context) []fleet.Target {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []fleet.Target
	places := make(chan struct{}, warmDials)
	for _, h := range s.snapshot() {
		if !h.wanting() {
			continue
		}
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
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

// warmDials bounds the connections that Warm opens at once.
const warmDials = 8

// snapshot returns the hosts; the map is replaced, never changed.
func (s *Set) snapshot() map[key]*host {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.hosts
}

// Open is how many connections the Set holds to targets it has a share of.
func (s *Set) Open() int {
	n := 0
	for _, h := range s.snapshot() {
		n += h.openCount()
	}
	return n
}

// Close closes every connection that is idle; busy ones close as they end.
func (s *Set) Close() { s.Update(nil) }

// RoundTripper sends requests to the target, whatever their URL's host. A
// target of which the Set has no share gets a connection for one request.
func (s *Set) RoundTripper(t fleet.Target) http.RoundTripper {
	s.mu.RLock()
	h := s.hosts[keyOf(t)]
	s.mu.RUnlock()
	if h == nil {
		return roundTripper{s.spare, t.Addr}
	}
	return roundTripper{h.transport, h.target.Addr}
}
