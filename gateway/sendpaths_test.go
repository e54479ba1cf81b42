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

// suppression is an event after which a target must get no requests.
type suppression struct {
	name  string
	apply func(g *Gateway, id fleet.TargetID)
}

var suppressions = []suppression{
	{"announces leaving in a response", func(g *Gateway, id fleet.TargetID) { g.markLeaving(registry.Departure{ID: id}) }},
	{"sent Retry-After", func(g *Gateway, id fleet.TargetID) { g.knowledge.RecordBackoff(time.Now(), "s", id, time.Minute) }},
	{"announced a rate without a holder", func(g *Gateway, id fleet.TargetID) {
		g.rates.Leave()
		g.rates.recordNaming(targetrate.Announcement{Target: id, Rate: 1, At: time.Now()})
	}},
}

// sendPath is a code path by which a request is sent to a target.
type sendPath struct {
	name   string
	method string
	path   string
	// serve handles requests at the target that takes them.
	serve func(w http.ResponseWriter, r *http.Request)
	// setup runs before the requests are sent.
	setup func(g *Gateway)
}

var sendPaths = []sendPath{
	{name: "first", method: http.MethodGet, path: "/get/a", serve: respondWith(http.StatusOK)},
	{name: "first of a non-repeatable request", method: http.MethodPost, path: "/buy/a", serve: respondWith(http.StatusOK)},
	{name: "retry after a failure", method: http.MethodGet, path: "/get/a", serve: respondWith(http.StatusInternalServerError)},
	{name: "retry after a refusal", method: http.MethodPost, path: "/buy/a", serve: refuseRequest},
	{name: "hedge", method: http.MethodGet, path: "/get/a", serve: hang},
	{name: "trial for the floor", method: http.MethodGet, path: "/get/a", serve: respondWith(http.StatusOK), setup: reportServiceFailures},
}

// refuseRequest refuses a request without Retry-After.
func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNames.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reportServiceFailures records failures of the service, so that the instance tries unused targets for the floor.
func reportServiceFailures(g *Gateway) {
	for range 50 {
		g.knowledge.mu.Lock()
		g.knowledge.service("s").estimator.Observe(time.Now(), "elsewhere", suspicion.Failure, time.Now())
		g.knowledge.mu.Unlock()
	}
}

// A target that must get no requests gets none on any send path. Each path is tested with
// each suppression.
func TestSuppressedTargetsGetNoRequests(t *testing.T) {
	const targets, requests = 4, 4
	for _, event := range suppressions {
		for _, path := range sendPaths {
			t.Run(event.name+", "+path.name, func(t *testing.T) {
				t.Parallel()
				var unwanted atomic.Int32
				backends := []*backend{newBackend(t, path.serve)}
				for range targets - 1 {
					backends = append(backends, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
						unwanted.Add(1)
						respondWith(http.StatusOK)(w, r)
					}))
				}
				url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
				waitReady(t, g)
				for n := 1; n < targets; n++ {
					event.apply(g, fleet.TargetID(fmt.Sprint("t", n)))
				}
				if path.setup != nil {
					path.setup(g)
				}
				for range requests {
					sendRequest(context.Background(), t, path.method, url+path.path)
				}
				assert.Equal(t, unwanted.Load(), int32(0))
				runs, _, _ := backends[0].counts()
				assert.Assert(t, runs > 0, "nothing reached the target that takes requests")
			})
		}
	}
}

// A suppression between the selection of a target and the first byte sent still holds.
// Rates are excluded, as their tokens are requested during selection.
func TestSuppressionAfterSelectionHolds(t *testing.T) {
	for _, event := range suppressions[:2] {
		t.Run(event.name, func(t *testing.T) {
			t.Parallel()
			backends := []*backend{newBackend(t, respondWith(http.StatusOK)), newBackend(t, respondWith(http.StatusOK))}
			url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, backends...)
			waitReady(t, g)
			var chosen []fleet.TargetID
			admit := g.client.Admit
			g.client.Admit = func(target exchange.Target) bool {
				if len(chosen) == 0 {
					event.apply(g, target.ID)
				}
				chosen = append(chosen, target.ID)
				return admit(target)
			}
			status, _, _ := sendRequest(context.Background(), t, http.MethodPost, url+"/buy/a")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, len(chosen), 2)
			i := slices.IndexFunc(backends, func(b *backend) bool { runs, _, _ := b.counts(); return runs > 0 })
			assert.Equal(t, chosen[1], fleet.TargetID(fmt.Sprint("t", i)))
			assert.Equal(t, totalRuns(backends...), 1)
		})
	}
}
