package waitqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
)

var now = time.Unix(1000, 0)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func ids(requests []Request) []uint64 {
	var all []uint64
	for _, r := range requests {
		all = append(all, r.ID)
	}
	return all
}

func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests []Request
		want     []uint64
	}{
		{"rank before loss", []Request{{ID: 1, Rank: 1, LastStart: after(10)}, {ID: 2, Rank: 0, LastStart: after(900)}}, []uint64{2, 1}},
		{"objective before none", []Request{{ID: 1, LastStart: after(10)}, {ID: 2, ObjectiveStart: after(500), LastStart: after(900)}}, []uint64{2, 1}},
		{"objective before passed objective", []Request{
			{ID: 1, ObjectiveStart: after(-1), LastStart: after(10)}, {ID: 2, ObjectiveStart: after(500), LastStart: after(900)}}, []uint64{2, 1}},
		{"nearest objective", []Request{{ID: 1, ObjectiveStart: after(300), LastStart: after(400)}, {ID: 2, ObjectiveStart: after(200), LastStart: after(900)}}, []uint64{2, 1}},
		{"nearest last start", []Request{{ID: 1, LastStart: after(400)}, {ID: 2, LastStart: after(300)}}, []uint64{2, 1}},
		{"first come", []Request{{ID: 2, LastStart: after(400)}, {ID: 1, LastStart: after(400)}}, []uint64{1, 2}},
	} {
		q := New(Bounds{Requests: 10, Bytes: 10})
		for _, r := range tc.requests {
			assert.Equal(t, len(q.Add(now, r)), 0)
		}
		assert.DeepEqual(t, ids(q.Ordered(now)), tc.want)
		for n, id := range tc.want {
			assert.Equal(t, q.Ahead(now, id), n, tc.name)
		}
	}
}

// TestQuietTenantPassesLoudOne: a tenant with many requests in the queue does not hold it.
func TestQuietTenantPassesLoudOne(t *testing.T) {
	q := New(Bounds{Requests: 200, Bytes: 1})
	for i := range 100 {
		q.Add(now, Request{ID: uint64(i), Tenant: "loud", LastStart: after(i)})
	}
	q.Add(now, Request{ID: 1000, Tenant: "quiet", LastStart: after(5000)})
	assert.Equal(t, q.Ahead(now, 1000), roundSize)
	for range roundSize {
		assert.Assert(t, q.Grant(now, q.Ordered(now)[0].ID))
	}
	assert.Equal(t, q.Ahead(now, 1000), 0)
	assert.Assert(t, q.Grant(now, 1000))
	assert.Equal(t, q.Ordered(now.Add(grantMemory))[0].Tenant, document.TenantName("loud"))
}

func TestWeightsDivideRounds(t *testing.T) {
	q := New(Bounds{Requests: 100, Bytes: 1})
	for i := range 40 {
		tenant, weight := document.TenantName("small"), 1.0
		if i%2 == 0 {
			tenant, weight = "large", 4
		}
		q.Add(now, Request{ID: uint64(i), Tenant: tenant, Weight: weight, LastStart: after(1000)})
	}
	large := 0
	for range 20 {
		r := q.Ordered(now)[0]
		q.Grant(now, r.ID)
		if r.Tenant == "large" {
			large++
		}
	}
	assert.Equal(t, large, 16)
}

func TestFullQueueDropsLastInOrder(t *testing.T) {
	q := New(Bounds{Requests: 2, Bytes: 100})
	q.Add(now, Request{ID: 1, Rank: 1, Bytes: 10, LastStart: after(1)})
	q.Add(now, Request{ID: 2, Rank: 0, Bytes: 10, LastStart: after(1)})
	assert.DeepEqual(t, ids(q.Add(now, Request{ID: 3, Rank: 2, LastStart: after(1)})), []uint64{3})
	assert.DeepEqual(t, ids(q.Add(now, Request{ID: 4, Rank: 0, LastStart: after(1)})), []uint64{1})
	assert.DeepEqual(t, ids(q.Add(now, Request{ID: 5, Rank: 0, Bytes: 95, LastStart: after(2)})), []uint64{5})
	assert.DeepEqual(t, ids(q.Ordered(now)), []uint64{2, 4})
	assert.Assert(t, q.Remove(2))
	assert.Assert(t, !q.Remove(2))
	assert.Assert(t, !q.Grant(now, 2))
	assert.Equal(t, q.Bytes(), int64(0))
}

// TestQueueKeepsItsBounds: whatever is added, granted and removed, the queue is bounded, its order is
// total and by rank, and within a rank no tenant has more than a round ahead of another's first request.
func TestQueueKeepsItsBounds(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 3))
		q := New(Bounds{Requests: 1 + rng.IntN(40), Bytes: int64(rng.IntN(2000))})
		at := now
		for id := range uint64(200) {
			at = at.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			q.Add(at, Request{
				ID: id, Rank: rng.IntN(3), Tenant: document.TenantName(fmt.Sprint(rng.IntN(4) * rng.IntN(2))), Bytes: int64(rng.IntN(100)),
				ObjectiveStart: at.Add(time.Duration(rng.IntN(500)) * time.Millisecond), LastStart: at.Add(time.Duration(rng.IntN(2000)) * time.Millisecond),
			})
			checkInvariants(t, q, at, seed)
			if q.Len() > 0 && rng.IntN(3) == 0 {
				assert.Assert(t, q.Grant(at, q.Ordered(at)[0].ID))
			}
			if rng.IntN(5) == 0 {
				q.Remove(uint64(rng.IntN(int(id) + 1)))
			}
		}
	}
}

func checkInvariants(t *testing.T, q *Queue, at time.Time, seed uint64) {
	ordered := q.Ordered(at)
	sum := int64(0)
	type share struct {
		tenant document.TenantName
		rank   int
	}
	before := make(map[share]int)
	for i, r := range ordered {
		sum += r.Bytes
		assert.Assert(t, i == 0 || ordered[i-1].Rank <= r.Rank, "seed %d", seed)
		first := before[share{r.Tenant, r.Rank}] == 0 && granted(q, r.Tenant) == 0
		for s, n := range before {
			assert.Assert(t, !first || s.rank != r.Rank || n <= roundSize, "seed %d: %d of %q before the first of %q", seed, n, s.tenant, r.Tenant)
		}
		before[share{r.Tenant, r.Rank}]++
	}
	assert.Equal(t, sum, q.Bytes())
	assert.Assert(t, sum <= q.bounds.Bytes && len(ordered) <= q.bounds.Requests, "seed %d", seed)
}

func granted(q *Queue, tenant document.TenantName) int {
	n := 0
	for _, g := range q.grants {
		if g.tenant == tenant {
			n++
		}
	}
	return n
}

// TestTooLargeRequestDisplacesNone: a request that cannot fit leaves the queue as it is, whatever its rank.
func TestTooLargeRequestDisplacesNone(t *testing.T) {
	q := New(Bounds{Requests: 10, Bytes: 100})
	for id := range uint64(5) {
		q.Add(now, Request{ID: id, Rank: 1, Bytes: 10, LastStart: now.Add(time.Second)})
	}
	large := Request{ID: 9, Bytes: 101, LastStart: now.Add(time.Second)}
	assert.DeepEqual(t, q.Add(now, large), []Request{large})
	assert.Equal(t, q.Len(), 5)
}
