package evidence

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
)

const (
	testService  = fleet.ServiceID("c/s")
	testInterval = 50 * time.Millisecond
)

// manualClock is a clock that moves only by advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	return c.now
}

// testFleet is a set of tables that call each other over loopback.
type testFleet struct {
	clock    manualClock
	tables   []*Table
	registry metrics.Registry
	urls     map[fleet.InstanceID]string
}

func instance(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%d", i)) }

// newTestFleet starts n tables; instance 0 aggregates.
func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{
		clock: manualClock{now: time.Unix(1_800_000_000, 0)}, registry: metrics.NewRegistry(),
		urls: map[fleet.InstanceID]string{},
	}
	roles := func(fleet.ServiceID) fleet.InstanceID { return instance(0) }
	for i := range n {
		sender := NewSender(http.DefaultClient, func(id fleet.InstanceID) string { return f.urls[id] })
		zone := fleet.Zone(fmt.Sprintf("z%d", i%3))
		// The timeout is long enough for a heavily loaded machine.
		table := NewTable(instance(i), zone, Settings{Timeout: time.Minute}, roles, sender, f.clock.Now, f.registry)
		mux := http.NewServeMux()
		mux.Handle(table.Handler())
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		t.Cleanup(table.Close)
		f.urls[instance(i)] = s.URL
		f.tables = append(f.tables, table)
	}
	for _, table := range f.tables {
		table.Set(testService, outlier.FromContract(testContract), f.targets(6))
	}
	return f
}

func (f *testFleet) targets(n int) []fleet.Target {
	ts := make([]fleet.Target, n)
	for i := range ts {
		ts[i] = fleet.Target{
			ID: fleet.TargetID(fmt.Sprintf("t%d", i)), Service: testService, State: fleet.Joined,
			Since: f.clock.Now().Add(-time.Hour),
		}
	}
	return ts
}

// sendTraffic lets every instance try every target in use once. If failing is
// set, target 3 fails.
func (f *testFleet) sendTraffic(failing bool) {
	for _, table := range f.tables {
		s := table.Get(testService)
		for i := range 6 {
			id := fleet.TargetID(fmt.Sprintf("t%d", i))
			if s.Snapshot().Weight(id) == 0 {
				continue
			}
			try := s.Start(id, f.clock.Now())
			if failing && i == 3 {
				s.Done(try, fleet.TryReset, time.Millisecond)
				continue
			}
			s.Done(try, fleet.TryOK, 20*time.Millisecond)
		}
	}
}

// tick advances the clock by testInterval, ticks all tables and waits until
// their reports have been delivered.
func (f *testFleet) tick(t *testing.T) {
	now := f.clock.advance(testInterval)
	for _, table := range f.tables {
		table.Tick(now)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, table := range f.tables {
			table.mu.RLock()
			busy := len(table.queues)
			table.mu.RUnlock()
			if busy > 0 {
				return poll.Continue("reports in flight")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func TestEjectionReachesEveryInstance(t *testing.T) {
	f := newTestFleet(t, 6)
	for range 40 {
		f.sendTraffic(false)
		f.tick(t)
	}
	for range 12 {
		f.sendTraffic(true)
		f.tick(t)
	}
	// Instances without traffic receive the verdict by announcement.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.tick(t)
		for _, table := range f.tables {
			st := table.Get(testService).Snapshot().Status("t3")
			if st.Phase != outlier.Ejected || st.Scope != outlier.ScopeFleet {
				return poll.Continue("%s: %v", table.self, st)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	for _, table := range f.tables {
		for _, id := range []fleet.TargetID{"t0", "t1", "t2", "t4", "t5"} {
			assert.Equal(t, table.Get(testService).Snapshot().Weight(id), 1.0)
		}
	}
	assert.Assert(t, metrics.GetOrRegisterCounter("evidence.targets.ejected", f.registry).Count() >= 6)
}

// lossy is a Sender whose reports fail while fail is set.
type lossy struct {
	mu   sync.Mutex
	fail bool
	got  [][]outlier.Report
}

func (l *lossy) Report(_ context.Context, _ fleet.InstanceID, rs []outlier.Report) ([]outlier.Verdicts, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail {
		return nil, errors.New("connection lost")
	}
	l.got = append(l.got, rs)
	return []outlier.Verdicts{{Service: testService, From: "a", Session: rs[0].Session, Ack: rs[0].Seq}}, nil
}

func (l *lossy) Announce(context.Context, fleet.InstanceID, []outlier.Verdicts) error { return nil }

func TestNextReportIncludesLostCounts(t *testing.T) {
	l := &lossy{fail: true}
	f := &testFleet{clock: manualClock{now: time.Unix(1_800_000_000, 0)}}
	table := NewTable("i", "z", Settings{}, func(fleet.ServiceID) fleet.InstanceID { return "a" }, l, f.clock.Now, nil)
	defer table.Close()
	f.tables = []*Table{table}
	s := table.Set(testService, outlier.FromContract(testContract), f.targets(6))
	for n := range 3 {
		l.mu.Lock()
		l.fail = n < 2
		l.mu.Unlock()
		s.Record("t1", fleet.TryReset, 0)
		f.clock.advance(time.Second)
		f.tick(t)
	}
	assert.Equal(t, len(l.got), 1)
	assert.Equal(t, l.got[0][0].Targets[0].Counts.Failed, uint32(3))
}

func TestNewerReportReplacesOlder(t *testing.T) {
	l := &peerQueue{}
	l.put([]outlier.Report{{Service: "a", Seq: 1}, {Service: "b", Seq: 1}})
	l.put([]outlier.Report{{Service: "a", Seq: 2}})
	assert.DeepEqual(t, l.waiting, []outlier.Report{{Service: "a", Seq: 2}, {Service: "b", Seq: 1}})
}

func TestMalformedReportIsRejected(t *testing.T) {
	f := newTestFleet(t, 1)
	c := peerv1connect.NewEvidenceServiceClient(http.DefaultClient, f.urls[instance(0)])
	for _, m := range []*peerv1.ReportRequest{
		{Reports: []*peerv1.ServiceReport{{Service: string(testService), Session: 1, Seq: 1}}},
		{From: "x", Reports: []*peerv1.ServiceReport{{Service: string(testService), Session: -1, Seq: 1}}},
		{From: "x", Reports: []*peerv1.ServiceReport{{Service: string(testService), Session: 1}}},
	} {
		_, err := c.Report(t.Context(), connect.NewRequest(m))
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	}
	unknown := &peerv1.ReportRequest{From: "x", Reports: []*peerv1.ServiceReport{{Service: "no/such", Session: 1, Seq: 1}}}
	resp, err := c.Report(t.Context(), connect.NewRequest(unknown))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Msg.Verdicts), 0)
	_, err = c.Announce(t.Context(), connect.NewRequest(&peerv1.AnnounceRequest{Verdicts: []*peerv1.ServiceVerdicts{{
		Service: string(testService), From: "x", Number: 1,
		Targets: []*peerv1.TargetVerdict{{Target: "t1", Phase: 99}, {Target: "none", Phase: 1}},
	}}}))
	assert.NilError(t, err)
	f.tick(t)
	assert.Equal(t, f.tables[0].Get(testService).Snapshot().Weight("t1"), 1.0)
}
