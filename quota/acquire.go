package quota

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// unavailableDuration is how long an instance that did not reply is not asked.
	unavailableDuration = time.Second
	// minDenial and maxDenial bound the time for which a denial, of the own zone or of others, applies to
	// further requests.
	minDenial = 20 * time.Millisecond
	maxDenial = 250 * time.Millisecond
	// maxFarAttempts bounds how many instances of other zones are asked until one replies.
	maxFarAttempts = 3
)

// Reply is the reply of an instance that was asked for a token.
type Reply struct {
	Granted bool
	// Wait is the time after which there may be a token, if none is granted.
	Wait time.Duration
}

// Asker asks other instances for tokens. Its methods return false if there was no reply in time.
type Asker interface {
	// Ask asks a holder for one of its tokens.
	Ask(holder fleet.InstanceID) (Reply, bool)
	// AskOtherZone asks an instance of another zone to acquire a token there.
	AskOtherZone() (Reply, bool)
}

// Source is where a decision was made.
type Source string

// Sources, as they appear in logs and metrics.
const (
	FromSelf      Source = "self"
	FromHolder    Source = "holder"
	FromOtherZone Source = "other-zone"
	FromStandby   Source = "standby"
	// FromDenial means that the denial of an earlier request still applied.
	FromDenial Source = "denial"
)

// Decision is whether a request may run.
type Decision struct {
	Granted bool
	// Wait is the time after which the request may be granted, if it is not.
	Wait   time.Duration
	Source Source
	// Holder is the instance that granted the token; empty if that may not be returned.
	Holder fleet.InstanceID
}

// Request is a request of a tenant that needs a token.
type Request struct {
	Tenant document.TenantName
	Limit  Limit
	Rank   Rank
}

// Acquire decides whether a request may run. It asks other instances as necessary, holders in random order and
// standbys after them. AnyZone is set unless the request is made for another zone.
func (t *Table) Acquire(clock func() time.Time, r Request, asker Asker, anyZone bool) Decision {
	now := clock()
	if wait := t.denial(now, r); wait > 0 {
		return t.record(now, r, Decision{Wait: wait, Source: FromDenial})
	}
	d, reached := t.acquireFromHolders(clock, r, asker)
	if !d.Granted && t.acquireFromStandbys(clock, r, asker, reached) {
		d = Decision{Granted: true, Source: FromStandby}
	}
	if !d.Granted && anyZone {
		d = t.acquireElsewhere(clock, r, asker, d)
	}
	return t.record(clock(), r, d)
}

// acquireFromHolders asks the holders of the own zone. It also returns whether any of them replied.
func (t *Table) acquireFromHolders(clock func() time.Time, r Request, asker Asker) (d Decision, reached bool) {
	d = Decision{Wait: notHeldWait, Source: FromHolder}
	holders := t.Holders(r.Tenant, r.Limit)
	first := int(t.random() * float64(len(holders)))
	for i := range holders {
		holder := holders[(first+i)%len(holders)]
		reply, source, ok := t.askHolder(clock, r, holder, asker)
		if !ok {
			continue
		}
		if reply.Granted {
			return Decision{Granted: true, Source: source, Holder: holder}, true
		}
		if !reached || reply.Wait < d.Wait {
			d.Wait, d.Source = reply.Wait, source
		}
		reached = true
	}
	return d, reached
}

// acquireFromStandbys asks the standbys of the own zone. If holders replied, it asks only the first one, which may
// have been a holder until a moment ago.
func (t *Table) acquireFromStandbys(clock func() time.Time, r Request, asker Asker, reached bool) bool {
	standbys := t.Standbys(r.Tenant, r.Limit)
	if reached {
		standbys = standbys[:min(1, len(standbys))]
	}
	for _, standby := range standbys {
		if reply, _, ok := t.askHolder(clock, r, standby, asker); ok && reply.Granted {
			return true
		}
	}
	return false
}

func (t *Table) askHolder(clock func() time.Time, r Request, holder fleet.InstanceID, asker Asker) (Reply, Source, bool) {
	if holder == t.self {
		wait, granted := t.Grant(clock(), r.Tenant, r.Limit, r.Rank)
		return Reply{granted, wait}, FromSelf, true
	}
	if t.isUnavailable(clock(), holder) {
		return Reply{}, FromHolder, false
	}
	reply, ok := asker.Ask(holder)
	if !ok {
		t.setUnavailable(clock(), holder)
	}
	return reply, FromHolder, ok
}

// acquireElsewhere asks another zone, unless one has denied a request of the tenant a moment ago. If that
// grants nothing, it returns the decision of the own zone.
func (t *Table) acquireElsewhere(clock func() time.Time, r Request, asker Asker, own Decision) Decision {
	if !t.mayAskOtherZone(clock(), r) {
		return own
	}
	reply := askOtherZones(asker)
	if reply.Granted {
		return Decision{Granted: true, Source: FromOtherZone}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock()
	t.tenant(now, r.Tenant).farDeniedUntil[r.Rank] = now.Add(denialDuration(reply.Wait))
	return own
}

// askOtherZones asks instances of other zones in turn until one replies. If none does, they are not asked again
// for maxDenial.
func askOtherZones(asker Asker) Reply {
	for range maxFarAttempts {
		if r, ok := asker.AskOtherZone(); ok {
			return r
		}
	}
	return Reply{Wait: maxDenial}
}

// denialDuration returns for how long a denial applies to further requests, given the time after which there
// may be a token.
func denialDuration(wait time.Duration) time.Duration { return min(max(wait, minDenial), maxDenial) }

func (t *Table) mayAskOtherZone(now time.Time, r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.tenant(now, r.Tenant).farDeniedUntil.latest(r.Rank))
}

// denial returns how long an earlier denial of a request that was at least as urgent still applies; 0 if none does.
func (t *Table) denial(now time.Time, r Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.tenant(now, r.Tenant).deniedUntil.latest(r.Rank).Sub(now), 0)
}

func (t *Table) isUnavailable(now time.Time, id fleet.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.unavailable[id])
}

func (t *Table) setUnavailable(now time.Time, id fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unavailable[id] = now.Add(unavailableDuration)
}

// record counts the decision, and lets a denial apply for a while to further requests that are not more urgent.
func (t *Table) record(now time.Time, r Request, d Decision) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.tenant(now, r.Tenant)
	if d.Granted {
		e.granted[r.Rank]++
		return d
	}
	e.denied[r.Rank]++
	if d.Source != FromDenial {
		e.deniedUntil[r.Rank] = now.Add(denialDuration(d.Wait))
	}
	return d
}
