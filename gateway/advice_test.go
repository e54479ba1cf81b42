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

// TestWhoMaySayThatATargetLeaves: the field's one value, on any answer of the target to the request; what says nothing
// changes nothing.
func TestWhoMaySayThatATargetLeaves(t *testing.T) {
	cases := []struct {
		name   string
		fields []string
		want   bool
	}{
		{"says so", []string{"1"}, true},
		{"twice", []string{"1", "1"}, true},
		{"none", nil, false},
		{"zero", []string{"0"}, false},
		{"empty", []string{""}, false},
		{"a word", []string{"true"}, false},
		{"both", []string{"1", "0"}, false},
		{"long", []string{strings.Repeat("1", 1<<12)}, false},
	}
	backends := soundBackends(t, len(cases))
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	for i, c := range cases {
		id := fleet.TargetID(fmt.Sprint("t", i))
		h := http.Header{headerNames.Leaving: c.fields}
		g.heard(exchange.Target{ID: id}, "r", exchange.Head{Status: http.StatusOK, Header: h, Named: true})
		assert.Equal(t, g.state.Targets().Target(id) == nil, c.want, c.name)
	}
}

// soundBackends are targets that serve.
func soundBackends(t *testing.T, n int) []*backend {
	var backends []*backend
	for range n {
		backends = append(backends, newBackend(t, respondWith(http.StatusOK)))
	}
	return backends
}

// saysLeaving serves, and says that the target leaves.
func saysLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerNames.Leaving, "1")
	respondWith(http.StatusOK)(w, r)
}

// TestATargetThatSaysThatItLeavesIsNotChosenAgain: from its first answer on it gets nothing from the instance that got it, its
// answer is passed on, and a service that has no other target refuses at once.
func TestATargetThatSaysThatItLeavesIsNotChosenAgain(t *testing.T) {
	leaver := newBackend(t, saysLeaving)
	elsewhere := registry.Entry{ID: "other", Service: "other", Addr: freeAddr(t), Zone: "a", Slots: 1}
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument(), entries: []registry.Entry{elsewhere}}, leaver)
	waitReady(t, g)
	status, body, _ := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	for range 3 {
		status, _, took := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, took)
	}
	runs, _, _ := leaver.counts()
	assert.Equal(t, runs, 1)
}

// TestNothingIsSentToATargetThatLeftSinceItWasChosen: another one gets the request, and it costs no retry budget.
func TestNothingIsSentToATargetThatLeftSinceItWasChosen(t *testing.T) {
	backends := []*backend{newBackend(t, respondWith(http.StatusOK)), newBackend(t, respondWith(http.StatusOK))}
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	admits, left := g.client.Admit, make(chan exchange.Target, 1)
	g.client.Admit = func(target exchange.Target) bool {
		select {
		case left <- target:
			g.depart(registry.Departure{ID: target.ID})
		default:
		}
		return admits(target)
	}
	status, _, _ := sendRequest(context.Background(), t, http.MethodGet, url+"/get/a")
	assert.Equal(t, status, http.StatusOK)
	gone := <-left
	for i, b := range backends {
		if fleet.TargetID(fmt.Sprint("t", i)) == gone.ID {
			runs, _, _ := b.counts()
			assert.Equal(t, runs, 0)
		}
	}
	assert.Equal(t, totalRuns(backends...), 1)
	assert.Equal(t, g.metrics.BudgetRefused.Count(), int64(0))
}

// TestWhichRetryAfterCounts: any refusal may, with or without a proof, for it is only this instance that leaves the target alone, and for
// a bounded time; a process that has started since asked for nothing.
func TestWhichRetryAfterCounts(t *testing.T) {
	cases := []struct {
		name   string
		status int
		fields []string
		want   bool
	}{
		{"full", http.StatusServiceUnavailable, []string{"2"}, true},
		{"too many", http.StatusTooManyRequests, []string{"0.5"}, true},
		{"a failure", http.StatusInternalServerError, []string{"2"}, false},
		{"a success", http.StatusOK, []string{"2"}, false},
		{"no field", http.StatusServiceUnavailable, nil, false},
		{"no time", http.StatusServiceUnavailable, []string{"0"}, false},
		{"nonsense", http.StatusServiceUnavailable, []string{"1e300"}, false},
		{"two fields", http.StatusServiceUnavailable, []string{"2", "2"}, false},
		{"very long", http.StatusServiceUnavailable, []string{"99999999999"}, true},
	}
	backends := soundBackends(t, len(cases))
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
	waitReady(t, g)
	for i, c := range cases {
		target := at(g.state.Targets().Target(fleet.TargetID(fmt.Sprint("t", i))))
		earlier := target
		earlier.Born--
		h := exchange.Head{Status: c.status, Header: http.Header{header.RetryAfter: c.fields}}
		g.heard(earlier, "r", h)
		assert.Assert(t, g.admits(target), c.name)
		g.heard(target, "r", h)
		now := time.Now()
		assert.Equal(t, g.knowledge.BacksOff(now, target.ID), c.want, c.name)
		assert.Equal(t, g.admits(target), !c.want, c.name)
		assert.Assert(t, !g.knowledge.BacksOff(now.Add(longestBackoff+backoffJitterMost), target.ID), c.name)
		g.knowledge.Restarted(now, []fleet.TargetID{target.ID})
		assert.Assert(t, !g.knowledge.BacksOff(now, target.ID), c.name)
	}
}

// TestCallersLearnWhenTheFirstTargetIsBack: a service all targets of which turned this instance away refuses at once, and says when the first takes
// requests again.
func TestCallersLearnWhenTheFirstTargetIsBack(t *testing.T) {
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
		r, took := askOnce(t, url+"/get/a")
		assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, took)
		seconds, err := strconv.ParseFloat(r.Header.Get(header.RetryAfter), 64)
		assert.NilError(t, err)
		back := time.Duration(seconds * float64(time.Second))
		assert.Assert(t, back > 1200*time.Millisecond-time.Since(began) && back < 1200*time.Millisecond*11/10+minRetryAfter, back)
	}
	assert.Equal(t, totalRuns(backends...), 2)
}

// askOnce asks and returns the answer without its body.
func askOnce(t *testing.T, url string) (*http.Response, time.Duration) {
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

// TestAnOperatorListsAndLiftsWhatTargetsSay: what was lifted no longer holds, and what the target says afterwards does.
func TestAnOperatorListsAndLiftsWhatTargetsSay(t *testing.T) {
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, newBackend(t, respondWith(http.StatusOK)), newBackend(t, respondWith(http.StatusOK)))
	waitReady(t, g)
	admin := "http://" + g.settings.ReadyListen
	first, second := at(g.state.Targets().Target("t0")), at(g.state.Targets().Target("t1"))
	leaving := exchange.Head{Status: http.StatusOK, Named: true, Header: http.Header{headerNames.Leaving: {"1"}}}
	turnsAway := exchange.Head{Status: http.StatusServiceUnavailable, Header: http.Header{header.RetryAfter: {"9"}}}
	g.heard(first, "r", leaving)
	g.heard(second, "r", turnsAway)

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
	time.Sleep(2 * time.Millisecond) // what is lifted was said earlier
	for _, target := range []exchange.Target{first, second} {
		assert.Assert(t, !g.admits(target))
		assert.Equal(t, lift(target.ID), http.StatusNoContent)
		assert.Assert(t, g.admits(target))
		assert.Equal(t, lift(target.ID), http.StatusNotFound)
	}
	time.Sleep(2 * time.Millisecond)
	g.heard(first, "r", leaving)
	assert.Assert(t, !g.admits(first))
}
