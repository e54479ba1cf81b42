package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// cutMode is what happens to the connections between an instance and all targets while they are cut.
type cutMode uint8

const (
	// cutHangs means that open connections carry nothing and new ones time out.
	cutHangs cutMode = iota + 1
	// cutResets means that open connections are reset and new ones refused.
	cutResets
	// cutRefuses means that open connections live on and new ones are refused.
	cutRefuses
)

// targetNetwork is one instance's network to the targets.
type targetNetwork struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	mu   sync.Mutex
	mode cutMode // 0 while it is sound
	// reaches reports whether the address is reached while the network is cut; nil if none is.
	reaches func(addr string) bool
	conns   map[*targetConn]bool
}

// install makes the gateway use the network.
func (n *targetNetwork) install(g *Gateway) {
	n.dial, n.conns = g.client.Cache.Dial, make(map[*targetConn]bool)
	g.client.Cache.Dial = n.Dial
}

// Dial opens a connection, unless the network is cut.
func (n *targetNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Net: network, Err: err} }
	switch n.modeFor(addr) {
	case cutHangs:
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
		return fail(os.ErrDeadlineExceeded)
	case cutResets, cutRefuses:
		return fail(syscall.ECONNREFUSED)
	}
	c, err := n.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	tc := &targetConn{TCPConn: c.(*net.TCPConn), network: n, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[tc] = true
	return tc, nil
}

func (n *targetNetwork) modeFor(addr string) cutMode {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reaches != nil && n.reaches(addr) {
		return 0
	}
	return n.mode
}

// setMode cuts the network, or heals it if the mode is 0.
func (n *targetNetwork) setMode(m cutMode) {
	n.mu.Lock()
	n.mode = m
	conns := n.conns
	if m == cutResets {
		n.conns = make(map[*targetConn]bool)
	}
	n.mu.Unlock()
	if m != cutResets {
		return
	}
	for c := range conns {
		_ = c.SetLinger(0) // so that it is reset; it may be closed already
		_ = c.Close()
	}
}

// reachOnly sets the backends that are reached while the network is cut.
func (n *targetNetwork) reachOnly(backends []*backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reaches = func(addr string) bool {
		return slices.ContainsFunc(backends, func(b *backend) bool { return b.Listener.Addr().String() == addr })
	}
}

// targetConn is a connection to a target.
type targetConn struct {
	*net.TCPConn
	network *targetNetwork
	addr    string
}

// Write implements net.Conn. While the network hangs, nothing arrives.
func (c *targetConn) Write(b []byte) (int, error) {
	if c.network.modeFor(c.addr) == cutHangs {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Read implements net.Conn. While the network hangs, nothing arrives.
func (c *targetConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.network.modeFor(c.addr) != cutHangs {
			return n, err
		}
	}
}

// cutFleet is a fleet of instances in three zones whose networks to the targets can be cut.
type cutFleet struct {
	gateways []*Gateway
	urls     []string
	networks []*targetNetwork
	backends []*backend

	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
}

const (
	cutFleetSize    = 12
	cutFleetTargets = 8
	targetWork      = 20 * time.Millisecond
)

func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{runs: make(map[string]int)}
	zone := func(n int) fleet.Zone { return fleet.Zone("abc"[n%3 : n%3+1]) }
	var entries []registry.Entry
	for n := range cutFleetTargets {
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.runs[r.Header.Get(headerNames.RequestID)]++
			f.mu.Unlock()
			time.Sleep(targetWork)
			respondWith(http.StatusOK)(w, r)
		})
		f.backends = append(f.backends, b)
		entries = append(entries, registry.Entry{ID: fleet.TargetID(fmt.Sprint("t", n)), Service: "s", Addr: b.Listener.Addr().String(), Zone: zone(n), Slots: 8})
	}
	seed := freeAddr(t)
	for n := range cutFleetSize {
		s := testSettings(t)
		s.Instance, s.Zone, s.Seeds, s.Grace = fmt.Sprint("i", n), zone(n), []string{seed}, 200*time.Millisecond
		if n == 0 {
			s.PeerListen = seed
		}
		url, g, _ := launch(t, s, &fakeStore{document: testDocument(), entries: entries}, func(g *Gateway) {
			network := new(targetNetwork)
			network.install(g)
			f.networks = append(f.networks, network)
		})
		f.gateways, f.urls = append(f.gateways, g), append(f.urls, url)
	}
	for _, g := range f.gateways {
		waitReady(t, g)
	}
	return f
}

