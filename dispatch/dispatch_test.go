package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/retry"
)

// sequence is a handler that serves the first request with one handler and all
// others with another, across all targets, and counts the requests.
type sequence struct {
	first, others http.HandlerFunc
	count         atomic.Int64
}

func (f *sequence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.count.Add(1) == 1 {
		f.first(w, r)
		return
	}
	f.others(w, r)
}

// TestTries covers each way in which a first try can end. A second try always
// succeeds.
func TestTries(t *testing.T) {
	cases := []struct {
		name  string
		class fleet.Class
		first http.HandlerFunc
		want  fleet.TryResult
		tries int64
	}{
		{"a lookup that is answered", fleet.Lookup, echo, fleet.TryOK, 1},
		{"a lookup that fails", fleet.Lookup, failing, fleet.TryOK, 2},
		{"a lookup whose connection breaks", fleet.Lookup, broken, fleet.TryOK, 2},
		{"a lookup whose answer is cut", fleet.Lookup, truncated(false), fleet.TryOK, 2},
		{"a lookup whose chunks are cut", fleet.Lookup, truncated(true), fleet.TryOK, 2},
		{"a lookup whose answer has no valid status", fleet.Lookup, spoiled, fleet.TryOK, 2},
		{"a lookup that is shed", fleet.Lookup, refusing("shed"), fleet.TryOK, 2},
		{"a lookup at a draining target", fleet.Lookup, refusing("draining"), fleet.TryOK, 2},
		{"a lookup at a cold target", fleet.Lookup, refusing("cold"), fleet.TryOK, 2},

		{"a confirmation that is answered", fleet.Confirmation, echo, fleet.TryOK, 1},
		{"a confirmation that fails", fleet.Confirmation, failing, fleet.TryError, 1},
		{"a confirmation whose connection breaks", fleet.Confirmation, broken, fleet.TryReset, 1},
		{"a confirmation whose answer is cut", fleet.Confirmation, truncated(false), fleet.TryTruncated, 1},
		{"a confirmation whose chunks are cut", fleet.Confirmation, truncated(true), fleet.TryTruncated, 1},
		{"a confirmation whose answer has no valid status", fleet.Confirmation, spoiled, fleet.TryTruncated, 1},
		{"a confirmation that is shed", fleet.Confirmation, refusing("shed"), fleet.TryOK, 2},
		{"a confirmation at a draining target", fleet.Confirmation, refusing("draining"), fleet.TryOK, 2},
		{"a confirmation at a cold target", fleet.Confirmation, refusing("cold"), fleet.TryOK, 2},

		{"an upload that is answered", fleet.Upload, echo, fleet.TryOK, 1},
		{"an upload that fails", fleet.Upload, failing, fleet.TryError, 1},
		{"an upload whose connection breaks", fleet.Upload, broken, fleet.TryReset, 1},
		{"an upload whose answer is cut", fleet.Upload, truncated(false), fleet.TryTruncated, 1},
		{"an upload whose chunks are cut", fleet.Upload, truncated(true), fleet.TryTruncated, 1},
		{"an upload whose answer has no valid status", fleet.Upload, spoiled, fleet.TryTruncated, 1},
		{"an upload that is shed unread", fleet.Upload, refusing("shed"), fleet.TryOK, 2},
		{"an upload at a draining target", fleet.Upload, refusing("draining"), fleet.TryOK, 2},
		{"an upload that is shed when begun", fleet.Upload, refusingLate, fleet.TryShed, 1},
	}
	for _, c := range cases {
		for _, body := range []string{"", "body", strings.Repeat("x", 100_000)} {
			if body == "" && c.class == fleet.Upload {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d bytes", c.name, len(body)), func(t *testing.T) {
				f := &sequence{first: c.first, others: echo}
				svc := newService(t, f, f)
				res := runJob(retried(job(c.class, body), 2), svc)
				assert.Equal(t, res.Try, c.want, "%v", res.Err)
				assert.Equal(t, f.count.Load(), c.tries)
				assert.Equal(t, HasResponse(&res), res.Response != nil && c.want != fleet.TryShed)
				if c.want == fleet.TryOK {
					assertResponse(t, &res, body)
				}
				assert.Assert(t, c.want != fleet.TryTruncated || res.Response == nil)
			})
		}
	}
}

// TestHedge checks that the hedge's response is returned when the first try
// hangs, and that the first try is cancelled at its target.
func TestHedge(t *testing.T) {
	cancelled := make(chan struct{})
	f := &sequence{others: echo, first: func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}}
	var added []retry.Action
	j := hedged(job(fleet.Lookup, ""))
	j.OnExtraTry = func(a retry.Action) { added = append(added, a) }
	res := runJob(j, newService(t, f, f))
	assertResponse(t, &res, "")
	assert.DeepEqual(t, added, []retry.Action{retry.Hedge})
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the first try was not cancelled")
	}
}

