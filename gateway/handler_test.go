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
	"sync/atomic"
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

var headerNames = exchange.Headers{RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Target: "X-Target", NotRun: "X-Not-Run", Leaving: "X-Leaving"}

// backend is a target that counts requests, finished ones and those whose client disconnected.
type backend struct {
	*httptest.Server
	mu             sync.Mutex
	runs, finished int
	abandoned      int
}

func newBackend(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *backend {
	b := new(backend)
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.runs++
		b.mu.Unlock()
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		serve(w, r)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.finished++
		if r.Context().Err() != nil {
			b.abandoned++
		}
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *backend) counts() (runs, finished, abandoned int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs, b.finished, b.abandoned
}

func respondWith(status int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNames.Seal, "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "whole")
	}
}

func hang(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
	respondWith(http.StatusOK)(w, r)
}

// updateDelay is the time from when a reader takes an update of a fakeStore until it has it.
const updateDelay = 50 * time.Millisecond

// fakeStore is a store with one document and some targets.
type fakeStore struct {
	document *document.Document
	entries  []registry.Entry
	// updates delivers newer documents to readers, each after updateDelay.
	updates chan *document.Document
	// snapshotDelay delays each snapshot.
	snapshotDelay time.Duration
}

func (s *fakeStore) Snapshot(stream statesync.Stream) statesync.SnapshotReader {
	return fakeSnapshot{s, stream}
}

// fakeSnapshot reads a fakeStore in one part.
type fakeSnapshot struct {
	*fakeStore
	stream statesync.Stream
}

func (s fakeSnapshot) Next(context.Context) (part statesync.Batch, last bool, err error) {
	time.Sleep(s.snapshotDelay)
	if s.stream == statesync.Documents {
		return statesync.Batch{Next: 1, Records: []statesync.Record{{Document: s.document}}}, true, nil
	}
	b := statesync.Batch{Next: 1}
	for _, e := range s.entries {
		b.Records = append(b.Records, statesync.Record{ID: e.ID, Entry: &e})
	}
	return b, true, nil
}

func (s *fakeStore) Read(ctx context.Context, stream statesync.Stream, from registry.Offset, wait time.Duration) (statesync.Batch, error) {
	var updates chan *document.Document
	if stream == statesync.Documents {
		updates = s.updates
	}
	select {
	case <-ctx.Done():
	case d := <-updates:
		time.Sleep(updateDelay)
		return statesync.Batch{Next: from + 1, Records: []statesync.Record{{Document: d}}}, nil
	case <-time.After(wait):
	}
	return statesync.Batch{Next: from}, ctx.Err()
}

// addTargets registers the backends as targets.
func (s *fakeStore) addTargets(backends ...*backend) {
	for i, b := range backends {
		s.entries = append(s.entries, registry.Entry{
			ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s", Addr: b.Listener.Addr().String(), Zone: "a", Slots: 4,
		})
	}
}

func (s *fakeStore) Addresses(context.Context) ([]string, error) { return nil, nil }

func (s *fakeStore) Announce(context.Context, string) (registry.Epoch, error) { return 0, nil }

func (s *fakeStore) CloseIdleConnections() {}

func (s *fakeStore) Contents(context.Context) ([]quarantine.Evidence, error) { return nil, nil }

func (s *fakeStore) KeepContent(context.Context, quarantine.Evidence) error { return nil }

func (s *fakeStore) ReleaseContent(context.Context, quarantine.Fingerprint) error { return nil }

const (
	routeTimeout = 400 * time.Millisecond
	idleTimeout  = 300 * time.Millisecond
)

