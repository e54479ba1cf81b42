package membership

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// unreachableAfter is how many intervals an instance goes without a ping
// before it takes itself as unreachable. Peers ping it once in each, on
// average.
const unreachableAfter = 10

// aloneAfter is how many suspicion times an instance goes without any answer
// before it takes the others for dead rather than itself for cut off.
const aloneAfter = 10

// merge folds one record. With spread, a record that is news is passed on;
// without, only if it is news of a member that was known before: records that
// a fresh instance learns in bulk are old news to its peers.
func (n *Node) merge(now time.Time, m Member, spread bool) {
	if m.ID == n.self.ID {
		n.refute(now, m)
		return
	}
	old, known := n.table[m.ID]
	if !known {
		if m.State == Dead {
			return
		}
		old = &entry{}
		n.table[m.ID] = old
	}
	if known && !m.supersedes(old.Member) {
		n.raiseOffset(old, m)
		n.correct(old, m)
		return
	}
	if m.Incarnation == old.Incarnation {
		m.Offset = max(m.Offset, old.Offset)
	}
	n.count(old, m)
	n.changed()
	old.Member = m
	old.since = now
	old.accused = false
	old.until = n.deadline(now, m.State)
	if !old.until.IsZero() {
		n.expireBy(old.until)
	}
	n.maxOffset = max(n.maxOffset, m.Offset)
	if spread || known {
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

// correct passes a record on once more, in the answer at the latest, if the
// sender accuses the member by an older one.
func (n *Node) correct(e *entry, m Member) {
	if m.State >= Suspect && e.supersedes(m) {
		n.enqueueTimes(e, max(e.spread, 1))
	}
}

// count keeps the number of members that are not dead.
func (n *Node) count(old *entry, m Member) {
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

// refute answers a record about this instance that others hold. An instance
// that nobody can reach, though it reaches others, does not refute: it is of
// no use to them until a ping gets through again.
func (n *Node) refute(now time.Time, m Member) {
	if m.Incarnation > n.self.Incarnation {
		n.superseded = true
		return
	}
	if !m.supersedes(n.self) || now.Sub(n.lastPinged) > unreachableAfter*n.settings.Interval {
		return
	}
	n.self.Version = m.Version
	n.announce()
}

// expire ends suspicions and forgets tombstones whose time has come.
func (n *Node) expire(now time.Time) {
	if now.Before(n.expireAt) {
		return
	}
	n.expireAt = now.Add(n.settings.TombstoneTTL)
	for _, id := range n.timed() {
		e := n.table[id]
		switch {
		case now.Before(e.until):
			n.expireBy(e.until)
		case e.State == Suspect && n.maybeCutOff(now, e.since):
			e.until = now.Add(n.settings.Interval)
			n.expireBy(e.until)
		case e.State == Suspect:
			dead := e.Member
			dead.State = Dead
			n.merge(now, dead, true)
		default:
			delete(n.table, id)
			e.spread = 0
		}
	}
}

// maybeCutOff tells whether nobody answered this instance since a time. The
// fault is then more likely here, unless it lasts so long that this must be
// the only instance left.
func (n *Node) maybeCutOff(now, since time.Time) bool {
	limit := aloneAfter * n.settings.suspicionTime(n.live)
	return n.lastContact.Before(since) && now.Sub(since) < limit
}

// timed returns the members that are suspect or dead, in a fixed order.
func (n *Node) timed() []fleet.InstanceID {
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
