package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/rejection"
	"github.com/clementinereel/clementinereel/retry/spending"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// rejecter is a service whose targets reject every request while it rejects, with a Retry-After if it has one.
type rejecter struct {
	retryAfter string
	rejecting  atomic.Bool
	accepted   atomic.Int32
}

func (s *rejecter) serve(w http.ResponseWriter, r *http.Request) {
	if s.rejecting.Load() {
		if s.retryAfter != "" {
			w.Header().Set(header.RetryAfter, s.retryAfter)
		}
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.accepted.Add(1)
	respondWith(http.StatusOK)(w, r)
}

// waitingDocument lets requests wait, on routes with a timeout of 2 s.
func waitingDocument(queueing bool) *document.Document {
	d := testDocument()
	d.Queueing = queueing
	for i := range d.Routes {
		d.Routes[i].Timeout = 2 * time.Second
	}
	return d
}

// launchRejecting starts an instance with three targets that reject requests.
func launchRejecting(t *testing.T, queueing bool, bounds waitqueue.Bounds) (string, *Gateway, *rejecter, context.CancelFunc) {
	s := new(rejecter)
	s.rejecting.Store(true)
	store := &fakeStore{document: waitingDocument(queueing)}
	store.addTargets(newBackend(t, s.serve), newBackend(t, s.serve), newBackend(t, s.serve))
	settings := testSettings(t)
	settings.Grace, settings.Waiting = time.Second, bounds
	url, g, stop := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	return url, g, s, stop
}

// believeRejecting makes the instance believe, by a heartbeat of another one, that the service rejects widely.
func believeRejecting(g *Gateway) {
	e := mesh.Rejections{Service: "s", Zone: "a", Tried: 7, Rejecting: 7}
	for range rejection.Slots {
		e.Attempts, e.Rejected = append(e.Attempts, 10), append(e.Rejected, 9)
	}
	g.waiting.handlePacket(time.Now(), &mesh.Packet{Addr: "127.0.0.1:1", Zone: "a", Boot: 1, Sequence: uint64(time.Now().UnixNano()), Heartbeat: true, Rejections: []mesh.Rejections{e}})
}

// believeUntil keeps the instance in its belief until the test or the context ends.
func believeUntil(ctx context.Context, g *Gateway) {
	believeRejecting(g)
	go func() {
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				believeRejecting(g)
			}
		}
	}()
}

func waitForWaiting(t *testing.T, g *Gateway, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.waiting.Len("s") == n {
			return poll.Success()
		}
		return poll.Continue("%d requests wait", g.waiting.Len("s"))
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(time.Millisecond))
}

// spendStock leaves the service's retry budget at the part that is kept.
func spendStock(g *Gateway) {
	for g.knowledge.SpendBudgetAbove(time.Now(), "s", spending.ReservedShare, true) { // until it refuses
	}
}

type reply struct {
	status int
	took   time.Duration
}

func sendAsync(ctx context.Context, t *testing.T, method, url string) <-chan reply {
	c := make(chan reply, 1)
	go func() {
		status, _, took := sendRequest(ctx, t, method, url)
		c <- reply{status, took}
	}()
	return c
}

// TestRejectedRequestIsRefusedAtOnceWithoutQueueing: documents without Queueing are served as before.
func TestRejectedRequestIsRefusedAtOnceWithoutQueueing(t *testing.T) {
	url, g, _, _ := launchRejecting(t, false, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < 500*time.Millisecond, "%v", took)
	assert.Equal(t, g.waiting.Len("s"), 0)
	assert.Equal(t, len(g.waiting.rejections.Own(time.Now())), 0)
}

// TestRequestWaitsUntilServiceRecovers names the pattern: a service rejects everything for a time, then nothing. A request that
// must not run twice is served once, and hears no more of the other instances.
func TestRequestWaitsUntilServiceRecovers(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	for range 100 {
		g.knowledge.RecordRequest(time.Now(), "s", true) // the pace after a recovery is a share of the load
	}
	ctx, recover := context.WithCancel(t.Context())
	believeUntil(ctx, g)
	spendStock(g)
	c := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 1)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, g.waiting.Len("s"), 1)
	s.rejecting.Store(false)
	recover()
	g.waiting.rejections.Apply(time.Now(), rejection.Sender{Name: "127.0.0.1:1", Boot: 2}, nil)
	for range 40 {
		g.waiting.rejections.Record(time.Now(), rejection.Key{Service: "s", Zone: "a"}, "t0", false)
	}
	got := <-c
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.took < 1500*time.Millisecond, "%v", got.took)
	assert.Equal(t, s.accepted.Load(), int32(1))
}

