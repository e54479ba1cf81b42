package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/advice"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/registry"
)

// TestLeavingHeaderValues checks that a target leaves only if all values of the header are the
// defined one.
func TestLeavingHeaderValues(t *testing.T) {
	cases := []struct {
		name   string
		fields []string
		want   bool
	}{
		{"one", []string{"1"}, true},
		{"twice", []string{"1", "1"}, true},
		{"none", nil, false},
		{"zero", []string{"0"}, false},
		{"empty", []string{""}, false},
		{"word", []string{"true"}, false},
		{"both", []string{"1", "0"}, false},
		{"long", []string{strings.Repeat("1", 1<<12)}, false},
	}
	backends := healthyBackends(t, len(cases))
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	for i, c := range cases {
		id := fleet.TargetID(fmt.Sprint("t", i))
		h := http.Header{headerNames.Leaving: c.fields}
		g.handleResponseHeader(exchange.Target{ID: id}, "r", exchange.ResponseHeader{Status: http.StatusOK, Header: h, HasRequestID: true})
		assert.Equal(t, g.state.Targets().Target(id) == nil, c.want, c.name)
	}
}

// healthyBackends returns n targets that serve all requests.
func healthyBackends(t *testing.T, n int) []*backend {
	var backends []*backend
	for range n {
		backends = append(backends, newBackend(t, respondWith(http.StatusOK)))
	}
	return backends
}

// serveLeaving serves a request and announces that the target leaves.
func serveLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerNames.Leaving, "1")
	respondWith(http.StatusOK)(w, r)
}

// TestLeavingTargetIsNotChosenAgain checks that an instance sends nothing to a target after the first
// response that announces its departure, that this response reaches the caller, and that a service
// without another target refuses immediately.
func TestLeavingTargetIsNotChosenAgain(t *testing.T) {
	leaving := newBackend(t, serveLeaving)
	elsewhere := registry.Entry{ID: "other", Service: "other", Addr: freeAddr(t), Zone: "a", Slots: 1}
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument(), entries: []registry.Entry{elsewhere}}, leaving)
	waitReady(t, g)
	status, body, _ := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	for range 3 {
		status, _, took := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, took)
	}
	runs, _, _ := leaving.counts()
	assert.Equal(t, runs, 1)
}

// TestTargetThatLeavesAfterPlacementGetsNoRequest checks that another target gets the request and
// that this uses no retry budget.
func TestTargetThatLeavesAfterPlacementGetsNoRequest(t *testing.T) {
	backends := []*backend{newBackend(t, respondWith(http.StatusOK)), newBackend(t, respondWith(http.StatusOK))}
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	admits, departed := g.client.Admit, make(chan exchange.Target, 1)
	g.client.Admit = func(target exchange.Target) bool {
		select {
		case departed <- target:
			g.markLeaving(registry.Departure{ID: target.ID})
		default:
		}
		return admits(target)
	}
	status, _, _ := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
	assert.Equal(t, status, http.StatusOK)
	left := <-departed
	for i, b := range backends {
		if fleet.TargetID(fmt.Sprint("t", i)) == left.ID {
			runs, _, _ := b.counts()
			assert.Equal(t, runs, 0)
		}
	}
	assert.Equal(t, totalRuns(backends...), 1)
	assert.Equal(t, g.metrics.BudgetRefused.Count(), int64(0))
}

