package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
)

func target(t *testing.T, b emulator.Behavior) *emulator.Server {
	t.Helper()
	s, err := emulator.Serve("127.0.0.1:0", emulator.Options{Slots: 64, Queue: 1000})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	assert.NilError(t, s.Set(b))
	return s
}

func instance(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

var mix = []Stream{
	{Class: fleet.Lookup, Path: "/prices?q=1", Rate: 200},
	{Class: fleet.Confirmation, Path: "/confirm", Rate: 100},
	{Class: fleet.Upload, Path: "/plans", Rate: 50, BodyBytes: 100_000},
}

func TestWholeAnswersBothWays(t *testing.T) {
	a, b := target(t, emulator.Behavior{}), target(t, emulator.Behavior{})
	rep, err := Run(context.Background(), Options{
		Instances: []string{a.URL()}, Targets: []string{a.URL(), b.URL()},
		Route: Both, Mix: mix, Duration: 500 * time.Millisecond, Poisson: true, Seed: 1,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(rep.Classes), 6)
	assert.Equal(t, len(rep.Added), 3)
	for _, c := range rep.Classes {
		assert.Equal(t, c.Ended[Whole], c.Operations, "%+v", c)
	}
	assert.Assert(t, rep.Audit.Keys > 20)
	assert.Assert(t, !rep.Broken())
	for _, format := range []string{Text, JSON, CSV} {
		var out strings.Builder
		assert.NilError(t, rep.Print(&out, format))
		assert.Assert(t, strings.Contains(out.String(), "lookup"))
	}
}

// TestFindsFaults drives asks at instances that break their promises.
func TestFindsFaults(t *testing.T) {
	sick := func(b emulator.Behavior) func(*testing.T) string {
		return func(t *testing.T) string { return target(t, b).URL() }
	}
	serve := func(h http.HandlerFunc) func(*testing.T) string {
		return func(t *testing.T) string { return instance(t, h) }
	}
	outcome := func(o fleet.Outcome) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.OperationOutcome, o.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, c := range []struct {
		name string
		url  func(*testing.T) string
		want Verdict
	}{
		{"cut", sick(emulator.Behavior{TruncatePercent: 100}), Truncated},
		{"cut in chunks", sick(emulator.Behavior{TruncatePercent: 100, TruncateChunked: true}), Truncated},
		{"reset", sick(emulator.Behavior{ResetPercent: 100}), Lost},
		{"hang", sick(emulator.Behavior{HangPercent: 100}), Lost},
		{"error", sick(emulator.Behavior{ErrorPercent: 100}), Failed},
		{"another's answer", serve(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(emulator.Answer{Nonce: "another"})
		}), Wrong},
		{"half an answer passed as whole", serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(`{"nonce":"` + r.Header.Get(emulator.HeaderNonce)))
		}), Wrong},
		{"not run", serve(outcome(fleet.NotRun)), NotRun},
		{"unknown", serve(outcome(fleet.Unknown)), Unknown},
		{"limited", serve(status(429)), Limited},
		{"unavailable", serve(status(503)), Unavailable},
		{"refused", serve(status(404)), Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rep, err := Run(context.Background(), Options{
				Instances: []string{c.url(t)}, Duration: time.Second, MaxOperations: 3,
				Mix: []Stream{{Class: fleet.Confirmation, Path: "/", Rate: 100, Timeout: time.Second}},
			})
			assert.NilError(t, err)
			got := rep.Class(fleet.Confirmation)
			assert.DeepEqual(t, got.Ended, map[Verdict]int{c.want: 3})
			assert.Equal(t, rep.Broken(), c.want == Wrong)
		})
	}
}

// TestRepeatsFindDoubledRuns lets two careless instances run a repeat again.
func TestRepeatsFindDoubledRuns(t *testing.T) {
	a, b := target(t, emulator.Behavior{HangPercent: 100, HangRuns: true}), target(t, emulator.Behavior{})
	rep, err := Run(context.Background(), Options{
		Instances: []string{a.URL(), b.URL()}, Targets: []string{a.URL(), b.URL()},
		Duration: time.Second, MaxOperations: 20,
		Mix: []Stream{{Class: fleet.Confirmation, Path: "/", Rate: 100, Patience: 20 * time.Millisecond, Repeats: 1}},
	})
	assert.NilError(t, err)
	got := rep.Class(fleet.Confirmation)
	assert.Equal(t, got.Ended[Whole], 20)
	assert.Equal(t, rep.Audit.Doubled, got.Asks-20)
	assert.Assert(t, rep.Audit.Doubled > 0 && rep.Broken())
}

