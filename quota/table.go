package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/rendezvous"
)

const (
	// departureRetention is for how long an instance that is no longer eligible is remembered. The bucket of
	// whoever takes over from it counts from its departure.
	departureRetention = 30 * time.Second
	// minDowntime is the least time for which nothing was granted before a fleet starts, all at once.
	minDowntime = 300 * time.Millisecond
	// bucketRetention is for how long a bucket that is not used is kept. It is full long before.
	bucketRetention = time.Minute
)

// Table has the buckets of one instance.
type Table struct {
	self   fleet.InstanceID
	bounds Bounds
	random func() float64

	mu    sync.Mutex
	fleet Fleet
	// eligible are the instances that may be holders, sorted, and ranking ranks them; departed has the time
	// since which others no longer are.
	eligible []fleet.InstanceID
	ranking  *rendezvous.Table
	departed map[fleet.InstanceID]time.Time
	// eligibleSince is since when this instance may be a holder; startedAt is when the process started.
	eligibleSince, startedAt time.Time
	tenants                  map[document.TenantName]*tenant
	// unavailable has the time until which an instance is not asked.
	unavailable map[fleet.InstanceID]time.Time
	nextSweep   time.Time
}

// tenant is the state of one tenant at this instance.
type tenant struct {
	held   heldBucket
	isHeld bool
	// limit is the one that held was last used with.
	limit Limit
	// released has the tokens that were left when the instance ceased to be a holder.
	released, standby bucket
	granted, denied   [Ranks]int64
	// deniedUntil are the times until which no holder is asked, farDeniedUntil those for other zones.
	deniedUntil, farDeniedUntil rankTimes
	usedAt                      time.Time
}

// NewTable returns the table of an instance whose process starts now. Random returns numbers in [0, 1).
func NewTable(self fleet.InstanceID, now time.Time, b Bounds, random func() float64) *Table {
	return &Table{
		self: self, bounds: b, random: random, startedAt: now,
		ranking:  rendezvous.NewTable(nil),
		departed: make(map[fleet.InstanceID]time.Time), tenants: make(map[document.TenantName]*tenant), unavailable: make(map[fleet.InstanceID]time.Time),
	}
}

// Update sets what is known of the fleet. It is to be called at intervals well below a second.
func (t *Table) Update(now time.Time, f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.fleet.part()
	t.fleet = f
	eligible := f.eligible(now)
	if !slices.Equal(eligible, t.eligible) {
		t.setEligible(now, eligible)
	} else if f.part() == before {
		return
	}
	t.releaseLost(now)
}

func (t *Table) setEligible(now time.Time, eligible []fleet.InstanceID) {
	for _, id := range t.eligible {
		if !contains(eligible, id) {
			t.departed[id] = now
		}
	}
	if !contains(t.eligible, t.self) {
		t.eligibleSince = now
	}
	t.eligible, t.ranking = eligible, rendezvous.NewTable(rankedMembers(eligible))
	maps.DeleteFunc(t.departed, func(_ fleet.InstanceID, at time.Time) bool { return now.Sub(at) > departureRetention })
}

func contains(sorted []fleet.InstanceID, id fleet.InstanceID) bool {
	_, found := slices.BinarySearch(sorted, id)
	return found
}

// Tick forgets tenants that are no longer used, and instances that may be asked again.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(bucketRetention / 4)
	maps.DeleteFunc(t.unavailable, func(_ fleet.InstanceID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(t.tenants, func(_ document.TenantName, e *tenant) bool { return now.Sub(e.usedAt) > bucketRetention })
}

// Holders returns the holders of the tenant in the own zone, the highest-ranked first.
func (t *Table) Holders(name document.TenantName, l Limit) []fleet.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdersLocked(name, l)
}

func (t *Table) holdersLocked(name document.TenantName, l Limit) []fleet.InstanceID {
	return t.ranking.Ranked(string(name), t.bounds.holders(l, t.fleet.part()))
}

// Grant takes a token of a tenant that this instance holds, has held or is a standby of, for a request of a rank. If
// there is none, it returns the time after which there may be one.
func (t *Table) Grant(now time.Time, name document.TenantName, l Limit, rank Rank) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate, capacity, ok := t.share(name, l)
	if !ok {
		return notHeldWait, t.grantReleased(now, name, l) || t.grantStandby(now, name, l, rank)
	}
	e := t.tenant(now, name)
	if !e.isHeld {
		e.isHeld, e.held = true, newHeldBucket(t.newBucket(name, l, capacity), t.bounds.Window, rate, capacity)
	}
	e.limit = l
	e.held.refill(now, rate, capacity)
	if e.held.takeRanked(now, rank, capacity, t.random) {
		return 0, true
	}
	return e.held.queue(now, rank, rate), false
}

// notHeldWait is the time after which an instance that is no holder may be one.
const notHeldWait = 100 * time.Millisecond

// share returns the rate and the capacity of this instance's bucket, false if it is no holder or does not know
// its part.
func (t *Table) share(name document.TenantName, l Limit) (rate, capacity float64, ok bool) {
	if t.fleet.Total == 0 {
		return 0, 0, false
	}
	holders := t.holdersLocked(name, l)
	if !slices.Contains(holders, t.self) {
		return 0, 0, false
	}
	part := t.fleet.part() / float64(len(holders))
	return l.Rate * part, t.bounds.capacity(l) * part, true
}

// Return gives back a token of a request that has not run and will not.
func (t *Table) Return(now time.Time, name document.TenantName, l Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate, capacity, ok := t.share(name, l)
	e := t.tenants[name]
	if !ok || e == nil || !e.isHeld {
		return
	}
	e.held.refill(now, rate, capacity)
	e.held.tokens = min(e.held.tokens+1, capacity)
}

// tenant returns the state of a tenant.
func (t *Table) tenant(now time.Time, name document.TenantName) *tenant {
	e := t.tenants[name]
	if e == nil {
		e = new(tenant)
		t.tenants[name] = e
	}
	e.usedAt = now
	return e
}