// TestWhichResponsesStartBackoff checks that a 429 or 503 with a valid Retry-After starts a backoff.
// It needs no seal, since only this instance backs off, and for a bounded time. A response of an
// earlier process starts none, and a restart of the target ends the backoff.
func TestWhichResponsesStartBackoff(t *testing.T) {
	cases := []struct {
		name   string
		status int
		fields []string
		want   bool
	}{
		{"unavailable", http.StatusServiceUnavailable, []string{"2"}, true},
		{"too many requests", http.StatusTooManyRequests, []string{"0.5"}, true},
		{"server error", http.StatusInternalServerError, []string{"2"}, false},
		{"success", http.StatusOK, []string{"2"}, false},
		{"no field", http.StatusServiceUnavailable, nil, false},
		{"zero", http.StatusServiceUnavailable, []string{"0"}, false},
		{"out of range", http.StatusServiceUnavailable, []string{"1e300"}, false},
		{"two fields", http.StatusServiceUnavailable, []string{"2", "2"}, false},
		{"very long", http.StatusServiceUnavailable, []string{"99999999999"}, true},
	}
	backends := healthyBackends(t, len(cases))
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	for i, c := range cases {
		target := exchangeTarget(g.state.Targets().Target(fleet.TargetID(fmt.Sprint("t", i))))
		earlier := target
		earlier.Born--
		h := exchange.ResponseHeader{Status: c.status, Header: http.Header{header.RetryAfter: c.fields}}
		g.handleResponseHeader(earlier, "r", h)
		assert.Assert(t, g.admits(target), c.name)
		g.handleResponseHeader(target, "r", h)
		now := time.Now()
		assert.Equal(t, g.knowledge.InBackoff(now, target.ID), c.want, c.name)
		assert.Equal(t, g.admits(target), !c.want, c.name)
		assert.Assert(t, !g.knowledge.InBackoff(now.Add(maxBackoff+maxBackoffJitter), target.ID), c.name)
		g.knowledge.ResetRestarted(now, []fleet.TargetID{target.ID})
		assert.Assert(t, !g.knowledge.InBackoff(now, target.ID), c.name)
	}
}

// TestCallersGetEarliestRetryAfter checks that a service all targets of which rejected this instance
// refuses immediately, with the time until the first target accepts requests again.
func TestCallersGetEarliestRetryAfter(t *testing.T) {
	var backends []*backend
	for _, after := range []string{"2", "1.2"} {
		backends = append(backends, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerNames.NotRun, "1")
			w.Header().Set(header.RetryAfter, after)
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
	}
	url := startGateway(t, backends...)
	began := time.Now()
	for range 5 {
		r, took := getResponse(t, url+"/get/a")
		assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, took)
		seconds, err := strconv.ParseFloat(r.Header.Get(header.RetryAfter), 64)
		assert.NilError(t, err)
		back := time.Duration(seconds * float64(time.Second))
		assert.Assert(t, back > 1200*time.Millisecond-time.Since(began) && back < 1200*time.Millisecond*11/10+minRetryAfter, back)
	}
	assert.Equal(t, totalRuns(backends...), 2)
}

// getResponse sends a request and returns the response without its body, and the time it took.
func getResponse(t *testing.T, url string) (*http.Response, time.Duration) {
	t.Helper()
	began := time.Now()
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp, time.Since(began)
}

// TestOperatorListsAndLiftsAdvice checks that lifted advice has no effect any more and that later
// advice has.
func TestOperatorListsAndLiftsAdvice(t *testing.T) {
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, newBackend(t, respondWith(http.StatusOK)), newBackend(t, respondWith(http.StatusOK)))
	waitReady(t, g)
	admin := "http://" + g.settings.ReadyListen
	first, second := exchangeTarget(g.state.Targets().Target("t0")), exchangeTarget(g.state.Targets().Target("t1"))
	leaving := exchange.ResponseHeader{Status: http.StatusOK, HasRequestID: true, Header: http.Header{headerNames.Leaving: {"1"}}}
	turnsAway := exchange.ResponseHeader{Status: http.StatusServiceUnavailable, Header: http.Header{header.RetryAfter: {"9"}}}
	g.handleResponseHeader(first, "r", leaving)
	g.handleResponseHeader(second, "r", turnsAway)

	var reports []advice.Report
	resp, err := http.Get(admin + advice.Path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&reports))
	assert.Equal(t, len(reports), 2)
	assert.Assert(t, reports[0].Target == "t0" && reports[0].LeavingSince != nil && reports[0].BackoffUntil == nil)
	assert.Assert(t, reports[1].Target == "t1" && reports[1].Service == "s" && reports[1].BackoffUntil != nil)

	lift := func(id fleet.TargetID) int {
		req, err := http.NewRequest(http.MethodDelete, admin+advice.Path+"/"+string(id), http.NoBody)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	time.Sleep(2 * time.Millisecond) // the advice must be older than its lifting
	for _, target := range []exchange.Target{first, second} {
		assert.Assert(t, !g.admits(target))
		assert.Equal(t, lift(target.ID), http.StatusNoContent)
		assert.Assert(t, g.admits(target))
		assert.Equal(t, lift(target.ID), http.StatusNotFound)
	}
	time.Sleep(2 * time.Millisecond)
	g.handleResponseHeader(first, "r", leaving)
	assert.Assert(t, !g.admits(first))
}
