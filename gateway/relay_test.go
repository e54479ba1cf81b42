package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/registry"
)

// relayPair is an instance that is cut off from all targets and one that reaches them.
type relayPair struct {
	cutOff, other *Gateway
	url           string // of the one that is cut off
	network       *targetNetwork
}

// newRelayPair returns a pair with one target, of which the first instance has lost the path.
func newRelayPair(t *testing.T, b *backend) *relayPair {
	p := &relayPair{network: new(targetNetwork)}
	entries := []registry.Entry{{ID: "t", Service: "s", Addr: b.Listener.Addr().String(), Zone: "a", Slots: 8}}
	s := testSettings(t)
	s.Grace = 2 * time.Second
	seed := s.PeerListen
	_, p.other, _ = launch(t, s, &fakeStore{document: longDocument(), entries: entries}, func(*Gateway) {})
	s = testSettings(t)
	s.Seeds = []string{seed}
	s.Grace = 200 * time.Millisecond
	p.url, p.cutOff, _ = launch(t, s, &fakeStore{document: longDocument(), entries: entries}, p.network.install)
	waitReady(t, p.other)
	waitReady(t, p.cutOff)
	p.network.setMode(cutHangs)
	p.cutOff.announcePaths(p.cutOff.paths.RecordUnreachable(time.Now(), "s", "t", 1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.cutOff.relayer.peers("s")) > 0 {
			return poll.Success()
		}
		return poll.Continue("the other instance is unknown")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	return p
}

// longDocument is testDocument with routes whose requests may take long.
func longDocument() *document.Document {
	d := testDocument()
	for i := range d.Routes {
		d.Routes[i].Timeout = 10 * time.Second
	}
	return d
}

// TestRelayedRequestEndsWithItsCaller checks that a target stops working on a request whose caller has
// left the instance that passed it on.
func TestRelayedRequestEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	b := newBackend(t, hang)
	p := newRelayPair(t, b)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(200*time.Millisecond, cancel)
	status, _, _ := sendRequest(ctx, t, http.MethodGet, p.url+"/get/1")
	assert.Equal(t, status, 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, abandoned := b.counts(); abandoned == 1 {
			return poll.Success()
		}
		return poll.Continue("the target still works on it")
	}, poll.WithTimeout(500*time.Millisecond), poll.WithDelay(5*time.Millisecond))
}

// TestRequestIsRelayedOnce guards against requests that instances pass on to each other in circles, and
// against holding those that nobody can serve.
func TestRequestIsRelayedOnce(t *testing.T) {
	t.Parallel()
	b := newBackend(t, respondWith(http.StatusOK))
	p := newRelayPair(t, b)
	p.other.paths.RecordUnreachable(time.Now(), "s", "t", 1) // which it has not told yet
	status, _, took := sendRequest(t.Context(), t, http.MethodPost, p.url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < 400*time.Millisecond, "it was held for %v", took)
	runs, _, _ := b.counts()
	assert.Equal(t, runs, 0)
}

// TestRelayedResponseAndBodyAreWhole checks bodies of 1 MB in both directions and a response of a target
// that is no success.
func TestRelayedResponseAndBodyAreWhole(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<16-1)
	b := newBackend(t, nil)
	b.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		w.Header().Set(headerNames.RequestID, r.Header.Get(headerNames.RequestID))
		w.Header().Set(headerNames.Seal, "s")
		w.Header().Set("X-Own", r.Header.Get("X-Own"))
		if err != nil || r.URL.RawQuery != "q=1" || r.Host != "h" {
			w.WriteHeader(http.StatusTeapot)
		}
		_, _ = w.Write(got)
	})
	p := newRelayPair(t, b)
	for query, status := range map[string]int{"q=1": http.StatusOK, "q=2": http.StatusTeapot} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url+"/buy/1?"+query, bytes.NewReader(body))
		assert.NilError(t, err)
		req.Host = "h"
		req.Header.Set(headerNames.RequestID, "r1")
		req.Header.Set(headerNames.Deadline, "4000")
		req.Header.Set("X-Own", "kept")
		resp, err := http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, status)
		assert.Assert(t, bytes.Equal(got, body))
		assert.Equal(t, resp.Header.Get("X-Own"), "kept")
		assert.Equal(t, resp.Header.Get(headerNames.Seal), "s")
	}
}

// TestLostRelayIsNotReportedAsNotRun guards against a refusal of a request that may have run: the
// instance that it was passed on to ended.
func TestLostRelayIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	b := newBackend(t, hang)
	p := newRelayPair(t, b)
	time.AfterFunc(200*time.Millisecond, func() { _ = p.other.peerServer.Close() })
	status, _, _ := sendRequest(t.Context(), t, http.MethodPost, p.url+"/buy/1")
	assert.Equal(t, status, http.StatusBadGateway)
	runs, _, _ := b.counts()
	assert.Equal(t, runs, 1)
}

// TestStoppingInstanceFinishesRelayedRequests guards against an instance that ends while it serves a
// request of another one.
func TestStoppingInstanceFinishesRelayedRequests(t *testing.T) {
	t.Parallel()
	const work = 1200 * time.Millisecond // longer than an instance without callers goes on
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		respondWith(http.StatusOK)(w, r)
	})
	p := newRelayPair(t, b)
	ended := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() {
		defer close(ended)
		p.other.stop()
		_ = p.other.peerServer.Close()
	})
	status, _, _ := sendRequest(t.Context(), t, http.MethodPost, p.url+"/buy/1")
	assert.Equal(t, status, http.StatusOK)
	<-ended
}