// keepLoad records other requests for the service until the test ends: the budget flows in with them.
func keepLoad(t *testing.T, g *Gateway) {
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-t.Context().Done():
				return
			case now := <-ticker.C:
				g.knowledge.RecordRequest(now, "s", true)
			}
		}
	}()
}

// TestFailedLookupWaitsForBudget names the pattern: a lookup fails at a target while the instance's part of the retry
// budget is spent, though the caller would wait. It is served by another target, and its failure is forwarded at once
// where requests do not wait.
func TestFailedLookupWaitsForBudget(t *testing.T) {
	for _, queueing := range []bool{false, true} {
		var failed atomic.Bool
		serve := func(w http.ResponseWriter, r *http.Request) {
			status := http.StatusOK
			if !failed.Swap(true) {
				status = http.StatusInternalServerError
			}
			respondWith(status)(w, r)
		}
		bs := []*backend{newBackend(t, serve), newBackend(t, serve)}
		store := &fakeStore{document: waitingDocument(queueing)}
		store.addTargets(bs...)
		url, g, _ := launch(t, testSettings(t), store, func(*Gateway) {})
		waitReady(t, g)
		for range 100 {
			g.knowledge.RecordRequest(time.Now(), "s", true) // what flows in is a share of the load
		}
		for g.knowledge.SpendBudgetAbove(time.Now(), "s", 0, true) { // until it refuses
		}
		keepLoad(t, g)
		status, _, took := sendRequest(t.Context(), t, "GET", url+"/get/1")
		if queueing {
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, totalRuns(bs...), 2)
			continue
		}
		assert.Equal(t, status, http.StatusInternalServerError)
		assert.Equal(t, totalRuns(bs...), 1)
		assert.Assert(t, took < 500*time.Millisecond, "%v", took)
	}
}

// TestWaitingRequestIsRefusedInTime: no request waits past its time.
func TestWaitingRequestIsRefusedInTime(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	spendStock(g)
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took > time.Second && took < 1600*time.Millisecond, "%v", took)
	assert.Equal(t, s.accepted.Load(), int32(0))
	assert.Equal(t, g.waiting.Len("s"), 0)
}

// TestUncoveredRequestIsRefusedAtOnce: with nothing in the budget no request waits for an attempt that will not come.
func TestUncoveredRequestIsRefusedAtOnce(t *testing.T) {
	url, g, _, _ := launchRejecting(t, true, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	for g.knowledge.SpendBudgetAbove(time.Now(), "s", 0, true) { // until it refuses
	}
	for range 10 {
		g.knowledge.Lend(time.Now(), "peer", []mesh.Loan{{Service: "s", Permille: permille}})
	}
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < 700*time.Millisecond, "%v", took)
}

// TestCallerLeavesWhileWaiting: a request whose caller has left gets no attempt later.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	spendStock(g)
	for _, path := range []string{"/buy/1", "/get/1"} {
		ctx, leave := context.WithCancel(t.Context())
		c := sendAsync(ctx, t, "POST", url+path)
		waitForWaiting(t, g, 1)
		leave()
		assert.Equal(t, (<-c).status, 0)
		waitForWaiting(t, g, 0)
	}
	s.rejecting.Store(false)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.accepted.Load(), int32(0))
}

// TestStopRefusesWhatItCannotServe: requests that wait when an instance stops and could not be served before its end are
// refused, and none is cut.
func TestStopRefusesWhatItCannotServe(t *testing.T) {
	url, g, s, stop := launchRejecting(t, true, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	spendStock(g)
	c := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 1)
	stop()
	got := <-c
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.took < time.Second, "%v", got.took)
	assert.Equal(t, s.accepted.Load(), int32(0))
}

// TestFullQueueRefusesLeastUrgent: the last in order gives way, as not run.
func TestFullQueueRefusesLeastUrgent(t *testing.T) {
	url, g, _, _ := launchRejecting(t, true, waitqueue.Bounds{Requests: 1})
	believeUntil(t.Context(), g)
	spendStock(g)
	first := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 1)
	second, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, second, http.StatusServiceUnavailable)
	assert.Assert(t, took < 500*time.Millisecond, "%v", took)
	assert.Equal(t, g.waiting.Len("s"), 1)
	assert.Equal(t, (<-first).status, http.StatusServiceUnavailable)
}

