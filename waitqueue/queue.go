package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
)

const (
	// roundSize is the number of requests that the tenant with the largest weight has in a round.
	roundSize = 4
	// grantMemory is the time for which granted requests count towards the rounds of their tenant.
	grantMemory = 2 * time.Second
)

// Bounds limit a queue.
type Bounds struct {
	Requests int
	Bytes    int64
}

// Request is a request that waits.
type Request struct {
	// ID identifies the request in the queue.
	ID uint64
	// Rank is the priority of the tenant or, if it has none, of the route, unlike that of package quota; 0 is the
	// most urgent.
	Rank   int
	Tenant document.TenantName
	// Weight is the tenant's share; values that are not positive count as 1.
	Weight float64
	Bytes  int64
	// Since is when the request began to wait.
	Since time.Time
	// ObjectiveStart is the last start of an attempt that meets the objective; zero if there is none.
	ObjectiveStart time.Time
	// LastStart is the last start of an attempt that is of use.
	LastStart time.Time
}

// grant is a request of a tenant that left the queue for an attempt.
type grant struct {
	tenant document.TenantName
	at     time.Time
}

// Queue holds the requests that wait. It is not safe for concurrent use.
type Queue struct {
	bounds  Bounds
	waiting []Request
	bytes   int64
	grants  []grant
}

// New returns an empty queue.
func New(b Bounds) *Queue { return &Queue{bounds: b} }

// Len returns the number of requests that wait, Bytes their size.
func (q *Queue) Len() int { return len(q.waiting) }

// Bytes returns the size of the requests that wait.
func (q *Queue) Bytes() int64 { return q.bytes }

// Add adds a request. It returns those that it removed since the queue was full, which may include the new one.
func (q *Queue) Add(now time.Time, r Request) (removed []Request) {
	if r.Bytes > q.bounds.Bytes {
		return []Request{r}
	}
	q.waiting = append(q.waiting, r)
	q.bytes += r.Bytes
	for len(q.waiting) > q.bounds.Requests || q.bytes > q.bounds.Bytes {
		ordered := q.Ordered(now)
		last := ordered[len(ordered)-1]
		q.Remove(last.ID)
		removed = append(removed, last)
	}
	return removed
}

// Remove removes a request and reports whether it waited.
func (q *Queue) Remove(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.bytes -= q.waiting[i].Bytes
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Grant removes a request that gets an attempt and counts it for its tenant.
func (q *Queue) Grant(now time.Time, id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.expireGrants(now)
	q.grants = append(q.grants, grant{q.waiting[i].Tenant, now})
	return q.Remove(id)
}

func (q *Queue) expireGrants(now time.Time) {
	q.grants = slices.DeleteFunc(q.grants, func(g grant) bool { return now.Sub(g.at) >= grantMemory })
}

// Ahead returns how many requests are to be tried before one that waits; -1 if it does not wait.
func (q *Queue) Ahead(now time.Time, id uint64) int {
	return slices.IndexFunc(q.Ordered(now), func(r Request) bool { return r.ID == id })
}

// FirstRank returns the rank of the first request in order, without ordering the others. The queue must not be empty.
func (q *Queue) FirstRank() int {
	first := q.waiting[0].Rank
	for i := range q.waiting {
		first = min(first, q.waiting[i].Rank)
	}
	return first
}

// Position returns how many requests are to be tried before one that does not wait yet.
func (q *Queue) Position(now time.Time, r Request) int {
	with := &Queue{bounds: q.bounds, waiting: append(slices.Clone(q.waiting), r), grants: q.grants}
	return with.Ahead(now, r.ID)
}

// Expired returns the requests whose last start has come, in order.
func (q *Queue) Expired(now time.Time) []Request {
	expired := func(r Request) bool { return !now.Before(r.LastStart) }
	if !slices.ContainsFunc(q.waiting, expired) {
		return nil
	}
	return slices.DeleteFunc(q.Ordered(now), func(r Request) bool { return !expired(r) })
}

// Ordered returns the requests in the order in which they are to be tried.
func (q *Queue) Ordered(now time.Time) []Request {
	q.expireGrants(now)
	ordered := slices.Clone(q.waiting)
	slices.SortFunc(ordered, func(a, b Request) int { return compareDeadlines(now, &a, &b) })
	rounds := q.rounds(ordered)
	slices.SortStableFunc(ordered, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(rounds[a.ID], rounds[b.ID]))
	})
	return ordered
}

// rounds returns the round of each request, for requests in order of their deadlines.
func (q *Queue) rounds(ordered []Request) map[uint64]int {
	largest := 0.0
	for i := range ordered {
		largest = max(largest, ordered[i].weight())
	}
	type share struct {
		tenant document.TenantName
		rank   int
	}
	granted := make(map[document.TenantName]int)
	for _, g := range q.grants {
		granted[g.tenant]++
	}
	before := make(map[share]int)
	rounds := make(map[uint64]int, len(ordered))
	for i := range ordered {
		r := &ordered[i]
		s := share{r.Tenant, r.Rank}
		size := max(roundSize*r.weight()/largest, 1)
		rounds[r.ID] = int(float64(granted[r.Tenant]+before[s]) / size)
		before[s]++
	}
	return rounds
}

func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// compareDeadlines orders requests of one rank and round by deadline. Requests that can still meet their
// objective come before those that cannot or have none.
func compareDeadlines(now time.Time, a, b *Request) int {
	aMeets, bMeets := a.meetsObjective(now), b.meetsObjective(now)
	switch {
	case aMeets && !bMeets:
		return -1
	case bMeets && !aMeets:
		return 1
	case aMeets:
		return cmp.Or(a.ObjectiveStart.Compare(b.ObjectiveStart), a.LastStart.Compare(b.LastStart), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(a.LastStart.Compare(b.LastStart), cmp.Compare(a.ID, b.ID))
}

func (r *Request) meetsObjective(now time.Time) bool {
	return !r.ObjectiveStart.IsZero() && !now.After(r.ObjectiveStart)
}
