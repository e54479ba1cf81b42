package quota

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// maxStandbys is the number of instances in a zone, ranked behind the holders, that grant while no holder
// replies.
const maxStandbys = 2

// Standbys returns the standbys of the tenant in the own zone, the highest-ranked first.
func (t *Table) Standbys(name document.TenantName, l Limit) []fleet.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.standbysLocked(name, l)
}

func (t *Table) standbysLocked(name document.TenantName, l Limit) []fleet.InstanceID {
	holders := t.bounds.holders(l, t.fleet.part())
	ranked := t.ranking.Ranked(string(name), holders+maxStandbys)
	return ranked[min(holders, len(ranked)):]
}

// grantStandby takes a token of the reserve that this instance has as a standby, for a request of a rank. The reserve does not depend on
// what the holders granted, so that it may be used without asking them.
func (t *Table) grantStandby(now time.Time, name document.TenantName, l Limit, rank Rank) bool {
	if t.fleet.Total == 0 || !slices.Contains(t.standbysLocked(name, l), t.self) {
		return false
	}
	e := t.tenant(now, name)
	capacity := reserveFraction * t.bounds.margin(l) * t.fleet.part() / maxStandbys
	if e.standby.updatedAt.IsZero() {
		e.standby.updatedAt = t.rankedSince(t.departures(name))
	}
	e.standby.refill(now, capacity/t.bounds.Window.Seconds(), capacity)
	return e.standby.takeRanked(now, rank, capacity, t.random)
}
