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

// testTimeout is the deadline of requests that are not expected to reach it.
const testTimeout = 20 * time.Second

// newService returns a service with one target per handler. Without handlers,
// its only target is leaving.
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
	conns := pool.New(pool.Config{ContinueTimeout: testTimeout})
	tb.Cleanup(conns.Close)
	set := upstream.NewSet(upstream.Env{Via: upstream.Via{Instance: "i-0", Zone: "a"}, Pool: conns, Evidence: table})
	members := balancer.NewMembers(balancer.Member{ID: "i-0", Zone: "a"}, nil)
	set.Update(time.Now(), view, members)
	table.Tick(time.Now())
	set.Tick(time.Now(), members)
	return set.Service(id)
}

// job returns a job of the class. An empty body means a request without one.
func job(class fleet.Class, body string) *Job {
	j := &Job{Policy: retry.Policy{Class: class, Attempts: 1}, Deadline: time.Now().Add(testTimeout)}
	one := strings.NewReader(body)
	j.NewRequest = func() *upstream.Request {
		req := &upstream.Request{
			Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: http.Header{},
			Length: int64(len(body)), MaxResponseBytes: 1 << 20,
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

// hedged lets j hedge immediately and returns it.
func hedged(j *Job) *Job {
	j.Policy.Attempts, j.Policy.Percent, j.Policy.HedgeAfter = 2, 100, time.Nanosecond
	return j
}

// retried allows j the given number of attempts and returns it.
func retried(j *Job, attempts int) *Job {
	j.Policy.Attempts, j.Policy.Percent = attempts, 100
	return j
}

func runJob(j *Job, svc *upstream.Service) upstream.Result {
	ctx, cancel := context.WithDeadline(context.Background(), j.Deadline)
	defer cancel()
	return Run(ctx, svc, j)
}

// echo responds with the request's body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// broken reads the request and closes the connection.
func broken(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// truncated returns a handler whose response ends before its Content-Length or,
// if chunked, before the last chunk.
func truncated(chunked bool) http.HandlerFunc {
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

// spoiled responds with a status that HTTP does not have.
func spoiled(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has disconnected
	}
	defer c.Close()
	_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")
}

// failing responds with status 500.
func failing(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusInternalServerError)
}

// refusing returns a handler that reports the request as not run without
// reading its body.
func refusing(word string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Target-Not-Run", word)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refusingLate refuses the request after it has read part of the body.
func refusingLate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadFull(r.Body, make([]byte, 1))
	refusing("shed")(w, r)
}

// assertResponse fails the test unless res is a successful response with body.
func assertResponse(t *testing.T, res *upstream.Result, body string) {
	t.Helper()
	assert.Equal(t, res.Try, fleet.TryOK, "%v", res.Err)
	assert.Assert(t, res.Response != nil)
	assert.Equal(t, string(res.Response.Body), body)
}
