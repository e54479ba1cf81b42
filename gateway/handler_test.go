package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/statesync"
)

var names = exchange.Headers{RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Target: "X-Target", NotRun: "X-Not-Run", Leaving: "X-Leaving"}

// backend is a target that counts runs and those that were given up.
type backend struct {
	*httptest.Server
	mu          sync.Mutex
	runs, ended int
	abandoned   int
}

func newBackend(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *backend {
	b := new(backend)
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.runs++
		b.mu.Unlock()
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		serve(w, r)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended++
		if r.Context().Err() != nil {
			b.abandoned++
		}
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) counts() (runs, ended, abandoned int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs, b.ended, b.abandoned
}

func answer(status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Seal, "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "whole")
	}
}

func hang(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
	answer(http.StatusOK)(w, r)
}

// storeOf is a store that holds one document and some targets.
type storeOf struct {
	document *document.Document
	entries  []registry.Entry
	// late is how long a snapshot takes.
	late time.Duration
}

func (s *storeOf) Snapshot(_ context.Context, stream statesync.Stream) (statesync.Batch, error) {
	time.Sleep(s.late)
	if stream == statesync.Documents {
		return statesync.Batch{Next: 1, Records: []statesync.Record{{Document: s.document}}}, nil
	}
	b := statesync.Batch{Next: 1}
	for _, e := range s.entries {
		b.Records = append(b.Records, statesync.Record{ID: e.ID, Entry: &e})
	}
	return b, nil
}

func (s *storeOf) Read(ctx context.Context, _ statesync.Stream, from registry.Offset, wait time.Duration) (statesync.Batch, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return statesync.Batch{Next: from}, ctx.Err()
}

func (s *storeOf) Addresses(context.Context) ([]string, error) { return nil, nil }

func (s *storeOf) Announce(context.Context, string) (registry.Epoch, error) { return 0, nil }

func (s *storeOf) Contents(context.Context) ([]quarantine.Evidence, error) { return nil, nil }

func (s *storeOf) KeepContent(context.Context, quarantine.Evidence) error { return nil }

func (s *storeOf) ReleaseContent(context.Context, quarantine.Fingerprint) error { return nil }

const (
	routeTimeout = 400 * time.Millisecond
	idleTimeout  = 300 * time.Millisecond
)

func routes() *document.Document {
	service := []document.Backend{{Service: "s", Weight: 1}}
	return &document.Document{
		Version: 1,
		Routes: []document.Route{
			{Name: "get", Host: "h", Prefix: "/get/", Class: fleet.Lookup, MaxAttempts: 2, Timeout: routeTimeout, Backends: service},
			{Name: "buy", Host: "h", Prefix: "/buy/", Class: fleet.Confirmation, MaxAttempts: 2, Timeout: routeTimeout, Backends: service},
		},
		Services: []document.Service{{Name: "s"}},
		Limits:   document.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: idleTimeout},
	}
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// startGateway runs an instance before the backends and returns its URL.
func startGateway(t *testing.T, backends ...*backend) string {
	url, _ := startGatewayFor(t, 200*time.Millisecond, backends...)
	return url
}

// startGatewayFor starts an instance with a grace time. It returns its URL and what
// stops it.
func startGatewayFor(t *testing.T, grace time.Duration, backends ...*backend) (string, context.CancelFunc) {
	url, g, stop := launch(t, grace, &storeOf{document: routes()}, backends...)
	waitReady(t, g)
	return url, stop
}