// tally counts the requests of a part of the fleet.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// drive sends requests to all instances for the given time, one in four of which must run once, and
// returns those at the instances that are cut off and at the others.
func (f *cutFleet) drive(t *testing.T, name string, isCut func(n int) bool, duration time.Duration) (cutOff, others tally) {
	const interval = 75 * time.Millisecond // at each instance
	var mu sync.Mutex
	var requests sync.WaitGroup
	send := func(n, i int) {
		method, path := http.MethodGet, "/get/1"
		if i%4 == 0 {
			method, path = http.MethodPost, "/buy/1"
		}
		status := f.send(t, n, method, path, fmt.Sprintf("%s-%d-%d", name, n, i))
		mu.Lock()
		defer mu.Unlock()
		part := &others
		if isCut(n) {
			part = &cutOff
		}
		part.sent++
		if status == http.StatusOK {
			part.served++
		}
	}
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		for n := range f.gateways {
			requests.Go(func() { send(n, i) })
		}
		time.Sleep(interval)
	}
	requests.Wait()
	return cutOff, others
}

// send sends one request to an instance and returns the status, 0 if there is none.
func (f *cutFleet) send(t *testing.T, n int, method, path, id string) int {
	req, err := http.NewRequestWithContext(t.Context(), method, f.urls[n]+path, strings.NewReader("order"))
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, id)
	req.Header.Set(headerNames.Deadline, "2000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// checkRuns checks that no request that must run once ran more often.
func (f *cutFleet) checkRuns(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.runs {
		var name string
		var gateway, i int
		_, err := fmt.Sscanf(strings.ReplaceAll(id, "-", " "), "%s %d %d", &name, &gateway, &i)
		assert.NilError(t, err)
		assert.Check(t, n == 1 || i%4 != 0, "%s ran %d times", id, n)
	}
}

// TestCallersOfCutOffInstancesAreServed guards against callers that are refused because their instance
// has lost its links to all targets, though the other instances reach them.
func TestCallersOfCutOffInstancesAreServed(t *testing.T) {
	first := func(count int) func(int) bool { return func(n int) bool { return n < count } }
	ofZone := func(n int) bool { return n%3 == 0 }
	for name, c := range map[string]struct {
		mode  cutMode
		isCut func(n int) bool
		// reached is the number of targets that are reached while the network is cut.
		reached int
	}{
		"three hang":                  {mode: cutHangs, isCut: first(3)},
		"one is reset":                {mode: cutResets, isCut: first(1)},
		"a zone is reset and refused": {mode: cutResets, isCut: ofZone},
		"a zone hangs":                {mode: cutHangs, isCut: ofZone},
		"eight hang":                  {mode: cutHangs, isCut: first(8)},
		"three are refused, open connections live on": {mode: cutRefuses, isCut: first(3)},
		"three hang towards most targets":             {mode: cutHangs, isCut: first(3), reached: 3},
		"three hang towards all targets but one":      {mode: cutHangs, isCut: first(3), reached: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t)
			f.drive(t, "before", c.isCut, time.Second)
			for n, network := range f.networks {
				if c.isCut(n) {
					network.reachOnly(f.backends[:c.reached])
					network.setMode(c.mode)
				}
			}
			early, othersEarly := f.drive(t, "early", c.isCut, stabilityWindow)
			cutOff, others := f.drive(t, "late", c.isCut, 2*time.Second)
			for _, network := range f.networks {
				network.setMode(0)
			}
			f.drive(t, "healing", c.isCut, time.Second)
			healed, _ := f.drive(t, "healed", c.isCut, time.Second)
			t.Logf("served while cut off: %.3f in the first %v, then %.3f; at the others %.3f, %.3f; healed %.3f",
				early.share(), stabilityWindow, cutOff.share(), othersEarly.share(), others.share(), healed.share())
			assert.Check(t, cutOff.share() >= minServedShare*others.share())
			failed := cutOff.sent - cutOff.served
			assert.Check(t, failed <= maxFailedBase+(cutOff.sent+others.sent)/maxFailedPart, "%d of %d first tries fail", failed, cutOff.sent)
			assert.Check(t, others.share() >= minServedByOthers)
			assert.Check(t, healed.share() >= minServedByOthers)
			f.checkRuns(t)
		})
	}
}

// The promise to callers of instances that are cut off: from stabilityWindow after the cut, their first
// tries are served at least minServedShare as often as those at other instances, or at most maxFailedBase
// and one in maxFailedPart of all first tries fail there. The test expects both.
const (
	stabilityWindow   = 3 * time.Second
	minServedShare    = 2.0 / 3
	maxFailedBase     = 10
	maxFailedPart     = 50
	minServedByOthers = 0.99
)
