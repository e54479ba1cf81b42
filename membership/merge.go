package membership

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// unreachableIntervals is the number of intervals without an incoming ping
// after which an instance considers itself unreachable. On average, peers ping
// it once per interval.
const unreachableIntervals = 10

// isolationFactor is the number of suspicion times without any answer after
// which an instance considers its peers dead rather than itself isolated.
const isolationFactor = 10

// merge applies one record to the table. A newer record is queued for gossip if
// gossip is set or the member is already in the table. Records of new members
// from a bulk sync are not queued, because the peers already have them.
func (n *Node) merge(now time.Time, m Member, gossip bool) {
	if m.ID == n.self.ID {
		n.refute(now, m)
		return
	}
	old, exists := n.table[m.ID]
	if !exists {
		if m.State == Dead {
			return
		}
		old = &entry{}
		n.table[m.ID] = old
	}
	if exists && !m.supersedes(old.Member) {
		n.raiseOffset(old, m)
		n.correctStale(old, m)
		return
	}
	if m.Incarnation == old.Incarnation {
		m.Offset = max(m.Offset, old.Offset)
	}
	n.updateLive(old, m)
	n.markChanged()
	old.Member = m
	old.since = now
	old.ownSuspicion = false
	old.until = n.deadline(now, m.State)
	if !old.until.IsZero() {
		n.expireBy(old.until)
	}
	n.maxOffset = max(n.maxOffset, m.Offset)
	if gossip || exists {
		n.enqueue(old)
	}
}

func (n *Node) raiseOffset(e *entry, m Member) {
	if m.Incarnation == e.Incarnation && m.Offset > e.Offset {
		e.Offset = m.Offset
		n.maxOffset = max(n.maxOffset, m.Offset)
		n.view = nil
	}
}

// correctStale queues the current record e for at least one more transmission if
// the received record m is an older suspicion or death of the same member. The
// answer to the sender can then carry the correction.
func (n *Node) correctStale(e *entry, m Member) {
	if m.State >= Suspect && e.supersedes(m) {
		n.enqueueTimes(e, max(e.sendsLeft, 1))
	}
}

// updateLive adjusts the number of members that are not dead when m replaces old.
func (n *Node) updateLive(old *entry, m Member) {
	wasLive := old.State != 0 && old.State != Dead
	isLive := m.State != Dead
	if isLive && !wasLive {
		n.live++
	}
	if wasLive && !isLive {
		n.live--
	}
}

func (n *Node) deadline(now time.Time, s State) time.Time {
	switch s {
	case Suspect:
		return now.Add(n.settings.suspicionTime(n.live))
	case Dead:
		return now.Add(n.settings.TombstoneTTL)
	}
	return time.Time{}
}

// refute handles a record about this instance itself. An instance that its peers
// cannot ping, although it can send to them, does not refute: it is of no use
// to them until a ping arrives again.
func (n *Node) refute(now time.Time, m Member) {
	if m.Incarnation > n.self.Incarnation {
		n.superseded = true
		return
	}
	if !m.supersedes(n.self) || now.Sub(n.lastPinged) > unreachableIntervals*n.settings.Interval {
		return
	}
	n.self.Version = m.Version
	n.announce()
}

// expire declares suspects dead and deletes tombstones whose time has passed.
func (n *Node) expire(now time.Time) {
	if now.Before(n.expireAt) {
		return
	}
	n.expireAt = now.Add(n.settings.TombstoneTTL)
	for _, id := range n.expiringMembers() {
		e := n.table[id]
		switch {
		case now.Before(e.until):
			n.expireBy(e.until)
		case e.State == Suspect && n.maybeIsolated(now, e.since):
			e.until = now.Add(n.settings.Interval)
			n.expireBy(e.until)
		case e.State == Suspect:
			dead := e.Member
			dead.State = Dead
			n.merge(now, dead, true)
		default:
			delete(n.table, id)
			e.sendsLeft = 0
		}
	}
}

// maybeIsolated reports whether this instance has had no answer since the given
// time, in which case the fault is more likely local. After isolationFactor
// suspicion times it returns false: this must be the only instance left.
func (n *Node) maybeIsolated(now, since time.Time) bool {
	limit := isolationFactor * n.settings.suspicionTime(n.live)
	return n.lastContact.Before(since) && now.Sub(since) < limit
}

// expiringMembers returns the IDs of suspect and dead members in sorted order.
func (n *Node) expiringMembers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id, e := range n.table {
		if !e.until.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) expireBy(t time.Time) {
	if t.Before(n.expireAt) {
		n.expireAt = t
	}
}
