package ratelimit

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// Lifetime is how long a grant is valid without contact.
	Lifetime = 6 * time.Second
	// accountTimeout is when a limiter drops an account that sends no demands. It
	// is longer than Lifetime, which the account counts from an earlier time.
	accountTimeout = Lifetime + 2*time.Second
	// sweepInterval is the minimum time between sweeps for timed-out accounts.
	sweepInterval = time.Second
	// fairSlack is the factor by which an account may exceed its fair share of a
	// contended limit, so that capacity unused by others is used.
	fairSlack = 1.5
	// overcommitBelow is the share of a concurrency limit in flight below which
	// the limiter hands out overcommitFactor times the limit.
	overcommitBelow  = 0.5
	overcommitFactor = 3
	// minSlots is the minimum of every account while it has no grant or few
	// requests are in flight: with one slot, the second of two simultaneous
	// requests at an instance is refused however little the fleet is used.
	minSlots = 2
	// maxHeldShare is the share of the bucket's depth that accounts may hold
	// together; the rest absorbs the rate between two demands.
	maxHeldShare = 0.7
	// contendedBelow is the share of the bucket's depth below which an account is
	// limited to its fair share.
	contendedBelow = 0.25
)

// Granter is the limiter of one customer: it answers demands with grants. It
// is not safe for concurrent use.
type Granter struct {
	buckets  map[LimitID]*bucket
	accounts map[fleet.InstanceID]*accountState
	swept    time.Time
	used     time.Time
}

// bucket is the fleet-wide state of one limit.
type bucket struct {
	level float64
	at    time.Time
	// The remaining fields are sums over the accounts' shares.
	held    float64
	offered float64
	busy    float64
	slots   int
	wanted  int
}

// accountState is the limiter's state of one account.
type accountState struct {
	incarnation  fleet.Incarnation
	lastDemandAt time.Time
	last         Grant
	shares       map[LimitID]share
}

// share is one account's part of one limit.
type share struct {
	seq      uint64
	held     float64
	granted  float64
	offered  float64
	answered time.Time
	// reserved is the number of slots that the account may use until its next
	// demand: the maximum of those granted, those in force before in case the grant is
	// lost, and those in use.
	reserved int
	wanted   int
	busy     float64
}

// NewGranter returns a limiter without accounts.
func NewGranter() *Granter {
	return &Granter{
		buckets:  make(map[LimitID]*bucket),
		accounts: make(map[fleet.InstanceID]*accountState),
	}
}

// Expired reports whether the Granter is equivalent to a new one: all accounts
// have timed out and all buckets are full.
func (g *Granter) Expired(now time.Time, limits Limits) bool {
	idle := now.Sub(g.used)
	if idle <= accountTimeout {
		return false
	}
	for i := range limits {
		if idle.Seconds() < limits[i].Burst/limits[i].Rate {
			return false
		}
	}
	return true
}

// Grant answers one demand under the limits in force. Parts of the demand for
// limits that are not in force are left out of the grant.
func (g *Granter) Grant(now time.Time, limits Limits, view View, d Demand) Grant {
	g.used = now
	g.sweep(now)
	acct, fresh := g.account(d)
	if !fresh {
		return g.repeated(acct, d)
	}
	acct.lastDemandAt = now
	grant := Grant{Customer: d.Customer, Seq: d.Seq, Lifetime: Lifetime}
	for i := range d.Limits {
		ld := &d.Limits[i]
		limit := limits.find(ld.ID)
		if limit == nil {
			continue
		}
		b := g.bucket(now, limit, view)
		lg := b.grant(now, limit, view, acct.shares[ld.ID], &d, ld)
		acct.shares[ld.ID] = lg.share

		grant.Limits = append(grant.Limits, lg.LimitGrant)
	}
	acct.last = grant
	return grant
}

// account returns the sender's state and reports whether the demand is new.
func (g *Granter) account(d Demand) (*accountState, bool) {
	a := g.accounts[d.Holder.Instance]
	if a != nil && a.incarnation == d.Holder.Incarnation {
		return a, d.Seq > a.last.Seq
	}
	if a != nil && a.incarnation > d.Holder.Incarnation {
		return a, false
	}
	if a != nil {
		g.drop(d.Holder.Instance)
	}
	a = &accountState{
		incarnation: d.Holder.Incarnation,
		shares:      make(map[LimitID]share, len(d.Limits)),
	}
	g.accounts[d.Holder.Instance] = a
	return a, true
}

// repeated answers a demand that is not newer than the last one.
func (g *Granter) repeated(a *accountState, d Demand) Grant {
	if a.incarnation == d.Holder.Incarnation && a.last.Seq == d.Seq {
		return a.last
	}
	return Grant{Customer: d.Customer, Seq: d.Seq, Lifetime: Lifetime, Stale: true}
}