// TestRetriesLeaveRejectingZone names the pattern: the targets of one zone reject. Those of another zone are tried at once.
func TestRetriesLeaveRejectingZone(t *testing.T) {
	bad, good := new(rejecter), new(rejecter)
	bad.rejecting.Store(true)
	store := &fakeStore{document: waitingDocument(true)}
	store.addTargets(newBackend(t, bad.serve), newBackend(t, bad.serve), newBackend(t, bad.serve), newBackend(t, bad.serve), newBackend(t, bad.serve), newBackend(t, good.serve))
	store.entries[5].Zone = "b"
	url, g, _ := launch(t, testSettings(t), store, func(*Gateway) {})
	waitReady(t, g)
	believeUntil(t.Context(), g)
	for range 3 {
		status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, took < 500*time.Millisecond, "%v", took)
	}
	assert.Equal(t, good.accepted.Load(), int32(3))
	assert.Equal(t, g.waiting.Len("s"), 0)
}

// TestRejectingZoneIsTriedIfOthersAreOutOfReach: the targets of a zone that rejects most requests are better than none.
func TestRejectingZoneIsTriedIfOthersAreOutOfReach(t *testing.T) {
	var refused atomic.Bool
	accept := new(rejecter)
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !refused.Swap(true) {
			w.Header().Set(headerNames.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		accept.serve(w, r)
	}
	gone := newBackend(t, accept.serve)
	store := &fakeStore{document: waitingDocument(true)}
	store.addTargets(newBackend(t, serve), newBackend(t, serve), gone)
	store.entries[2].Zone = "b"
	gone.Close()
	url, g, _ := launch(t, testSettings(t), store, func(*Gateway) {})
	waitReady(t, g)
	believeUntil(t.Context(), g)
	status, _, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, accept.accepted.Load(), int32(1))
}

// TestRejectedRequestWithoutTimeIsNotSentAgain: an attempt that cannot end in time would turn a refusal into a timeout.
func TestRejectedRequestWithoutTimeIsNotSentAgain(t *testing.T) {
	slowly := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(250 * time.Millisecond)
		w.Header().Set(headerNames.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	bs := []*backend{newBackend(t, slowly), newBackend(t, slowly)}
	store := &fakeStore{document: waitingDocument(true)}
	store.addTargets(bs...)
	url, g, _ := launch(t, testSettings(t), store, func(*Gateway) {})
	waitReady(t, g)
	status, _, _ := sendRequestWithDeadline(t.Context(), t, "POST", url+"/buy/1", 300*time.Millisecond)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, totalRuns(bs...), 1)
	assert.Equal(t, g.waiting.Len("s"), 0)
}