// waitReady waits until an instance serves and knows how many share its budgets.
func waitReady(t *testing.T, g *Gateway) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.knowledge.mu.Lock()
		defer g.knowledge.mu.Unlock()
		if g.ready.Load() && g.knowledge.census.most.number() > 0 {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// launch starts an instance and does not wait for it.
func launch(t *testing.T, grace time.Duration, store *storeOf, backends ...*backend) (string, *Gateway, context.CancelFunc) {
	for i, b := range backends {
		store.entries = append(store.entries, registry.Entry{
			ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s", Addr: b.Listener.Addr().String(), Zone: "a", Slots: 4,
		})
	}
	s := Settings{
		Instance: "i", Zone: "a", Listen: freeAddr(t), ReadyListen: freeAddr(t), ReadyPath: "/ready", PeerListen: freeAddr(t),
		Headers: names, Retry: budget, Grace: grace,
	}
	assert.NilError(t, s.Complete())
	g, err := New(s, store)
	assert.NilError(t, err)
	g.knowledge.census.booted = time.Now().Add(-time.Hour) // what it may add does not begin at nothing
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + s.Listen, g, cancel
}

func ask(ctx context.Context, t *testing.T, method, url string) (int, string, time.Duration) {
	return askWithin(ctx, t, method, url, 4*time.Second)
}

// askWithin asks with the given deadline.
func askWithin(ctx context.Context, t *testing.T, method, url string, deadline time.Duration) (int, string, time.Duration) {
	begin := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("order"))
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set(names.RequestID, "r1")
	req.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error(), time.Since(begin)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), time.Since(begin)
}

// Callers reach a process that has just started before it knows the configuration: they
// wait a moment and are served.
func TestAFreshProcessWaitsForItsFirstConfiguration(t *testing.T) {
	const late = 50 * time.Millisecond
	b := newBackend(t, answer(http.StatusOK))
	url, _, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes(), late: late}, b)
	status, body, took := ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, took < stateWait)
}

// Where no configuration comes, callers are told soon.
func TestAFreshProcessDoesNotWaitForLong(t *testing.T) {
	url, _, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes(), late: time.Second}, newBackend(t, answer(http.StatusOK)))
	status, _, took := ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < stateWait+100*time.Millisecond, "%v", took)
}

// A stopping instance serves what it can end in time and refuses the rest: callers may
// have no time to come again.
func TestAStoppingInstanceServesWhatItCanEnd(t *testing.T) {
	const grace, short, long = time.Second, 100 * time.Millisecond, 900 * time.Millisecond
	b := newBackend(t, answer(http.StatusOK))
	url, stop := startGatewayFor(t, grace, b)
	kept, _, _ := askWithin(t.Context(), t, "POST", url+"/buy/1", long)
	assert.Equal(t, kept, http.StatusOK)
	stop()
	time.Sleep(time.Duration((refuseFrom + 0.05) * float64(grace)))
	// A connection of its own for each: the first answer closes its connection.
	ended, _, _ := askWithin(t.Context(), t, "POST", url+"/buy/1", short)
	assert.Equal(t, ended, http.StatusOK)
	refused, body, _ := askWithin(t.Context(), t, "POST", url+"/buy/1", long)
	assert.Equal(t, refused, http.StatusServiceUnavailable, body)
}

func totalRuns(bs ...*backend) int {
	n := 0
	for _, b := range bs {
		runs, _, _ := b.counts()
		n += runs
	}
	return n
}

func TestAttemptsStayWithinTheRoute(t *testing.T) {
	var bs []*backend
	for range 5 {
		bs = append(bs, newBackend(t, answer(http.StatusInternalServerError)))
	}
	url := startGateway(t, bs...)
	status, body, _ := ask(t.Context(), t, "GET", url+"/get/1")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, body, "whole", "the target's own answer")
	assert.Equal(t, totalRuns(bs...), 2)
	status, _, _ = ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, totalRuns(bs...), 3)
}

func TestTheRouteTimeoutEndsTheWait(t *testing.T) {
	b := newBackend(t, hang)
	url := startGateway(t, b)
	status, _, took := ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, took >= routeTimeout && took < routeTimeout+500*time.Millisecond, took)
}

