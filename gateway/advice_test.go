package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
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
	var backends []*backend
	for range cases {
		backends = append(backends, newBackend(t, answer(http.StatusOK)))
	}
	_, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes()}, backends...)
	waitReady(t, g)
	for i, c := range cases {
		id := fleet.TargetID(fmt.Sprint("t", i))
		h := http.Header{names.Leaving: c.fields}
		g.heard(exchange.Target{ID: id}, "r", exchange.Head{Status: http.StatusOK, Header: h, Named: true})
		assert.Equal(t, g.state.Targets().Target(id) == nil, c.want, c.name)
	}
}

// saysLeaving serves, and says that the target leaves.
func saysLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Leaving, "1")
	answer(http.StatusOK)(w, r)
}

// TestATargetThatSaysThatItLeavesIsNotChosenAgain: from its first answer on it gets nothing from the instance that got it, its
// answer is passed on, and a service that has no other target refuses at once.
func TestATargetThatSaysThatItLeavesIsNotChosenAgain(t *testing.T) {
	leaver := newBackend(t, saysLeaving)
	elsewhere := registry.Entry{ID: "other", Service: "other", Addr: freeAddr(t), Zone: "a", Slots: 1}
	url, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes(), entries: []registry.Entry{elsewhere}}, leaver)
	waitReady(t, g)
	status, body, _ := ask(context.Background(), t, http.MethodGet, url+"/get/a")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole")
	for range 3 {
		status, _, took := ask(context.Background(), t, http.MethodGet, url+"/get/a")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, took < 100*time.Millisecond, took)
	}
	runs, _, _ := leaver.counts()
	assert.Equal(t, runs, 1)
}

// TestNothingIsSentToATargetThatLeftSinceItWasChosen: another one gets the request, and it costs no retry budget.
func TestNothingIsSentToATargetThatLeftSinceItWasChosen(t *testing.T) {
	backends := []*backend{newBackend(t, answer(http.StatusOK)), newBackend(t, answer(http.StatusOK))}
	url, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes()}, backends...)
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
	status, _, _ := ask(context.Background(), t, http.MethodGet, url+"/get/a")
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
