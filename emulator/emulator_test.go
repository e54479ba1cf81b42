package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/header"
)

func start(t *testing.T, o Options) *Server {
	t.Helper()
	s, err := Serve("127.0.0.1:0", o)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func request(t *testing.T, s *Server, key string, h ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.URL()+"/confirm?x=1", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Header.Set(header.IdempotencyKey, key)
	req.Header.Set(HeaderNonce, "n-"+key)
	for i := 0; i+1 < len(h); i += 2 {
		req.Header.Set(h[i], h[i+1])
	}
	return req
}

// send returns the status, or 0 if no whole answer came.
func send(req *http.Request) (int, []byte, http.Header) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, data, resp.Header
	}
	return resp.StatusCode, data, resp.Header
}

func TestAnswerNamesItsRequest(t *testing.T) {
	s := start(t, Options{ID: "t-1", AnswerBytes: 100})
	status, data, _ := send(request(t, s, "k"))
	assert.Equal(t, status, http.StatusOK)
	var a Answer
	assert.NilError(t, json.Unmarshal(data, &a))
	a.Pad = ""
	assert.DeepEqual(t, a, Answer{
		Target: "t-1", Nonce: "n-k", Method: "POST", Path: "/confirm?x=1", Key: "k", Size: 4,
		SHA256: "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5",
	})
	assert.Equal(t, s.Runs()["k"].Completed, 1)
}

func TestBehaviors(t *testing.T) {
	for _, c := range []struct {
		name      string
		behavior  Behavior
		header    []string
		status    int
		notRun    string
		started   int
		completed int
	}{
		{name: "well", status: 200, started: 1, completed: 1},
		{name: "errors", behavior: Behavior{ErrorPercent: 100}, status: 500, started: 1, completed: 1},
		{name: "resets", behavior: Behavior{ResetPercent: 100}, started: 1, completed: 1},
		{name: "cut", behavior: Behavior{TruncatePercent: 100}, started: 1, completed: 1},
		{name: "cut in chunks", behavior: Behavior{TruncatePercent: 100, TruncateChunked: true}, started: 1, completed: 1},
		{name: "draining", behavior: Behavior{Draining: true}, status: 503, notRun: header.NotRunDraining},
		{name: "cold", behavior: Behavior{ColdFor: 1e12}, status: 503, notRun: header.NotRunCold},
		{name: "shed", behavior: Behavior{Shed: true}, status: 503, notRun: header.NotRunShed},
		{name: "sick for another zone", behavior: Behavior{ErrorPercent: 100, Zones: []string{"b"}},
			header: []string{header.ViaZone, "a"}, status: 200, started: 1, completed: 1},
		{name: "sick for this instance", behavior: Behavior{ErrorPercent: 100, Instances: []string{"i-1"}},
			header: []string{header.ViaInstance, "i-1"}, status: 500, started: 1, completed: 1},
		{name: "dies before", behavior: Behavior{Die: DieBefore}},
		{name: "dies during", behavior: Behavior{Die: DieDuring}, started: 1},
		{name: "dies after", behavior: Behavior{Die: DieAfter}, started: 1, completed: 1},
		{name: "dies in its answer", behavior: Behavior{Die: DieAnswer}, started: 1, completed: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := start(t, Options{})
			put(t, s, c.behavior)
			status, _, h := send(request(t, s, "k", c.header...))
			assert.Equal(t, status, c.status)
			assert.Equal(t, h.Get(header.TargetNotRun), c.notRun)
			run := s.Runs()["k"]
			assert.Equal(t, run.Started, c.started)
			assert.Equal(t, run.Completed, c.completed)
		})
	}
}

// put sets a behavior by HTTP.
func put(t *testing.T, s *Server, b Behavior) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, s.URL()+PathControl, bytes.NewReader(encode(b)))
	assert.NilError(t, err)
	status, data, _ := send(req)
	assert.Equal(t, status, http.StatusOK, string(data))
}

func TestDeadTargetRevives(t *testing.T) {
	s := start(t, Options{})
	put(t, s, Behavior{Die: DieBefore})
	for range 2 {
		status, _, _ := send(request(t, s, "k"))
		assert.Equal(t, status, 0)
	}
	assert.NilError(t, s.Revive())
	status, _, _ := send(request(t, s, "k"))
	assert.Equal(t, status, http.StatusOK)
}