// TestHedgeUsesOtherTarget lets one of two targets hang: a hedge must not go to
// the target of its first try. With a single target no hedge starts.
func TestHedgeUsesOtherTarget(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for range 10 {
		svc := newService(t, http.HandlerFunc(hang), http.HandlerFunc(echo))
		for range 3 {
			j := hedged(job(fleet.Lookup, ""))
			j.Policy.HedgeAfter = 5 * time.Millisecond
			res := runJob(j, svc)
			assertResponse(t, &res, "")
		}
	}
	f := &sequence{others: echo, first: func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond) // time for a hedge to start
		echo(w, r)
	}}
	res := runJob(hedged(job(fleet.Lookup, "")), newService(t, f))
	assertResponse(t, &res, "")
	assert.Equal(t, f.count.Load(), int64(1))
}

// TestHedgeFailure lets the hedge fail while the first try still runs: the
// response of the first try is returned.
func TestHedgeFailure(t *testing.T) {
	failed := make(chan struct{})
	f := &sequence{
		first: func(w http.ResponseWriter, r *http.Request) { <-failed; echo(w, r) },
		others: func(w http.ResponseWriter, r *http.Request) {
			defer close(failed)
			failing(w, r)
		},
	}
	res := runJob(hedged(job(fleet.Lookup, "")), newService(t, f, f))
	assertResponse(t, &res, "")
	assert.Equal(t, f.count.Load(), int64(2))
}

// TestHedgeOverBudget runs two slow requests with a budget for one hedge. The
// other request gets the response of its first try.
func TestHedgeOverBudget(t *testing.T) {
	var count atomic.Int64
	both, hedge := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := count.Add(1); n {
		case 1, 2:
			if n == 2 {
				close(both)
			}
			<-both
			<-hedge
		case 3:
			close(hedge)
		}
		echo(w, r)
	})
	svc := newService(t, h, h, h)
	var wg sync.WaitGroup
	for _, body := range []string{"one", "two"} {
		wg.Go(func() {
			j := hedged(job(fleet.Lookup, body))
			j.Policy.Percent, j.Policy.HedgeAfter = 0, 50*time.Millisecond
			res := runJob(j, svc)
			assert.Check(t, res.Try == fleet.TryOK && string(res.Response.Body) == body, "%+v", res)
		})
	}
	wg.Wait()
	assert.Equal(t, count.Load(), int64(3))
}

// TestNoHedgeOfOtherClasses checks that only lookups are hedged, even if the
// policy of another class has a hedge delay.
func TestNoHedgeOfOtherClasses(t *testing.T) {
	for _, class := range []fleet.Class{fleet.Confirmation, fleet.Upload} {
		f := &sequence{others: echo, first: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // time for a hedge to start
			echo(w, r)
		}}
		res := runJob(hedged(job(class, "body")), newService(t, f, f))
		assertResponse(t, &res, "body")
		assert.Equal(t, f.count.Load(), int64(1))
	}
}

// TestLateResponsesReachNoOtherCaller runs many callers with overlapping tries,
// hedges, late responses and failures. Each caller must get the response to its
// own request.
func TestLateResponsesReachNoOtherCaller(t *testing.T) {
	var n atomic.Int64
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := n.Add(1)
		time.Sleep(time.Duration(k%4) * time.Millisecond)
		if k%5 == 0 {
			failing(w, r)
			return
		}
		echo(w, r)
	})
	svc := newService(t, h, h, h)
	var wg sync.WaitGroup
	var whole, hedges atomic.Int64
	for caller := range 20 {
		wg.Go(func() {
			for k := range 20 {
				nonce := fmt.Sprintf("%d-%d", caller, k)
				j := hedged(job(fleet.Lookup, nonce))
				j.OnExtraTry = func(a retry.Action) {
					if a == retry.Hedge {
						hedges.Add(1)
					}
				}
				res := runJob(j, svc)
				if res.Try != fleet.TryOK {
					continue
				}
				whole.Add(1)
				if got := string(res.Response.Body); got != nonce {
					t.Errorf("caller of %s got the response %q", nonce, got)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, whole.Load() > 0)
	assert.Assert(t, hedges.Load() > 0)
}

// TestCallerCancels cancels the caller's context: the try is cancelled at its
// target, counts as cancelled rather than failed, and is not retried.
func TestCallerCancels(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	f := &sequence{others: echo, first: func(_ http.ResponseWriter, r *http.Request) {
		leave()
		<-r.Context().Done()
	}}
	res := Run(ctx, newService(t, f, f), retried(job(fleet.Lookup, ""), 2))
	assert.Equal(t, res.Try, fleet.TryCanceled)
	assert.Equal(t, f.count.Load(), int64(1))
}

// TestBudget lets every try fail: the number of retries stays within the budget.
func TestBudget(t *testing.T) {
	f := &sequence{first: failing, others: failing}
	svc := newService(t, f, f, f)
	const requests = 100
	for range requests {
		j := retried(job(fleet.Lookup, ""), 3)
		j.Policy.Percent = 10
		runJob(j, svc)
	}
	assert.Assert(t, f.count.Load() > requests)
	assert.Assert(t, f.count.Load() <= requests+requests/10+1, "%d tries", f.count.Load())
}

// TestNoTarget sends a request to a service whose only target is leaving.
func TestNoTarget(t *testing.T) {
	res := runJob(job(fleet.Confirmation, "body"), newService(t))
	assert.Assert(t, res.NotRun())
	assert.Assert(t, res.Response == nil)
}
