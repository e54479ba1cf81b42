package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// readyInterval is the time between two reads of an instance's /readyz.
const readyInterval = 100 * time.Millisecond

// balancer spreads asks over base URLs by weight, as the platform's balancer
// does: only over those that are ready, if that is known.
type balancer struct {
	urls    []string
	weights []float64
	ready   []atomic.Bool
}

func newBalancer(urls []string, weights []float64) *balancer {
	b := &balancer{urls: urls, weights: weights, ready: make([]atomic.Bool, len(urls))}
	if len(weights) == 0 {
		b.weights = make([]float64, len(urls))
		for i := range b.weights {
			b.weights[i] = 1
		}
	}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pick returns the index of a URL. It avoids one index, -1 for none, if
// there is another, and those that are not ready, if one is.
func (b *balancer) pick(r *rand.Rand, avoid int) int {
	usable := func(i int) bool { return i != avoid && b.ready[i].Load() }
	if i := b.weighted(r, usable); i >= 0 {
		return i
	}
	if avoid >= 0 && b.ready[avoid].Load() {
		return avoid
	}
	return b.weighted(r, func(int) bool { return true })
}

// weighted draws among the usable indexes; -1 if there is none.
func (b *balancer) weighted(r *rand.Rand, usable func(int) bool) int {
	sum := 0.0
	for i, w := range b.weights {
		if usable(i) {
			sum += w
		}
	}
	x, last := r.Float64()*sum, -1
	for i, w := range b.weights {
		if !usable(i) || w <= 0 {
			continue
		}
		if x < w {
			return i
		}
		x -= w
		last = i
	}
	return last
}

// watch follows the instances' readiness until the context ends.
func (b *balancer) watch(ctx context.Context, client *http.Client, admin []string) {
	for i, url := range admin {
		b.ready[i].Store(isReady(ctx, client, url))
		go b.watchOne(ctx, client, i, url)
	}
}

func (b *balancer) watchOne(ctx context.Context, client *http.Client, i int, url string) {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.ready[i].Store(isReady(ctx, client, url))
		}
	}
}

func isReady(ctx context.Context, client *http.Client, admin string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