func testDocument() *document.Document {
	service := []document.Backend{{Service: "s", Weight: 1}}
	return &document.Document{
		Version: 1,
		Routes: []document.Route{
			{Name: "get", Host: "h", Prefix: "/get/", Class: fleet.Lookup, MaxAttempts: 2, Timeout: routeTimeout, Backends: service},
			{Name: "buy", Host: "h", Prefix: "/buy/", Class: fleet.Confirmation, MaxAttempts: 2, Timeout: routeTimeout, Backends: service},
			{Name: "file", Host: "h", Prefix: "/file/", Class: fleet.Download, MaxAttempts: 2, Backends: service},
			{Name: "long", Host: "h", Prefix: "/long/", Class: fleet.Confirmation, MaxAttempts: 2, Backends: service},
		},
		Services: []document.Service{{Name: "s"}},
		Limits:   document.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: idleTimeout},
	}
}

// lastFreeAddr numbers the addresses that freeAddr returns.
var lastFreeAddr atomic.Uint32

// freeAddr returns an address that can be listened on. Each has a loopback IP of its own: on one that
// others use, the port could be taken again before the caller listens on it.
func freeAddr(t *testing.T) string {
	const ipsPerBlock = 250
	n := int(lastFreeAddr.Add(1))
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.1.%d.%d:0", n/ipsPerBlock, n%ipsPerBlock+1))
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// startGateway starts an instance with the backends as targets and returns its URL.
func startGateway(t *testing.T, backends ...*backend) string {
	url, _ := startGatewayWithGrace(t, 200*time.Millisecond, backends...)
	return url
}

// startGatewayWithGrace starts an instance with the given grace period. It returns its URL
// and a function that stops it.
func startGatewayWithGrace(t *testing.T, grace time.Duration, backends ...*backend) (string, context.CancelFunc) {
	url, g, stop := launchGateway(t, grace, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	return url, stop
}

// waitReady waits until an instance serves and has the number of instances that share its
// budgets.
func waitReady(t *testing.T, g *Gateway) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.knowledge.mu.Lock()
		defer g.knowledge.mu.Unlock()
		if g.ready.Load() && g.knowledge.instanceCount.recent.value() > 0 {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// launchGateway starts an instance without waiting for it to be ready.
func launchGateway(t *testing.T, grace time.Duration, store *fakeStore, backends ...*backend) (string, *Gateway, context.CancelFunc) {
	store.addTargets(backends...)
	s := testSettings(t)
	s.Grace = grace
	return launch(t, s, store, func(*Gateway) {})
}

// testSettings returns the settings of an instance that knows no others.
func testSettings(t *testing.T) Settings {
	return Settings{
		Instance: "i", Zone: "a", Listen: freeAddr(t), ReadyListen: freeAddr(t), ReadyPath: "/ready", PeerListen: freeAddr(t),
		Headers: headerNames, Retry: budget,
	}
}

// launch starts an instance that prepare has been called with.
func launch(t *testing.T, s Settings, store *fakeStore, prepare func(*Gateway)) (string, *Gateway, context.CancelFunc) {
	assert.NilError(t, s.Complete())
	g, err := New(s, store)
	assert.NilError(t, err)
	g.knowledge.instanceCount.booted = time.Now().Add(-time.Hour) // so that its retry budget does not start at zero
	prepare(g)
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

func sendRequest(ctx context.Context, t *testing.T, method, url string) (int, string, time.Duration) {
	return sendRequestWithDeadline(ctx, t, method, url, 4*time.Second)
}

// requestsSent numbers the requests of sendRequestWithDeadline.
var requestsSent atomic.Int64

// sendRequestWithDeadline sends a request with the given deadline and an ID of its own. It
// returns the status, the body and the time taken; status 0 and the error text if there is
// no response.
func sendRequestWithDeadline(ctx context.Context, t *testing.T, method, url string, deadline time.Duration) (int, string, time.Duration) {
	return sendRequestWithID(ctx, t, method, url, fmt.Sprint("r", requestsSent.Add(1)), deadline)
}

func sendRequestWithID(ctx context.Context, t *testing.T, method, url, id string, deadline time.Duration) (int, string, time.Duration) {
	begin := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("order"))
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, id)
	req.Header.Set(headerNames.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error(), time.Since(begin)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), time.Since(begin)
}

// Requests that arrive before a new process has its configuration wait for it and are served.
func TestNewProcessWaitsForFirstConfiguration(t *testing.T) {
	const delay = 300 * time.Millisecond
	b := newBackend(t, respondWith(http.StatusOK))
	url, _, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument(), snapshotDelay: delay}, b)
	status, body, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, took < initialStateTimeout)
}