// bucket returns the limit's bucket, filled up to now.
func (g *Granter) bucket(now time.Time, l *Limit, view View) *bucket {
	b := g.buckets[l.ID]
	rate := l.Rate * view.scope()
	depth := l.Burst * view.scope()
	if b == nil {
		// The role may have moved here with the last change of the view:
		// what an earlier limiter handed out is unknown.
		b = &bucket{at: now}
		b.level = math.Min(depth, rate*now.Sub(view.Since).Seconds())
		g.buckets[l.ID] = b
		return b
	}
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level += rate * dt
		b.at = now
	}
	b.level = math.Min(b.level, math.Max(0, depth-b.held))
	return b
}

// limitResult is one limit's part of a grant and the account's share after it.
type limitResult struct {
	LimitGrant
	share
}

func (b *bucket) grant(now time.Time, l *Limit, view View, s share, d *Demand, ld *LimitDemand) limitResult {
	if s.seq > d.Applied {
		b.level += s.granted
	}
	b.held -= s.held
	b.offered += ld.Offered - s.offered
	b.slots -= s.reserved
	b.busy += ld.Busy - s.busy
	b.wanted += ld.WantSlots - s.wanted

	tokens := b.tokens(now, l, view, s, ld)
	slots := b.concurrency(l, view, ld)
	b.level -= tokens
	s = share{
		seq:      d.Seq,
		held:     math.Max(0, ld.Balance+tokens),
		granted:  tokens,
		reserved: max(slots, ld.Slots, ld.InFlight),
		busy:     ld.Busy,
		wanted:   ld.WantSlots,
		offered:  ld.Offered,
		answered: now,
	}
	b.held += s.held
	b.slots += s.reserved
	grant := LimitGrant{ID: ld.ID, Tokens: tokens, Slots: slots, Level: math.Max(0, b.level)}
	if b.offered > 0 {
		grant.Share = math.Min(1, ld.Offered/b.offered)
	}
	return limitResult{grant, s}
}

// tokens returns the number of tokens granted. While the bucket is low, an
// account gets at most one token plus fairSlack times its share of the rate.
func (b *bucket) tokens(now time.Time, l *Limit, view View, s share, d *LimitDemand) float64 {
	tokens := math.Min(d.Want, b.level)
	rate := l.Rate * view.scope()
	depth := l.Burst * view.scope()
	if b.offered > 0 {
		part := math.Max(1, maxHeldShare*depth*d.Offered/b.offered)
		tokens = math.Min(tokens, part-d.Balance)
	}
	if b.level < contendedBelow*depth && b.offered > rate {
		since := 0.0
		if !s.answered.IsZero() {
			since = now.Sub(s.answered).Seconds()
		}
		fair := rate * d.Offered / b.offered * since
		tokens = math.Min(tokens, 1+fairSlack*fair)
	}
	return math.Max(0, tokens)
}

// concurrency returns how many requests the account may have in flight. While the
// fleet has few in flight, slots are handed out three times over, and every account
// gets at least the greater of its even share and minSlots. Otherwise each slot is
// handed out once, by the accounts' wants. Earlier grants may then exceed the limit; an account
// still gets its even share as far as the fleet has fewer in flight than the limit. Without
// that, one request in 200 was refused with a fifth of the slots in use, for up to 2 s each
// time, during rolling restarts.
func (b *bucket) concurrency(l *Limit, view View, d *LimitDemand) int {
	if l.Concurrency == 0 {
		return 0
	}
	all := float64(l.Concurrency) * view.scope()
	even := int(all) / max(1, view.Listed)
	free := int(math.Max(0, all-b.busy))
	least := min(even, d.InFlight+free, d.WantSlots)
	if b.busy < overcommitBelow*all {
		least = max(minSlots, even)
		all *= overcommitFactor
	}
	slots := min(d.WantSlots, int(all)-b.slots)
	if wanted := float64(b.wanted); wanted > all {
		fair := int(math.Ceil(all * float64(d.WantSlots) / wanted))
		slots = min(slots, fair)
	}
	return max(least, slots)
}

// sweep drops accounts that sent no demand within accountTimeout.
func (g *Granter) sweep(now time.Time) {
	if now.Sub(g.swept) < sweepInterval {
		return
	}
	g.swept = now
	for id, a := range g.accounts {
		if now.Sub(a.lastDemandAt) > accountTimeout {
			g.drop(id)
		}
	}
}

// drop removes an account and subtracts its shares from the sums.
func (g *Granter) drop(id fleet.InstanceID) {
	for lid, s := range g.accounts[id].shares {
		b := g.buckets[lid]
		b.held -= s.held
		b.offered -= s.offered
		b.slots -= s.reserved
		b.busy -= s.busy
		b.wanted -= s.wanted
	}
	delete(g.accounts, id)
}

func (ls Limits) find(id LimitID) *Limit {
	for i := range ls {
		if ls[i].ID == id {
			return &ls[i]
		}
	}
	return nil
}
