package allowance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/ratelimit"
)

// BenchmarkTwoUsers runs 44 instances on loopback with one limiter for all
// customers: two customers with three routes each send at the full rate of their
// contracts, and one instance receives 30 % of the traffic.
func BenchmarkTwoUsers(b *testing.B) {
	const n, rate, seconds = 44, 200.0, 5
	routes := []ratelimit.LimitID{ratelimit.RouteID("x"), ratelimit.RouteID("y"), ratelimit.RouteID("z")}
	limits := ratelimit.Limits{{ID: ratelimit.CustomerWide, Rate: rate, Burst: rate}}
	for i, id := range routes {
		part := rate * []float64{0.6, 0.25, 0.15}[i]
		limits = append(limits, ratelimit.Limit{ID: id, Rate: part, Burst: part, Concurrency: 40})
	}
	source := func(fleet.CustomerID) (ratelimit.Limits, bool) { return limits, true }
	in := startFleet(b, n, source)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	for _, i := range in {
		go i.client.Run(ctx)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	passed := 0
	for b.Loop() {
		offer(in, rng, routes, 2*rate, 6*time.Second)
		first, last := in[0].transport.Stats(), in[n-1].transport.Stats()
		passed = offer(in, rng, routes, 2*rate, seconds*time.Second)
		report := func(name string, before int64, after int64) {
			b.ReportMetric(float64(after-before)/seconds, name)
		}
		now := in[0].transport.Stats()
		report("B/s_limiter", first.BytesIn+first.BytesOut, now.BytesIn+now.BytesOut)
		report("calls/s_limiter", first.CallsIn, now.CallsIn)
		now = in[n-1].transport.Stats()
		report("B/s_other", last.BytesIn+last.BytesOut, now.BytesIn+now.BytesOut)
		report("calls/s_other", last.CallsOut, now.CallsOut)
	}
	b.ReportMetric(float64(passed)/(2*rate*seconds), "of_due")
}

// offer sends requests with exponentially distributed intervals and returns the
// number admitted.
func offer(in []*testInstance, rng *rand.Rand, routes []ratelimit.LimitID, rate float64, span time.Duration) int {
	passed, start := 0, time.Now()
	next := start
	for next.Sub(start) < span {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		i := 0
		if rng.Float64() > 0.3 {
			i = 1 + rng.IntN(len(in)-1)
		}
		route := routes[0]
		switch p := rng.Float64(); {
		case p > 0.85:
			route = routes[2]
		case p > 0.6:
			route = routes[1]
		}
		customer := fleet.CustomerID(fmt.Sprintf("customer-%d", rng.IntN(2)))
		d := in[i].client.Table().Take(time.Now(), customer, route)
		if d.OK {
			passed++
			time.AfterFunc(20*time.Millisecond, func() { d.Done(time.Now()) })
		}
	}
	return passed
}
