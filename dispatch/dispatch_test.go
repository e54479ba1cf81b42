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

// firstTime serves the first request by one handler and all others by another,
// whichever target they come to, and counts the requests.
type firstTime struct {
	first, others http.HandlerFunc
	count         atomic.Int64
}

func (f *firstTime) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.count.Add(1) == 1 {
		f.first(w, r)
		return
	}
	f.others(w, r)
}

// TestTries brings about each way in which a first try ends. The second
// target always answers well.
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
		{"a lookup whose answer is cut", fleet.Lookup, cut(false), fleet.TryOK, 2},
		{"a lookup whose chunks are cut", fleet.Lookup, cut(true), fleet.TryOK, 2},
		{"a lookup that is shed", fleet.Lookup, refusing("shed"), fleet.TryOK, 2},
		{"a lookup at a draining target", fleet.Lookup, refusing("draining"), fleet.TryOK, 2},
		{"a lookup at a cold target", fleet.Lookup, refusing("cold"), fleet.TryOK, 2},

		{"a confirmation that is answered", fleet.Confirmation, echo, fleet.TryOK, 1},
		{"a confirmation that fails", fleet.Confirmation, failing, fleet.TryError, 1},
		{"a confirmation whose connection breaks", fleet.Confirmation, broken, fleet.TryReset, 1},
		{"a confirmation whose answer is cut", fleet.Confirmation, cut(false), fleet.TryTruncated, 1},
		{"a confirmation whose chunks are cut", fleet.Confirmation, cut(true), fleet.TryTruncated, 1},
		{"a confirmation that is shed", fleet.Confirmation, refusing("shed"), fleet.TryOK, 2},
		{"a confirmation at a draining target", fleet.Confirmation, refusing("draining"), fleet.TryOK, 2},
		{"a confirmation at a cold target", fleet.Confirmation, refusing("cold"), fleet.TryOK, 2},

		{"an upload that is answered", fleet.Upload, echo, fleet.TryOK, 1},
		{"an upload that fails", fleet.Upload, failing, fleet.TryError, 1},
		{"an upload whose connection breaks", fleet.Upload, broken, fleet.TryReset, 1},
		{"an upload whose answer is cut", fleet.Upload, cut(false), fleet.TryTruncated, 1},
		{"an upload whose chunks are cut", fleet.Upload, cut(true), fleet.TryTruncated, 1},
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
				f := &firstTime{first: c.first, others: echo}
				svc := newService(t, f, f)
				res := runJob(retried(job(c.class, body), 2), svc)
				assert.Equal(t, res.Try, c.want, "%v", res.Err)
				assert.Equal(t, f.count.Load(), c.tries)
				assert.Equal(t, Answered(&res), res.Answer != nil && c.want != fleet.TryShed)
				if c.want == fleet.TryOK {
					answered(t, &res, body)
				}
				assert.Assert(t, c.want != fleet.TryTruncated || res.Answer == nil)
			})
		}
	}
}

// TestHedge lets the first try hang at its target. The answer comes from the
// second target, and the first sees its try cancelled.
func TestHedge(t *testing.T) {
	cancelled := make(chan struct{})
	f := &firstTime{others: echo, first: func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}}
	var added []retry.Action
	j := hedged(job(fleet.Lookup, ""))
	j.Added = func(a retry.Action) { added = append(added, a) }
	res := runJob(j, newService(t, f, f))
	answered(t, &res, "")
	assert.DeepEqual(t, added, []retry.Action{retry.Hedge})
	select {
	case <-cancelled:
	case <-time.After(generous):
		t.Fatal("the first try was not cancelled")
	}
}

// TestHedgeGoesElsewhere has one target of two hang for good: a hedge never
// joins its first try there. Where there is one target only, none begins.
func TestHedgeGoesElsewhere(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for range 10 {
		svc := newService(t, http.HandlerFunc(hang), http.HandlerFunc(echo))
		for range 3 {
			j := hedged(job(fleet.Lookup, ""))
			j.Policy.HedgeAfter = 5 * time.Millisecond
			res := runJob(j, svc)
			answered(t, &res, "")
		}
	}
	f := &firstTime{others: echo, first: func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond) // lets a hedge begin, if there is one
		echo(w, r)
	}}
	res := runJob(hedged(job(fleet.Lookup, "")), newService(t, f))
	answered(t, &res, "")
	assert.Equal(t, f.count.Load(), int64(1))
}

// TestHedgeFailure lets the hedge fail while the first try still runs: the
// first try's answer counts.
func TestHedgeFailure(t *testing.T) {
	failed := make(chan struct{})
	f := &firstTime{
		first: func(w http.ResponseWriter, r *http.Request) { <-failed; echo(w, r) },
		others: func(w http.ResponseWriter, r *http.Request) {
			defer close(failed)
			failing(w, r)
		},
	}
	res := runJob(hedged(job(fleet.Lookup, "")), newService(t, f, f))
	answered(t, &res, "")
	assert.Equal(t, f.count.Load(), int64(2))
}

// TestHedgeOverBudget has two slow requests and a budget for one hedge. The
// other gets the answer to its first try.
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
			assert.Check(t, res.Try == fleet.TryOK && string(res.Answer.Body) == body, "%+v", res)
		})
	}
	wg.Wait()
	assert.Equal(t, count.Load(), int64(3))
}

// TestNoHedgeOfOtherClasses sets a hedge up for classes that have none.
func TestNoHedgeOfOtherClasses(t *testing.T) {
	for _, class := range []fleet.Class{fleet.Confirmation, fleet.Upload} {
		f := &firstTime{others: echo, first: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // lets a hedge begin, if there is one
			echo(w, r)
		}}
		res := runJob(hedged(job(class, "body")), newService(t, f, f))
		answered(t, &res, "body")
		assert.Equal(t, f.count.Load(), int64(1))
	}
}

// TestLateAnswersReachNobodyElse has many callers whose tries overlap, with
// hedges, late and failed answers. Each gets the answer to its own request.
func TestLateAnswersReachNobodyElse(t *testing.T) {
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
				j.Added = func(a retry.Action) {
					if a == retry.Hedge {
						hedges.Add(1)
					}
				}
				res := runJob(j, svc)
				if res.Try != fleet.TryOK {
					continue
				}
				whole.Add(1)
				if got := string(res.Answer.Body); got != nonce {
					t.Errorf("caller of %s got the answer %q", nonce, got)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, whole.Load() > 0)
	assert.Assert(t, hedges.Load() > 0)
}

// TestCallerLeaves ends the caller's context: the try is cancelled at its
// target and speaks against nobody.
func TestCallerLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	f := &firstTime{others: echo, first: func(_ http.ResponseWriter, r *http.Request) {
		leave()
		<-r.Context().Done()
	}}
	res := Run(ctx, newService(t, f, f), retried(job(fleet.Lookup, ""), 2))
	assert.Equal(t, res.Try, fleet.TryCanceled)
	assert.Equal(t, f.count.Load(), int64(1))
}

// TestBudget lets every try fail: what is added stays within the budget.
func TestBudget(t *testing.T) {
	f := &firstTime{first: failing, others: failing}
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

// TestNoTarget sends to a service whose only target is leaving.
func TestNoTarget(t *testing.T) {
	res := runJob(job(fleet.Confirmation, "body"), newService(t))
	assert.Assert(t, res.Unrun())
	assert.Assert(t, res.Answer == nil)
}