// TestDeathDoesNotCloseRevivedTarget guards against a target that is gone again after its revival: its death, which
// closes the server in the background, came to the revived one.
func TestDeathDoesNotCloseRevivedTarget(t *testing.T) {
	const deaths = 200
	s := start(t, Options{})
	for n := range deaths {
		s.Kill()
		assert.NilError(t, s.Revive())
		time.Sleep(time.Millisecond)
		resp, err := http.Get(s.URL() + PathHealth)
		assert.NilError(t, err, "after death %d", n+1)
		_ = resp.Body.Close()
	}
}

func TestHangAnswersHealthOnly(t *testing.T) {
	s := start(t, Options{})
	put(t, s, Behavior{HangPercent: 100})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan int)
	go func() {
		status, _, _ := send(request(t, s, "k").WithContext(ctx))
		done <- status
	}()
	waitStats(t, s, func(st Stats) bool { return st.Sick["hang"] == 1 })
	health, err := http.Get(s.URL() + PathHealth)
	assert.NilError(t, err)
	health.Body.Close()
	assert.Equal(t, health.StatusCode, http.StatusOK)
	cancel()
	assert.Equal(t, <-done, 0)
	waitStats(t, s, func(st Stats) bool { return st.Canceled == 1 })
	assert.Equal(t, s.Runs()["k"].Started, 0)
}

func TestFullTargetShedsAndHonoursCancellation(t *testing.T) {
	s := start(t, Options{Slots: 1, Queue: 1, Service: ServiceTime{Mean: 1e12}})
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 2 {
		go send(request(t, s, fmt.Sprint(i)).WithContext(ctx))
	}
	waitStats(t, s, func(st Stats) bool { return st.Busy == 1 && st.Waiting == 1 })
	status, _, h := send(request(t, s, "shed"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, h.Get(header.TargetNotRun), header.NotRunShed)
	assert.Equal(t, h.Get("Retry-After"), "1")
	cancel()
	waitStats(t, s, func(st Stats) bool { return st.Busy == 0 && st.Waiting == 0 })
	status, _, _ = send(request(t, s, "late", header.RequestTimeout, "1"))
	assert.Equal(t, status, http.StatusGatewayTimeout)
}

func waitStats(t *testing.T, s *Server, ok func(Stats) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if st := s.Stats(); !ok(st) {
			return poll.Continue("stats: %+v", st)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func TestSchedules(t *testing.T) {
	b := Behavior{SickFor: 2, WellFor: 3, SlowFactor: 5, ColdFor: 10, WarmUpFor: 10, WarmUpFactor: 4}
	for _, c := range []struct {
		since time.Duration
		sick  bool
		slow  float64
		cold  string
	}{{0, true, 20, header.NotRunCold}, {3, false, 4, header.NotRunCold}, {11, true, 20, ""}, {20, true, 5, ""}, {24, false, 1, ""}} {
		sick := b.sick(c.since, nil)
		assert.Equal(t, sick, c.sick)
		assert.Equal(t, b.slowness(c.since, sick), c.slow)
		assert.Equal(t, b.refusal(c.since), c.cold)
	}
}

func TestControlRefusesNonsense(t *testing.T) {
	s := start(t, Options{})
	for _, doc := range []string{`{"hang_percent":101}`, `{"die":"never"}`, `{"unknown":1}`} {
		req, err := http.NewRequest(http.MethodPut, s.URL()+PathControl, strings.NewReader(doc))
		assert.NilError(t, err)
		status, _, _ := send(req)
		assert.Equal(t, status, http.StatusBadRequest)
	}
	_, err := New(Options{Service: ServiceTime{Shape: "square"}})
	assert.ErrorContains(t, err, "square")
}

func TestConnectionLimit(t *testing.T) {
	s := start(t, Options{Connections: 1, Service: ServiceTime{Mean: 1e12}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go send(request(t, s, "a").WithContext(ctx))
	waitStats(t, s, func(st Stats) bool { return st.Busy == 1 })
	status, _, _ := send(request(t, s, "b"))
	assert.Equal(t, status, 0)
	assert.Equal(t, s.Runs()["b"].Started, 0)
}