// Requests are refused soon if the configuration does not arrive.
func TestNewProcessRefusesWithoutConfiguration(t *testing.T) {
	url, _, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument(), snapshotDelay: time.Second}, newBackend(t, respondWith(http.StatusOK)))
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < initialStateTimeout+100*time.Millisecond, "%v", took)
}

// A stopping instance serves requests that end in time and refuses the rest, as refused
// callers may have no time left to retry.
func TestStoppingInstanceServesRequestsThatEndInTime(t *testing.T) {
	const grace, short, long = time.Second, 100 * time.Millisecond, 900 * time.Millisecond
	b := newBackend(t, respondWith(http.StatusOK))
	url, stop := startGatewayWithGrace(t, grace, b)
	before, _, _ := sendRequestWithDeadline(t.Context(), t, "POST", url+"/buy/1", long)
	assert.Equal(t, before, http.StatusOK)
	stop()
	time.Sleep(time.Duration((refuseFraction + 0.05) * float64(grace)))
	// The first response closes its connection, so each request has its own.
	served, _, _ := sendRequestWithDeadline(t.Context(), t, "POST", url+"/buy/1", short)
	assert.Equal(t, served, http.StatusOK)
	refused, body, _ := sendRequestWithDeadline(t.Context(), t, "POST", url+"/buy/1", long)
	assert.Equal(t, refused, http.StatusServiceUnavailable, body)
}

// TestLongStopRefusesWhatItWouldCut guards against uploads that were accepted 3.2 s after the begin of a stop of
// 6 s, hung at their target and were cut off at its end.
func TestLongStopRefusesWhatItWouldCut(t *testing.T) {
	const grace, sentAt, deadline = 6 * time.Second, 3200 * time.Millisecond, 6 * time.Second
	assert.Assert(t, sentAt < time.Duration(refuseFraction*float64(grace)))
	b := newBackend(t, hang)
	url, stop := startGatewayWithGrace(t, grace, b)
	open, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer open.Close() // the instance stays until its callers have left
	stop()
	time.Sleep(sentAt)
	status, body, _ := sendRequestWithDeadline(t.Context(), t, "POST", url+"/long/1", deadline)
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, totalRuns(b), 0)
}

func totalRuns(bs ...*backend) int {
	n := 0
	for _, b := range bs {
		runs, _, _ := b.counts()
		n += runs
	}
	return n
}

func TestAttemptsLimitedByRoute(t *testing.T) {
	var bs []*backend
	for range 5 {
		bs = append(bs, newBackend(t, respondWith(http.StatusInternalServerError)))
	}
	url := startGateway(t, bs...)
	status, body, _ := sendRequest(t.Context(), t, "GET", url+"/get/1")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, body, "whole", "the target's own response")
	assert.Equal(t, totalRuns(bs...), 2)
	status, _, _ = sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, totalRuns(bs...), 3)
	status, _, _ = sendRequest(t.Context(), t, "GET", url+"/file/1")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, totalRuns(bs...), 5, "downloads are idempotent")
}

// A download that takes longer than usual is sent to a second target beside the first.
func TestSlowDownloadIsHedged(t *testing.T) {
	var first atomic.Bool
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !first.Swap(true) {
			hang(w, r)
			return
		}
		respondWith(http.StatusOK)(w, r)
	}
	bs := []*backend{newBackend(t, serve), newBackend(t, serve)}
	url := startGateway(t, bs...)
	status, _, took := sendRequest(t.Context(), t, "GET", url+"/file/1")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, took < 2*time.Second, took)
	assert.Equal(t, totalRuns(bs...), 2)
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	b := newBackend(t, hang)
	url := startGateway(t, b)
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, took >= routeTimeout && took < routeTimeout+500*time.Millisecond, took)
}

