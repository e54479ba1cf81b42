package spending

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// fakeAccount is a bucket that nothing flows into by itself.
type fakeAccount struct{ state pooled.Balance }

func (a *fakeAccount) Balance(time.Time) pooled.Balance { return a.state }

func (a *fakeAccount) SpendAbove(_ time.Time, share float64, _ int) bool {
	if a.state.Tokens < 1+share*a.state.Capacity {
		return false
	}
	a.state.Tokens--
	return true
}

func bucket(tokens, capacity float64) *fakeAccount {
	return &fakeAccount{pooled.Balance{Tokens: tokens, Capacity: capacity, RequestsPerSecond: 10}}
}

func newPlanner(requests int) *Planner {
	return New(Config{Bounds: waitqueue.Bounds{Requests: requests, Bytes: 1000}, ReservedShare: ReservedShare, Random: func() float64 { return 0.5 }})
}

func request(id uint64, lastStart time.Duration) waitqueue.Request {
	return waitqueue.Request{ID: id, LastStart: start.Add(lastStart)}
}

func TestRequestWaitsOnlyIfCovered(t *testing.T) {
	p, a := newPlanner(10), bucket(1.5, 8)
	ahead, out := p.Join(start, request(1, time.Second), a)
	assert.Equal(t, ahead, 0)
	assert.Equal(t, len(out), 0)
	_, out = p.Join(start, request(2, 2*time.Second), a)
	assert.Equal(t, out[0].Verdict, NotCovered)
	assert.Equal(t, p.Len(), 1)
	a.state.Inflow = 0.25
	_, out = p.Join(start, request(3, 2*time.Second), a)
	assert.Equal(t, len(out), 0, "what flows in within 2 s covers it")
	assert.Equal(t, RetryAfter(a.state, 2), 6*time.Second)
	assert.Equal(t, RetryAfter(a.state, 0), time.Duration(0))
}

func TestFullQueueDisplacesLast(t *testing.T) {
	p, a := newPlanner(1), bucket(8, 8)
	p.Join(start, request(1, 2*time.Second), a)
	_, out := p.Join(start, request(2, time.Second), a)
	assert.Equal(t, out[0].ID, uint64(1))
	assert.Equal(t, out[0].Verdict, Displaced)
}

func TestReserveIsKeptWhileRejecting(t *testing.T) {
	p, a := newPlanner(10), bucket(8, 8)
	for id := range uint64(8) {
		p.Join(start, request(id, time.Second), a)
	}
	out := p.Decide(start, true, a)
	assert.Equal(t, len(out), 4)
	for i, d := range out {
		assert.Equal(t, d.ID, uint64(i))
		assert.Equal(t, d.Verdict, Granted)
	}
	assert.Equal(t, len(p.Decide(start, true, a)), 0)
	a.state.Tokens++
	assert.Equal(t, len(p.Decide(start, true, a)), 1)
}

// TestReleaseIsPaced: after a recovery the requests that wait are released one after the other.
func TestReleaseIsPaced(t *testing.T) {
	p, a := newPlanner(10), bucket(8, 8)
	for id := range uint64(4) {
		p.Join(start, request(id, 5*time.Second), a)
	}
	interval := time.Duration(float64(time.Second) / (releaseShare * a.state.RequestsPerSecond))
	for n := range 4 {
		due := start.Add(time.Duration(n+1) * interval)
		assert.Equal(t, len(p.Decide(due.Add(-interval), false, a)), 0)
		assert.Equal(t, len(p.Decide(due, false, a)), 1, n)
	}
	assert.Equal(t, p.Len(), 0)
}

func TestLastStartGetsLastAttempt(t *testing.T) {
	for _, tc := range []struct {
		tokens    float64
		rejecting bool
		want      Verdict
	}{{6, true, Granted}, {4, true, Expired}, {4, false, Granted}} {
		p, a := newPlanner(10), bucket(tc.tokens, 8)
		p.cfg.Random = func() float64 { return 0.2 } // the first release is not due, but not far off
		p.Join(start, request(1, time.Second), a)
		out := p.Decide(start.Add(time.Second), tc.rejecting, a)
		assert.Equal(t, len(out), 1)
		assert.Equal(t, out[0].Verdict, tc.want)
		assert.Equal(t, p.Len(), 0)
	}
	p, a := newPlanner(10), bucket(1, 8)
	p.Join(start, request(1, time.Second), a)
	a.state.Tokens = 0
	assert.Equal(t, p.Decide(start.Add(time.Second), false, a)[0].Verdict, Expired)
}

func TestCallerThatLeavesIsForgotten(t *testing.T) {
	p, a := newPlanner(10), bucket(8, 8)
	p.Join(start, request(1, time.Second), a)
	assert.Assert(t, p.Leave(1))
	assert.Assert(t, !p.Leave(1))
	assert.Equal(t, len(p.Decide(start.Add(time.Second), true, a)), 0)
	assert.Equal(t, a.state.Tokens, 8.0, "nothing is spent for it")
}
