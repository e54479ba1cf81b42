package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
	"github.com/clementinereel/clementinereel/targetrate"
)

// word is a way in which a target comes to get no requests.
type word struct {
	name string
	say  func(g *Gateway, id fleet.TargetID)
}

var words = []word{
	{"leaves by an answer", func(g *Gateway, id fleet.TargetID) { g.depart(registry.Departure{ID: id}) }},
	{"turned a request away", func(g *Gateway, id fleet.TargetID) { g.knowledge.TurnedAway(time.Now(), "s", id, time.Minute) }},
	{"names a rate that nobody hands out", func(g *Gateway, id fleet.TargetID) {
		g.rates.Leave()
		g.rates.learn(targetrate.Announcement{Target: id, Rate: 1, At: time.Now()})
	}},
}

// way is a way in which a request comes to a target beside the first one that is chosen.
type way struct {
	name   string
	method string
	path   string
	// takes is how the target behaves that takes requests.
	takes func(w http.ResponseWriter, r *http.Request)
	// before is done before the request is sent.
	before func(g *Gateway)
}

var ways = []way{
	{name: "first", method: http.MethodGet, path: "/get/a", takes: answer(http.StatusOK)},
	{name: "first of work that must not repeat", method: http.MethodPost, path: "/buy/a", takes: answer(http.StatusOK)},
	{name: "further after a failure", method: http.MethodGet, path: "/get/a", takes: answer(http.StatusInternalServerError)},
	{name: "further after a refusal", method: http.MethodPost, path: "/buy/a", takes: turnsAway},
	{name: "hedge", method: http.MethodGet, path: "/get/a", takes: hang},
	{name: "trial for the floor", method: http.MethodGet, path: "/get/a", takes: answer(http.StatusOK), before: failLately},
}

// turnsAway refuses a request, and asks for nothing.
func turnsAway(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failLately makes the instance believe that the service is in trouble, so that it looks for targets that nobody uses.
func failLately(g *Gateway) {
	for range 50 {
		g.knowledge.mu.Lock()
		g.knowledge.service("s").estimator.Observe(time.Now(), "elsewhere", suspicion.Failure, time.Now())
		g.knowledge.mu.Unlock()
	}
}

// TestNoWayLeadsToATargetThatTakesNothing: each way to send a request, by each word that keeps requests from a target.
func TestNoWayLeadsToATargetThatTakesNothing(t *testing.T) {
	const targets, requests = 4, 4
	for _, said := range words {
		for _, by := range ways {
			t.Run(said.name+", "+by.name, func(t *testing.T) {
				t.Parallel()
				var late atomic.Int32
				backends := []*backend{newBackend(t, by.takes)}
				for range targets - 1 {
					backends = append(backends, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
						late.Add(1)
						answer(http.StatusOK)(w, r)
					}))
				}
				url, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes()}, backends...)
				waitReady(t, g)
				for n := 1; n < targets; n++ {
					said.say(g, fleet.TargetID(fmt.Sprint("t", n)))
				}
				if by.before != nil {
					by.before(g)
				}
				for range requests {
					ask(context.Background(), t, by.method, url+by.path)
				}
				assert.Equal(t, late.Load(), int32(0))
				runs, _, _ := backends[0].counts()
				assert.Assert(t, runs > 0, "nothing reached the target that takes requests")
			})
		}
	}
}

// TestWhatIsSaidAfterTheChoiceHolds: each word that comes between the choice of a target and the first byte, but for rates,
// whose grants are asked for with the choice.
func TestWhatIsSaidAfterTheChoiceHolds(t *testing.T) {
	for _, said := range words[:2] {
		t.Run(said.name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{newBackend(t, answer(http.StatusOK)), newBackend(t, answer(http.StatusOK))}
			url, g, _ := launch(t, 200*time.Millisecond, &storeOf{document: routes()}, backends...)
			waitReady(t, g)
			var chosen []fleet.TargetID
			admits := g.client.Admit
			g.client.Admit = func(target exchange.Target) bool {
				if len(chosen) == 0 {
					said.say(g, target.ID)
				}
				chosen = append(chosen, target.ID)
				return admits(target)
			}
			status, _, _ := ask(context.Background(), t, http.MethodPost, url+"/buy/a")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, len(chosen), 2)
			i := slices.IndexFunc(backends, func(b *backend) bool { runs, _, _ := b.counts(); return runs > 0 })
			assert.Equal(t, chosen[1], fleet.TargetID(fmt.Sprint("t", i)))
			assert.Equal(t, totalRuns(backends...), 1)
		})
	}
}
