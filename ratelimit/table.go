package ratelimit

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// tableShards limits lock contention among requests of different customers.
const tableShards = 32

// Table holds an instance's accounts. Take is for the request path; Due,
// Apply and the setters are called by the tick. It is safe for concurrent use.
type Table struct {
	holder fleet.Holder
	source Source
	wake   func()
	listed atomic.Int64
	seqs   atomic.Uint64
	seed   maphash.Seed
	shards [tableShards]shard

	urgentMu sync.Mutex
	urgent   []*Account
}

type shard struct {
	mu       sync.RWMutex
	accounts map[fleet.CustomerID]*Account
}

// NewTable returns an empty table for this process. The wake function is
// called from Take when an account runs low; it must not block.
func NewTable(holder fleet.Holder, source Source, wake func()) *Table {
	t := &Table{holder: holder, source: source, wake: wake, seed: maphash.MakeSeed()}
	t.listed.Store(1)
	for i := range t.shards {
		t.shards[i].accounts = make(map[fleet.CustomerID]*Account)
	}
	return t
}

// Take decides on one request of a customer's route; it does not wait for
// the network. A customer without contract is refused.
func (t *Table) Take(now time.Time, c fleet.CustomerID, route LimitID) Decision {
	a := t.account(now, c)
	if a == nil {
		return Decision{RetryAfter: maxRetryAfter}
	}
	d, urgent := a.take(now, route)
	if urgent {
		t.markUrgent(a)
	}
	return d
}

func (t *Table) markUrgent(a *Account) {
	t.urgentMu.Lock()
	t.urgent = append(t.urgent, a)
	t.urgentMu.Unlock()
	t.wake()
}

// Urgent returns the demands of accounts that ran low since the last call.
func (t *Table) Urgent(now time.Time) []Demand {
	t.urgentMu.Lock()
	accounts := t.urgent
	t.urgent = nil
	t.urgentMu.Unlock()
	var ds []Demand
	for _, a := range accounts {
		a.mu.Lock()
		if a.due(now) {
			ds = append(ds, a.demand(now))
		}
		a.mu.Unlock()
	}
	return ds
}

func (t *Table) shard(c fleet.CustomerID) *shard {
	return &t.shards[maphash.String(t.seed, string(c))%tableShards]
}

// lookup returns a customer's account, nil if there is none.
func (t *Table) lookup(c fleet.CustomerID) *Account {
	s := t.shard(c)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accounts[c]
}

// account returns a customer's account and creates it if necessary.
func (t *Table) account(now time.Time, c fleet.CustomerID) *Account {
	if a := t.lookup(c); a != nil {
		return a
	}
	limits, ok := t.source(c)
	if !ok {
		return nil
	}
	s := t.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[c]; a != nil {
		return a
	}
	a := newAccount(now, t, c, limits)
	s.accounts[c] = a
	return a
}

// Share returns this instance's part of the requests offered to a route over
// the fleet, or 1/n if the limiter has not sent one.
func (t *Table) Share(c fleet.CustomerID, route LimitID) float64 {
	share := 1 / float64(t.listed.Load())
	a := t.lookup(c)
	if a == nil {
		return share
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := a.index(route); i >= 0 && a.lines[i].share > 0 {
		return a.lines[i].share
	}
	return share
}

// Len returns the number of accounts.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.accounts)
		s.mu.RUnlock()
	}
	return n
}

// SetView updates the number of listed instances.
func (t *Table) SetView(v View) {
	if t.listed.Swap(int64(v.listed())) == int64(v.listed()) {
		return
	}
	t.each(func(_ *shard, a *Account) { a.listed = v.listed() })
}

// Reload applies a customer's changed contract.
func (t *Table) Reload(now time.Time, c fleet.CustomerID) {
	limits, ok := t.source(c)
	s := t.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[c]
	if a == nil {
		return
	}
	if !ok {
		delete(s.accounts, c)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLimits(now, limits)
}

// Due returns the demands and charges that are due and removes idle accounts.
func (t *Table) Due(now time.Time) Due {
	var due Due
	t.each(func(s *shard, a *Account) {
		switch {
		case a.due(now):
			due.Demands = append(due.Demands, a.demand(now))
		case a.chargeable(now):
			due.Charges = append(due.Charges, a.makeCharge(now))
		case a.idle(now):
			delete(s.accounts, a.customer)
		}
	})
	return due
}

// Apply records a grant and reports whether it took effect.
func (t *Table) Apply(now time.Time, g Grant) bool {
	a := t.lookup(g.Customer)
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.apply(now, g)
}

// Settle completes a charge that was answered: paid or not.
func (t *Table) Settle(c Charge, paid bool) {
	a := t.lookup(c.Customer)
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settleCharge(c.Seq, paid)
}

// each calls f for every account with its lock and its shard's lock held.
func (t *Table) each(f func(*shard, *Account)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, a := range s.accounts {
			a.mu.Lock()
			f(s, a)
			a.mu.Unlock()
		}
		s.mu.Unlock()
	}
}
