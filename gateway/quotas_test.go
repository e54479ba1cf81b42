package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/registry"
)

const (
	quotaFleetSize = 6
	// quotaTestSeconds is for how long requests are sent.
	quotaTestSeconds = 4
	// quotaTestWindow is the window of the bound of quotas.
	quotaTestWindow = time.Second
	// bucketFillTime is how long after the start of a fleet its buckets hold tokens for some requests.
	bucketFillTime = 2 * time.Second
	// refuseHeader makes the target refuse a request without running it.
	refuseHeader = "X-Refuse"
)

// quotaFleet is a fleet of instances in two zones before one target that records the requests of each tenant.
type quotaFleet struct {
	gateways []*Gateway
	urls     []string
	stops    []context.CancelFunc
	mu       sync.Mutex
	runs     map[string][]time.Time
}

func newQuotaFleet(t *testing.T, tenants ...document.Tenant) *quotaFleet {
	f := &quotaFleet{runs: make(map[string][]time.Time)}
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(refuseHeader) != "" {
			w.Header().Set(headerNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.mu.Lock()
		tenant := r.Header.Get(tenantHeader)
		f.runs[tenant] = append(f.runs[tenant], time.Now())
		f.mu.Unlock()
		respondWith(http.StatusOK)(w, r)
	})
	entries := []registry.Entry{{ID: "t", Service: "s", Addr: b.Listener.Addr().String(), Zone: "a", Slots: 64}}
	seed := freeAddr(t)
	for n := range quotaFleetSize {
		s := testSettings(t)
		s.Instance, s.Zone, s.Seeds, s.Grace = fmt.Sprint("i", n), fleet.Zone("ab"[n%2:n%2+1]), []string{seed}, 200*time.Millisecond
		s.Keys = testKeys
		s.Quota = quota.Bounds{Window: quotaTestWindow, Excess: 0.1, Slack: 2}
		if n == 0 {
			s.PeerListen = seed
		}
		url, g, stop := launch(t, s, &fakeStore{document: tenantDocument(tenants...), entries: entries}, func(*Gateway) {})
		f.gateways, f.urls, f.stops = append(f.gateways, g), append(f.urls, url), append(f.stops, stop)
	}
	for _, g := range f.gateways {
		waitReady(t, g)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if v := g.node.View(); v.Instances() == quotaFleetSize && len(g.node.Contacts(1)) == 1 {
				return poll.Success()
			}
			return poll.Continue("not all instances are known")
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	time.Sleep(bucketFillTime)
	return f
}

// drive sends requests with the key for a path at a rate, each through the instance that pick returns, and returns how many
// responses had each status.
func (f *quotaFleet) drive(t *testing.T, key, path string, rate float64, duration time.Duration, pick func(i int) int) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var requests sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		requests.Go(func() {
			status, _, header := sendWithHeader(t, f.urls[pick(i)]+path, http.Header{"Authorization": {"Token " + key}})
			if status == http.StatusTooManyRequests {
				after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				assert.Check(t, err == nil && after > 0, "Retry-After: %q", header.Get("Retry-After"))
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(time.Until(start.Add(time.Duration(float64(i+1) / rate * float64(time.Second)))))
	}
	requests.Wait()
	return statuses
}

// takeRuns returns when the tenant's requests ran, and forgets them.
func (f *quotaFleet) takeRuns(tenant string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[tenant]
	delete(f.runs, tenant)
	return runs
}

// mostInWindow returns the largest number of runs, which are in order, within a window.
func mostInWindow(runs []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// TestQuotaHoldsOverAllInstances sends several times a tenant's quota through all instances or through one, and
// a calm tenant's requests beside it.
func TestQuotaHoldsOverAllInstances(t *testing.T) {
	const rate, burst = 40.0, 40.0
	f := newQuotaFleet(t,
		document.Tenant{Name: "hot", Keys: []credential.Key{goodKey}, Rate: rate, Burst: burst},
		document.Tenant{Name: "calm", Keys: []credential.Key{"calm"}, Rate: 20, Burst: 10},
		document.Tenant{Name: "free", Keys: []credential.Key{"free"}},
	)
	const (
		seconds = quotaTestSeconds
		// lastDenial is for how long a denial may keep what has accrued since from the last requests.
		lastDenial = 0.25
	)
	for name, pick := range map[string]func(int) int{
		"through all": func(i int) int { return i % quotaFleetSize },
		"through one": func(int) int { return 0 },
	} {
		calm := make(chan map[int]int)
		go func() {
			calm <- f.drive(t, "calm", "/get/", 10, seconds*time.Second, func(i int) int { return i % quotaFleetSize })
		}()
		statuses := f.drive(t, goodKey, "/get/", 6*rate, seconds*time.Second, pick)
		ran := f.takeRuns("hot")
		runs := float64(len(ran))
		most := float64(mostInWindow(ran, quotaTestWindow))
		assert.Assert(t, most <= (rate*quotaTestWindow.Seconds()+burst)*1.1+2+rate/4, "%s: %v ran in a window, %v", name, most, statuses)
		assert.Assert(t, runs >= 0.95*rate*(seconds-lastDenial), "%s: %v ran, %v", name, runs, statuses)
		assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], sum(statuses), "%s: %v", name, statuses)
		others := <-calm
		assert.Assert(t, others[http.StatusTooManyRequests] <= 1, "%s: calm tenant: %v", name, others)
	}
	free := f.drive(t, "free", "/get/", 100, time.Second, func(i int) int { return i % quotaFleetSize })
	assert.Equal(t, free[http.StatusOK], sum(free), "%v", free)
	f.checkReports(t)
}

func sum(counts map[int]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// checkReports checks what an instance reports to operators.
func (f *quotaFleet) checkReports(t *testing.T) {
	resp, err := http.Get("http://" + f.gateways[0].adminListener.Addr().String() + quota.Path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var reports []quota.Report
	assert.NilError(t, json.Unmarshal(body, &reports))
	assert.Equal(t, len(reports), 2, "%s", body)
	assert.Equal(t, reports[1].Tenant, document.TenantName("hot"))
	urgent := quota.RankReport{Rank: 0, Granted: reports[1].Granted, Denied: reports[1].Denied}
	assert.DeepEqual(t, reports[1].Ranks, []quota.RankReport{urgent})
	assert.Assert(t, reports[1].Granted > 0 && reports[1].Denied > 0 && len(reports[1].Holders) > 0, "%s", body)
}

// TestUrgentRoutesHaveTheQuotaFirst sends more than a tenant's quota steadily, most of it for a route that is less
// urgent.
func TestUrgentRoutesHaveTheQuotaFirst(t *testing.T) {
	const rate, seconds = 40.0, quotaTestSeconds
	f := newQuotaFleet(t, document.Tenant{Name: "hot", Keys: []credential.Key{goodKey}, Rate: rate, Burst: rate})
	anyInstance := func(i int) int { return i % quotaFleetSize }
	later := make(chan map[int]int)
	go func() { later <- f.drive(t, goodKey, "/later/", 2.5*rate, seconds*time.Second, anyInstance) }()
	urgent := f.drive(t, goodKey, "/get/", 0.5*rate, seconds*time.Second, anyInstance)
	others := <-later
	assert.Assert(t, float64(urgent[http.StatusOK]) >= 0.95*float64(sum(urgent)), "urgent %v, others %v", urgent, others)
	assert.Assert(t, others[http.StatusTooManyRequests] > 0, "%v", others)
	assert.Assert(t, float64(len(f.takeRuns("hot"))) >= 0.95*rate*seconds, "urgent %v, others %v", urgent, others)
}

// TestRequestThatDidNotRunCostsNoQuota guards callers whose requests targets refuse: they must not find their
// quota used up when the targets take requests again.
func TestRequestThatDidNotRunCostsNoQuota(t *testing.T) {
	f := newQuotaFleet(t, document.Tenant{Name: "a", Keys: []credential.Key{goodKey}, Rate: 5, Burst: 10})
	const requests = 60
	statuses := make(map[int]int)
	for i := range requests {
		status, _, _ := sendWithHeader(t, f.urls[i%quotaFleetSize]+"/get/", http.Header{"Authorization": {"Token " + goodKey}, refuseHeader: {"1"}})
		statuses[status]++
		time.Sleep(2 * time.Millisecond) // so that the token is back
	}
	assert.Equal(t, len(f.takeRuns("a")), 0)
	assert.Equal(t, statuses[http.StatusServiceUnavailable], requests, "%v", statuses)
}