func TestCallerDisconnectCancelsOnlyRepeatableRequests(t *testing.T) {
	for _, tc := range []struct {
		method, path string
		abandoned    int
	}{{"GET", "/get/1", 1}, {"GET", "/file/1", 1}, {"POST", "/buy/1", 0}} {
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(250 * time.Millisecond):
				respondWith(http.StatusOK)(w, r)
			}
		})
		url := startGateway(t, b)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		status, _, _ := sendRequest(ctx, t, tc.method, url+tc.path)
		assert.Equal(t, status, 0)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, finished, _ := b.counts(); finished == 1 {
				return poll.Success()
			}
			return poll.Continue("the backend is still running the request")
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(5*time.Millisecond))
		_, _, abandoned := b.counts()
		assert.Equal(t, abandoned, tc.abandoned, tc.path)
	}
}

func TestUnsealedSuccessNotForwarded(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") })
	url := startGateway(t, b)
	status, body, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(body, "forged"))
}

func TestUnprovenRefusalNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newBackend(t, respondWith(status))
		url := startGateway(t, b)
		got, _, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
		assert.Equal(t, got, http.StatusBadGateway, "the target may have run it")
	}
}

func TestIdleConnectionsClosedAtIdleTimeout(t *testing.T) {
	url := startGateway(t, newBackend(t, respondWith(http.StatusOK)))
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

func TestBodiesBounded(t *testing.T) {
	b := &memoryPool{maxBytes: 100 << 10}
	body, err := readBody(b, strings.NewReader("12345"), 5, 10)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "12345")
	_, err = readBody(b, strings.NewReader("1234"), 5, 10)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = readBody(b, strings.NewReader(strings.Repeat("x", 11)), -1, 10)
	assert.ErrorIs(t, err, errBodyTooLarge)
	_, err = readBody(b, strings.NewReader(strings.Repeat("x", 200<<10)), -1, 1<<20)
	assert.ErrorIs(t, err, errBodiesFull)
	assert.Equal(t, b.heldBytes.Load(), int64(5))
	b.Release(5)
	assert.Equal(t, b.heldBytes.Load(), int64(0))
}

// A non-repeatable request goes on at its target after the caller has disconnected, but
// is not retried if that target refuses it.
func TestNoRetryAfterCallerDisconnects(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	bs := []*backend{newBackend(t, refuse), newBackend(t, refuse), newBackend(t, refuse)}
	url := startGateway(t, bs...)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	status, _, _ := sendRequest(ctx, t, "POST", url+"/buy/1")
	assert.Equal(t, status, 0)
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, totalRuns(bs...), 1)
}

// An instance that has lost its paths to most targets tries others until it reaches one.
func TestUnreachableTargetsSkipped(t *testing.T) {
	healthy := newBackend(t, respondWith(http.StatusOK))
	bs := []*backend{healthy}
	for range 9 {
		unreachable := newBackend(t, respondWith(http.StatusOK))
		unreachable.Close() // its address refuses connections
		bs = append(bs, unreachable)
	}
	url := startGateway(t, bs...)
	status, _, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusOK)
}

// The document's header limit applies instead of a fixed limit, which refused headers of
// more than 64 KB even if the document allowed them.
func TestHeaderLimitFromDocument(t *testing.T) {
	doc := testDocument()
	doc.Limits.HeaderBytes = 100 << 10
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: doc}, newBackend(t, respondWith(http.StatusOK)))
	waitReady(t, g)
	for size, want := range map[int]int{1 << 10: http.StatusOK, 90 << 10: http.StatusOK, 101 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, url+"/get/a", http.NoBody)
		assert.NilError(t, err)
		req.Host = "h"
		req.Header.Set(headerNames.RequestID, "r1")
		req.Header.Set("X-Large", strings.Repeat("x", size))
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want, "%d bytes", size)
	}
}
