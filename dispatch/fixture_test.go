package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/evidence"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/upstream"
)

// generous bounds requests whose end no test waits for.
const generous = 20 * time.Second

// newService returns a service whose targets are served by the handlers. With
// none, its one target is leaving.
func newService(tb testing.TB, targets ...http.Handler) *upstream.Service {
	tb.Helper()
	const id fleet.ServiceID = "daugava/main"
	view := &publication.View{
		Contracts: map[fleet.CustomerID]*publication.Published{"daugava": {Contract: contract.Contract{
			Customer: "daugava",
			Services: []contract.Service{{Name: "main", Slots: 64, Connections: 300}},
		}}},
		Targets: map[fleet.ServiceID][]fleet.Target{},
	}
	if len(targets) == 0 {
		view.Targets[id] = []fleet.Target{{ID: "gone", Service: id, Addr: "127.0.0.1:1", Zone: "a", State: fleet.Leaving}}
	}
	for k, h := range targets {
		srv := httptest.NewServer(h)
		tb.Cleanup(srv.Close)
		view.Targets[id] = append(view.Targets[id], fleet.Target{
			ID: fleet.TargetID(fmt.Sprintf("t-%d", k)), Service: id,
			Addr: strings.TrimPrefix(srv.URL, "http://"), Zone: "a", State: fleet.Joined,
		})
	}
	self := func(fleet.ServiceID) fleet.InstanceID { return "i-0" }
	table := evidence.NewTable("i-0", "a", evidence.Settings{}, self, nil, time.Now, nil)
	tb.Cleanup(table.Close)
	conns := pool.New(pool.Config{ContinueTimeout: generous})
	tb.Cleanup(conns.Close)
	set := upstream.NewSet(upstream.Env{Via: upstream.Via{Instance: "i-0", Zone: "a"}, Pool: conns, Evidence: table})
	members := balancer.NewMembers(balancer.Member{ID: "i-0", Zone: "a"}, nil)
	set.Update(time.Now(), view, members)
	table.Tick(time.Now())
	set.Tick(time.Now(), members)
	return set.Service(id)
}

// job is a request of a class with a body; an empty one has none.
func job(class fleet.Class, body string) *Job {
	j := &Job{Policy: retry.Policy{Class: class, Attempts: 1}, Deadline: time.Now().Add(generous)}
	one := strings.NewReader(body)
	j.NewRequest = func() *upstream.Request {
		req := &upstream.Request{
			Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{},
			Length: int64(len(body)), MaxAnswer: 1 << 20,
		}
		switch {
		case class == fleet.Upload:
			req.Body, req.OneBody = one, true
		case body != "":
			req.Body = strings.NewReader(body)
		}
		return req
	}
	return j
}

// hedged makes a job one that hedges at once.
func hedged(j *Job) *Job {
	j.Policy.Attempts, j.Policy.Percent, j.Policy.HedgeAfter = 2, 100, time.Nanosecond
	return j
}

// retried makes a job one that may retry.
func retried(j *Job, attempts int) *Job {
	j.Policy.Attempts, j.Policy.Percent = attempts, 100
	return j
}

func runJob(j *Job, svc *upstream.Service) upstream.Result {
	ctx, cancel := context.WithDeadline(context.Background(), j.Deadline)
	defer cancel()
	return Run(ctx, svc, j)
}

// echo answers with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// broken reads the request and breaks the connection.
func broken(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// cut answers with a part of what it announces, or with chunks that do not end.
func cut(chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !chunked {
			w.Header().Set("Content-Length", "1000")
		}
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// failing answers 500.
func failing(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusInternalServerError)
}

// refusing says that the request did not run, without reading its body.
func refusing(word string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Target-Not-Run", word)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refusingLate reads a part of the body before it refuses.
func refusingLate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadFull(r.Body, make([]byte, 1))
	refusing("shed")(w, r)
}

// answered fails unless the result is this whole answer.
func answered(t *testing.T, res *upstream.Result, body string) {
	t.Helper()
	assert.Equal(t, res.Try, fleet.TryOK, "%v", res.Err)
	assert.Assert(t, res.Answer != nil)
	assert.Equal(t, string(res.Answer.Body), body)
}
