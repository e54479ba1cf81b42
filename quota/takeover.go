package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/rendezvous"
)

// departureSpread is the time within which instances that fail together are seen to depart.
const departureSpread = 3 * time.Second

// newBucket returns a bucket with the tokens since this instance became the holder.
func (t *Table) newBucket(name document.TenantName, l Limit, capacity float64) bucket {
	departures := t.departures(name)
	since := t.rankedSince(departures)
	b := bucket{updatedAt: since}
	started := since.Equal(t.eligibleSince) && t.eligibleSince.Sub(t.startedAt) < minHeadStart
	if started {
		b.updatedAt = since.Add(-minDowntime)
	}
	if started || t.succeedsFirst(departures) {
		b.tokens = startFraction * t.bounds.margin(l) * capacity / t.bounds.capacity(l)
	}
	return b
}

// succeedsFirst returns whether the instances that this one succeeds departed together, and none departed in the
// window before. A holder that took over from another one within the window has had the tokens to start with.
func (t *Table) succeedsFirst(departures []time.Time) bool {
	if len(departures) == 0 {
		return false
	}
	last := departures[len(departures)-1]
	if last.Sub(t.eligibleSince) < t.bounds.Window {
		return false
	}
	return !slices.ContainsFunc(departures, func(at time.Time) bool {
		before := last.Sub(at)
		return before >= departureSpread && before < t.bounds.Window
	})
}

// rankedSince returns since when this instance has been eligible and none that ranks before it has departed.
func (t *Table) rankedSince(departures []time.Time) time.Time {
	if len(departures) == 0 {
		return t.eligibleSince
	}
	last := departures[len(departures)-1]
	if last.Before(t.eligibleSince) {
		return t.eligibleSince
	}
	return last
}

// departures returns when instances departed that rank before this one, in order.
func (t *Table) departures(name document.TenantName) []time.Time {
	ids := append(slices.Collect(maps.Keys(t.departed)), t.self)
	ranked := rendezvous.Ranked(string(name), rankedMembers(ids), len(ids))
	var times []time.Time
	for _, id := range ranked[:slices.Index(ranked, t.self)] {
		times = append(times, t.departed[id])
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// releaseLost releases the tokens of tenants of which this instance is no longer a holder.
func (t *Table) releaseLost(now time.Time) {
	for name, e := range t.tenants {
		if e.isHeld && !slices.Contains(t.holdersLocked(name, e.limit), t.self) {
			e.isHeld, e.released = false, bucket{tokens: e.held.tokens, updatedAt: now}
		}
	}
}

// grantReleased takes a token that was left when this instance ceased to be a holder. They expire at the rate at
// which the bucket of its successor fills, so that the two never have more than one bucket together.
func (t *Table) grantReleased(now time.Time, name document.TenantName, l Limit) bool {
	e := t.tenants[name]
	if e == nil {
		return false
	}
	part := t.fleet.part()
	e.released.expire(now, l.Rate*part/float64(t.bounds.holders(l, part)))
	if e.released.tokens < 1 {
		return false
	}
	e.released.tokens--
	return true
}
