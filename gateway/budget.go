package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/retry/pooled"
)

const (
	// accountAfter is how long an instance spends only its own part of the retry
	// budgets: heartbeats and digests must have told it first what the others
	// spent, and which zones there are. An instance is known by its first packet,
	// which says nothing of that.
	accountAfter = 2 * time.Second
)

// Request records a request for a service, for its retry budget.
func (k *Knowledge) Request(now time.Time, name document.ServiceName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).budget.Request(now)
}

// Spend takes an attempt out of the service's retry budget, if there is one.
func (k *Knowledge) Spend(now time.Time, name document.ServiceName, v mesh.View, urgent bool) (left float64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.fleet(now, name, v)
	b := k.service(name).budget
	left = b.Left(now, f)
	return left, b.Spend(now, f, urgent)
}

func (k *Knowledge) fleet(now time.Time, name document.ServiceName, v mesh.View) pooled.Fleet {
	f := pooled.Fleet{Instances: k.most.note(now, v.Instances()), Complete: v.Complete() && !k.fresh(now)}
	k.addMembers(&f, name, v)
	for _, z := range k.zones {
		f.Requests += z.claims[name].Requests
		f.Claimed += z.claims[name].Claimed
	}
	return f
}

// fresh tells whether the instance cannot know yet what the others spent.
func (k *Knowledge) fresh(now time.Time) bool {
	return !k.born.IsZero() && now.Sub(k.born) < accountAfter
}

// pastMost remembers the largest number of instances of the last while: those
// that are silent may still be spending.
type pastMost struct {
	now, before int
	since       time.Time
}

// mostWindow is half of the time for which a number is remembered.
const mostWindow = 15 * time.Second

func (m *pastMost) note(now time.Time, n int) int {
	if now.Sub(m.since) > mostWindow {
		m.before, m.now, m.since = m.now, 0, now
	}
	m.now = max(m.now, n)
	return max(m.now, m.before)
}
