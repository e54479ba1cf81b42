package registry

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Snapshot is the complete state of the log, as read from the log or received from a peer.
type Snapshot struct {
	Next    Position
	Entries []Entry
	// Vanished are removals that the sender learned of recently, Removed targets of which older
	// entries must be ignored. The log provides neither.
	Vanished []Vanished
	Removed  []Removed
	// Since is the time after which the log dropped the entries that the snapshot lacks and Vanished does not
	// name; zero if that is not known.
	Since time.Time
	// RestoreAge is how long ago the sender learned of the epoch; 0 if the sender is the log
	// itself.
	RestoreAge time.Duration
}

// Removed informs peers that a target was removed, so that an older copy of the log does not revive
// it.
type Removed struct {
	_              struct{} `cbor:",toarray"`
	ID             fleet.TargetID
	Born, Sequence int64
	Noticed        bool
	Epoch          Epoch
}

// Restored describes the effects on the targets when the log was restored from an older copy.
type Restored struct {
	From, To Position
	// Kept is how many targets that the copy lacks stay in use until Until, unless their entries
	// are available again by then. Outdated is how many entries of the copy were older than the
	// recorded state.
	Kept, Outdated int
	Until          time.Time
}

// staleCandidateTimeout is how long after a restore a stale candidate gets no work: by then
// the log has dropped the entry of a dead target, which has missed three renewals, about a second
// apart.
const staleCandidateTimeout = 8 * time.Second

// removalRetention is how long a removal is announced to peers: longer than the age of any copy of
// the log.
const removalRetention = time.Minute

// handleRestore records that the log was restored from an older copy.
func (r *Registry) handleRestore(now time.Time, from Position, s Snapshot) {
	r.restoredAt = now.Add(-s.RestoreAge)
	r.restored = &Restored{From: from, To: s.Next, Until: r.restoredAt.Add(OutageGracePeriod)}
	// Targets that were kept unconfirmed after an earlier restore get the full grace period again,
	// since they may have to register once more. Targets that the log removed do not, whether or
	// not the copy shows them.
	for id, h := range r.inGracePeriod {
		if _, removed := r.removed[id]; removed {
			continue
		}
		h.unconfirmedUntil = later(h.unconfirmedUntil, r.restored.Until)
		r.inGracePeriod[id] = h
		r.restored.Kept++
	}
}

// keepUnconfirmed keeps a target in use that the copy lacks: it registered after the copy was made
// and, if it is alive, registers again within about 2 s, as after an outage.
func (r *Registry) keepUnconfirmed(id fleet.TargetID) {
	r.inGracePeriod[id] = vanishedTarget{target: r.entries[id], firstLearnedAt: r.restoredAt, unconfirmedUntil: r.restored.Until}
	delete(r.entries, id)
	r.changed = true
	r.restored.Kept++
}

func (r *Registry) countOutdated(e *Entry) {
	if r.restored != nil && !e.Leaving {
		r.restored.Outdated++
	}
}

// TakeRestored returns the effects of a restore since the last call, nil if there was none.
func (r *Registry) TakeRestored() *Restored {
	restored := r.restored
	r.restored = nil
	return restored
}

// RestoreAge returns how long ago the fleet learned of the last restore; 0 if there was none.
func (r *Registry) RestoreAge(now time.Time) time.Duration {
	if r.restoredAt.IsZero() {
		return 0
	}
	return now.Sub(r.restoredAt)
}

// Removed returns the targets that were removed recently.
func (r *Registry) Removed(now time.Time) []Removed {
	var rs []Removed
	for id, rm := range r.removed {
		if now.Sub(rm.learnedAt) < removalRetention {
			rs = append(rs, Removed{ID: id, Born: rm.born, Sequence: rm.sequence, Noticed: rm.announced, Epoch: rm.epoch})
		}
	}
	return rs
}

// applyRemoved deletes targets that a peer reports as removed while the older copy still shows
// them.
func (r *Registry) applyRemoved(now time.Time, removed []Removed) {
	for _, x := range removed {
		rm := removal{born: x.Born, sequence: x.Sequence, announced: x.Noticed, epoch: x.Epoch, learnedAt: now}
		if t := r.entries[x.ID]; t != nil {
			stale := rm.mayBeStale(&t.Entry, r.next.Epoch)
			if !stale && !rm.outdates(&t.Entry, r.next.Epoch) {
				continue
			}
			delete(r.entries, x.ID)
			r.changed = true
			if stale {
				r.staleCandidates[x.ID] = t
			}
		}
		if _, recorded := r.removed[x.ID]; !recorded {
			r.removed[x.ID] = rm
		}
	}
}

// mayBeStale reports whether an entry may be of a target that had vanished before the log was
// restored.
func (r *Registry) mayBeStale(e *Entry) bool {
	rm, ok := r.removed[e.ID]
	return ok && rm.mayBeStale(e, r.next.Epoch)
}

// admitStaleCandidates activates the entries that have outlived staleCandidateTimeout.
func (r *Registry) admitStaleCandidates(now time.Time) {
	if len(r.staleCandidates) == 0 || now.Sub(r.epochSince) < staleCandidateTimeout {
		return
	}
	for _, t := range r.staleCandidates {
		r.activate(t)
	}
}

// Merge applies the state of targets that a peer received before the log was restored. The peer may
// be at the same position or in an earlier epoch; if it is ahead, the snapshot replaces the state.
// Merge reports whether anything changed.
func (r *Registry) Merge(now time.Time, s Snapshot) bool {
	if s.Next.After(r.next) {
		return r.Replace(now, s)
	}
	before := r.changed
	r.changed = false
	r.applyRemoved(now, s.Removed)
	for i := range s.Entries {
		r.mergeEntry(now, &s.Entries[i], s.Next.Epoch)
	}
	changed := r.changed
	r.changed = before || changed
	return changed
}

// mergeEntry applies a peer's entry of the given epoch.
func (r *Registry) mergeEntry(now time.Time, e *Entry, epoch Epoch) {
	if own := r.entries[e.ID]; own != nil {
		if e.newerThan(own.Born, own.Sequence) {
			r.put(now, *e)
		}
		return
	}
	if epoch == r.next.Epoch || r.outdated(e) || r.mayBeStale(e) {
		return // removed since
	}
	t := newTarget(now, *e)
	if e.Leaving {
		r.recordRemoval(now, t, now)
		return
	}
	until := r.epochSince.Add(OutageGracePeriod)
	if _, ok := r.inGracePeriod[e.ID]; !ok && now.Before(until) {
		r.inGracePeriod[e.ID] = vanishedTarget{target: t, firstLearnedAt: now, unconfirmedUntil: until}
		r.changed = true
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