func TestALeavingCallerEndsOnlyRepeatableWork(t *testing.T) {
	for _, tc := range []struct {
		method, path string
		abandoned    int
	}{{"GET", "/get/1", 1}, {"POST", "/buy/1", 0}} {
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(250 * time.Millisecond):
				answer(http.StatusOK)(w, r)
			}
		})
		url := startGateway(t, b)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		status, _, _ := ask(ctx, t, tc.method, url+tc.path)
		assert.Equal(t, status, 0)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, ended, _ := b.counts(); ended == 1 {
				return poll.Success()
			}
			return poll.Continue("still at work")
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
		_, _, abandoned := b.counts()
		assert.Equal(t, abandoned, tc.abandoned, tc.path)
	}
}

func TestASuccessWithoutProofIsNone(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") })
	url := startGateway(t, b)
	status, body, _ := ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(body, "forged"))
}

func TestARefusalWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newBackend(t, answer(status))
		url := startGateway(t, b)
		got, _, _ := ask(t.Context(), t, "POST", url+"/buy/1")
		assert.Equal(t, got, http.StatusBadGateway, "the target may have run it")
	}
}

func TestIdleConnectionsFollowTheLimit(t *testing.T) {
	url := startGateway(t, newBackend(t, answer(http.StatusOK)))
	conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /get/1 HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n")
	assert.NilError(t, err)
	begin := time.Now()
	assert.NilError(t, conn.SetReadDeadline(begin.Add(5*time.Second)))
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err, "closed by the instance")
	idle := time.Since(begin)
	assert.Assert(t, idle >= idleTimeout-50*time.Millisecond && idle < idleTimeout+time.Second, idle)
}

func TestBodiesAreBounded(t *testing.T) {
	b := &Bodies{Bound: 100 << 10}
	body, err := b.Read(strings.NewReader("12345"), 5, 10)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "12345")
	_, err = b.Read(strings.NewReader("1234"), 5, 10)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = b.Read(strings.NewReader(strings.Repeat("x", 11)), -1, 10)
	assert.ErrorIs(t, err, errBodyTooLarge)
	_, err = b.Read(strings.NewReader(strings.Repeat("x", 200<<10)), -1, 1<<20)
	assert.ErrorIs(t, err, errBodiesFull)
	assert.Equal(t, b.held.Load(), int64(5))
	b.Release(5)
	assert.Equal(t, b.held.Load(), int64(0))
}

// Work that must not repeat goes on at its target when the caller has left, but if
// that target refuses it, it goes nowhere else.
func TestNothingIsBegunForACallerThatLeft(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	bs := []*backend{newBackend(t, refuse), newBackend(t, refuse), newBackend(t, refuse)}
	url := startGateway(t, bs...)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	status, _, _ := ask(ctx, t, "POST", url+"/buy/1")
	assert.Equal(t, status, 0)
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, totalRuns(bs...), 1)
}

// An instance may have lost the paths to most targets: it goes on to those that it
// reaches.
func TestTargetsOutOfReachArePassedOver(t *testing.T) {
	sound := newBackend(t, answer(http.StatusOK))
	bs := []*backend{sound}
	for range 9 {
		gone := newBackend(t, answer(http.StatusOK))
		gone.Close() // its address refuses connections
		bs = append(bs, gone)
	}
	url := startGateway(t, bs...)
	status, _, _ := ask(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusOK)
}

// TestHeadersAreBoundedByTheDocument: the operator's limit had no effect, and headers of more than 64 KB were refused though it
// allowed them.
func TestHeadersAreBoundedByTheDocument(t *testing.T) {
	doc := routes()
	doc.Limits.HeaderBytes = 100 << 10
	url, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: doc}, newBackend(t, answer(http.StatusOK)))
	waitReady(t, g)
	for size, want := range map[int]int{1 << 10: http.StatusOK, 90 << 10: http.StatusOK, 101 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, url+"/get/a", http.NoBody)
		assert.NilError(t, err)
		req.Host = "h"
		req.Header.Set(names.RequestID, "r1")
		req.Header.Set("X-Large", strings.Repeat("x", size))
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, "%d bytes", size)
	}
}