// TestRequestsDoNotWaitForLongBackoff: where all targets ask for more time than the request has, it is refused at once.
func TestRequestsDoNotWaitForLongBackoff(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	s.retryAfter = "5"
	status, _, took := sendRequest(t.Context(), t, "POST", url+"/buy/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, took < 500*time.Millisecond, "%v", took)
	assert.Equal(t, g.waiting.Len("s"), 0)
}

// TestRequestGivenUpReturnsItsToken: a request that waited and was refused does not count towards its tenant's quota.
func TestRequestGivenUpReturnsItsToken(t *testing.T) {
	s := new(rejecter)
	s.rejecting.Store(true)
	d := tenantDocument(document.Tenant{Name: "a", Keys: []credential.Key{goodKey}, Rate: 1, Burst: 4})
	d.Queueing = true
	for i := range d.Routes {
		d.Routes[i].Timeout = 300 * time.Millisecond
	}
	store := &fakeStore{document: d}
	store.addTargets(newBackend(t, s.serve), newBackend(t, s.serve))
	settings := testSettings(t)
	settings.Keys = testKeys
	settings.Quota = quota.Bounds{Window: time.Second, Excess: 0.1, Slack: 2}
	url, g, _ := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	believeUntil(t.Context(), g)
	spendStock(g)
	send := func() int {
		status, _, _ := sendWithHeader(t, url+"/get/", http.Header{"Authorization": {"Token " + goodKey}})
		time.Sleep(2 * time.Millisecond) // so that the token is back
		return status
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if send() == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("a new process has no tokens yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	waited := g.metrics.Registry.Counter("gateway.waited", telemetry.Label{Key: "service", Value: "s"}, telemetry.Label{Key: "outcome", Value: string(spending.Expired)})
	assert.Equal(t, waited.Count(), int64(1))
	for i := range 8 {
		assert.Equal(t, send(), http.StatusServiceUnavailable, "%d", i) // hardly any token flows in meanwhile
	}
}

// TestRequestsWaitForTargetsThatRest names the pattern: all targets reject requests with a Retry-After of a second. Callers that have
// more time are served afterwards, the one that was rejected and one that was never sent.
func TestRequestsWaitForTargetsThatRest(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	s.retryAfter = "1"
	for range 100 {
		g.knowledge.RecordRequest(time.Now(), "s", true)
	}
	first := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 1)
	second := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 2)
	s.rejecting.Store(false)
	assert.Equal(t, (<-first).status, http.StatusOK)
	assert.Equal(t, (<-second).status, http.StatusOK)
	assert.Equal(t, s.accepted.Load(), int32(2))
}

// TestInstanceAloneGoesByItsOwnCounts: an instance that hears no others notices by its own attempts that a service rejects
// requests, and that it has recovered.
func TestInstanceAloneGoesByItsOwnCounts(t *testing.T) {
	url, g, s, _ := launchRejecting(t, true, waitqueue.Bounds{})
	var pending []<-chan reply
	for range 10 {
		pending = append(pending, sendAsync(t.Context(), t, "POST", url+"/buy/1"))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.waiting.rejections.State("s", zonesOf(g.state.Targets().Services["s"])).Wide {
			return poll.Success()
		}
		return poll.Continue("no belief")
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	s.rejecting.Store(false)
	time.Sleep(2 * rejection.SlotLength) // so that no slot has attempts from before and after
	for range 20 {
		status, _, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Assert(t, !g.waiting.rejections.State("s", zonesOf(g.state.Targets().Services["s"])).Wide)
	served := 0
	for _, c := range pending {
		if (<-c).status == http.StatusOK {
			served++
		}
	}
	assert.Equal(t, s.accepted.Load(), int32(20+served), "each runs once, those that are refused do not")
}

// TestOperatorListsWhatWaits: the admin address lists what waits for a service and how much of what is sent to it is rejected.
func TestOperatorListsWhatWaits(t *testing.T) {
	url, g, _, _ := launchRejecting(t, true, waitqueue.Bounds{})
	believeUntil(t.Context(), g)
	spendStock(g)
	c := sendAsync(t.Context(), t, "POST", url+"/buy/1")
	waitForWaiting(t, g, 1)
	resp, err := http.Get("http://" + g.settings.ReadyListen + spending.ReportPath)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var reports []spending.Report
	assert.NilError(t, json.Unmarshal(body, &reports))
	assert.Equal(t, len(reports), 1, string(body))
	assert.Assert(t, reports[0].Rejecting && reports[0].Zones[0].Rejections > 0, string(body))
	assert.Equal(t, reports[0].Ranks[0].Waiting, 1)
	counts := g.waiting.counts()
	assert.Equal(t, len(counts), 1)
	assert.Equal(t, counts[0], waitingCount{service: "s", rank: 0, waiting: 1})
	<-c
}

// TestRejectionsSurviveTheWire: what is encoded is decoded, and a datagram of an earlier or a broken version does no harm.
func TestRejectionsSurviveTheWire(t *testing.T) {
	r := rejection.Report{Key: rejection.Key{Service: "s", Zone: "a"}, Elapsed: 30 * time.Millisecond, Tried: 7, Rejecting: 1 << 63}
	r.Slots[0], r.Slots[rejection.Slots-1] = rejection.Counts{Attempts: 3, Rejections: 2}, rejection.Counts{Attempts: 1}
	assert.DeepEqual(t, decodeRejections(encodeRejections([]rejection.Report{r})), []rejection.Report{r})
	short := decodeRejections([]mesh.Rejections{{Service: "s", Attempts: []int{1, 2}, Rejected: []int{1}}})
	assert.Equal(t, short[0].Slots, [rejection.Slots]rejection.Counts{{Attempts: 1, Rejections: 1}})
	assert.Equal(t, len(decodeRejections(nil)), 0)
}