func TestTicketNamesTheOperation(t *testing.T) {
	s := target(t, emulator.Behavior{})
	url := instance(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.Prefer) == "ticket" {
			w.Header().Set(header.OperationTicket, "t-"+r.Header.Get(emulator.HeaderNonce))
			return
		}
		s.Handler().ServeHTTP(w, r)
	})
	rep, err := Run(context.Background(), Options{
		Instances: []string{url}, Targets: []string{s.URL()}, Duration: time.Second, MaxOperations: 2,
		Mix: []Stream{{Class: fleet.Confirmation, Path: "/", Rate: 100, Tickets: true}},
	})
	assert.NilError(t, err)
	assert.Equal(t, rep.Class(fleet.Confirmation).Ended[Whole], 2)
	for key := range s.Runs() {
		assert.Assert(t, strings.HasPrefix(key, "t-"))
	}
}

func TestAuditOfNotRun(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	told := ask{sent: at(10), answered: at(20), verdict: NotRun}
	other := ask{sent: at(15), answered: at(30), verdict: Lost}
	for _, c := range []struct {
		name  string
		asks  []ask
		first int
		lied  bool
	}{
		{"never ran", []ask{told}, 0, false},
		{"ran before", []ask{told}, 15, true},
		{"ran later with nobody asking", []ask{told}, 25, true},
		{"another ask ran it later", []ask{told, other}, 25, false},
		{"ran after all were answered", []ask{told, other}, 35, true},
	} {
		run := emulator.Run{First: at(c.first).UnixNano()}
		if c.first > 0 {
			run.Started = 1
		}
		a := audit(map[string]outcome{"k": {asks: c.asks, verdict: NotRun}}, map[string]emulator.Run{"k": run})
		assert.Equal(t, a.FalseNotRun == 1, c.lied, c.name)
	}
}

func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	o := conclude(time.Unix(10, 0), []ask{
		{answered: time.Unix(14, 0), verdict: Whole}, {answered: time.Unix(12, 0), verdict: Whole}, {answered: time.Unix(11, 0), verdict: Failed},
	})
	assert.Equal(t, o.verdict, Whole)
	assert.Equal(t, o.latency, 2*time.Second)
}

func TestBalancer(t *testing.T) {
	b := newBalancer([]string{"a", "b", "c"}, []float64{3, 1, 0})
	r := rand.New(rand.NewPCG(1, 1))
	var n [3]int
	for range 4000 {
		n[b.pick(r, -1)]++
	}
	assert.Assert(t, n[2] == 0 && n[0] > 2800 && n[0] < 3200, "%v", n)
	assert.Equal(t, b.pick(r, 0), 1)
	b.ready[1].Store(false)
	assert.Equal(t, b.pick(r, 0), 0)
}

func TestRefusesBadOptions(t *testing.T) {
	for want, o := range map[string]Options{
		"loopback": {Instances: []string{"http://192.0.2.1"}},
		"base URL": {Instances: []string{"127.0.0.1:1"}},
		"instance": {},
		"weights":  {Instances: []string{"http://127.0.0.1:1"}, Weights: []float64{1, 2}},
		"targets":  {Route: Direct},
	} {
		o.Duration, o.Mix = time.Second, mix
		_, err := Run(context.Background(), o)
		assert.ErrorContains(t, err, want)
	}
}

func TestBoundsOperationsUnderWay(t *testing.T) {
	s := target(t, emulator.Behavior{HangPercent: 100})
	rep, err := Run(context.Background(), Options{
		Instances: []string{s.URL()}, Duration: 300 * time.Millisecond, MaxInFlight: 2,
		Mix: []Stream{{Class: fleet.Lookup, Path: "/", Rate: 100, Timeout: time.Second}},
	})
	assert.NilError(t, err)
	c := rep.Class(fleet.Lookup)
	assert.Equal(t, c.Operations, 2)
	assert.Assert(t, c.NotSent > 10 && c.NotSent <= 30, "%+v", c)
}
