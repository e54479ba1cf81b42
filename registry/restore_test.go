package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

// newInEpoch1 returns a registry in epoch 1 at offset 500 with the given entries.
func newInEpoch1(t *testing.T, entries ...Entry) *Registry {
	r := New()
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{1, 500}, Entries: entries}))
	return r
}

func leaving(id fleet.TargetID, sequence int64) Entry {
	e := entry(id, sequence)
	e.Leaving = true
	return e
}

// TestSnapshotOfLaterEpochWithLowerOffsetIsApplied: a registry at offset 500 refused a restored
// snapshot that ended at 480, ignored the changes written at the reused offsets, and continued from
// 500.
func TestSnapshotOfLaterEpochWithLowerOffsetIsApplied(t *testing.T) {
	r := newInEpoch1(t, entry("a", 3))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 3)}}))
	e := entry("b", 1)
	assert.Assert(t, r.Apply(start, Change{Offset: 480, ID: "b", Entry: &e}))
	assert.Assert(t, inUse(r, start, "b"))
	assert.Equal(t, r.Next(), Position{2, 481})
	assert.Assert(t, !r.Replace(start, Snapshot{Next: Position{1, 600}}), "a late response of the earlier epoch")
	_, kept := r.ChangesSince(Position{1, 480})
	assert.Assert(t, !kept, "changes of one epoch do not apply in another")
}

func TestRestoreDoesNotReviveRemovedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		before func(r *Registry)
		copied Entry
	}{
		"announced":                       {func(r *Registry) { put(t, r, start, leaving("a", 4)) }, entry("a", 3)},
		"announced and removed":           {func(r *Registry) { put(t, r, start, leaving("a", 4)); drop(t, r, start, "a") }, entry("a", 3)},
		"removed without an announcement": {func(r *Registry) { drop(t, r, start, "a") }, entry("a", 3)},
	} {
		r := newInEpoch1(t, entry("a", 3), entry("b", 1))
		c.before(r)
		after := start.Add(OutageGracePeriod + time.Millisecond)
		assert.Assert(t, !inUse(r, after, "a"), name)
		assert.Assert(t, r.Replace(after, Snapshot{Next: Position{2, 480}, Entries: []Entry{c.copied, entry("b", 1)}}), name)
		assert.Assert(t, !inUse(r, after, "a"), name)
		put(t, r, after, entry("a", 2))
		assert.Assert(t, !inUse(r, after, "a"), "%s: a delayed earlier write", name)
		put(t, r, after, entry("a", 9))
		assert.Assert(t, inUse(r, after, "a"), "%s: registers again", name)
	}
}

// TestStaleCandidateIsUsedOnceConfirmed: a target that was removed without an announcement may have
// returned. The copy does not show whether it has; a new write of the entry does, and so does an
// entry that does not lapse.
func TestStaleCandidateIsUsedOnceConfirmed(t *testing.T) {
	vanished := func() *Registry {
		r := newInEpoch1(t, entry("a", 3), entry("b", 1))
		drop(t, r, start.Add(-time.Minute), "a")
		assert.Assert(t, !inUse(r, start, "a"))
		assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 3), entry("b", 1)}}))
		assert.Assert(t, !inUse(r, start, "a"))
		return r
	}
	r := vanished()
	put(t, r, start, entry("a", 3))
	assert.Assert(t, inUse(r, start, "a"), "the entry was written again")
	r = vanished()
	assert.Assert(t, !inUse(r, start.Add(staleCandidateTimeout-time.Millisecond), "a"))
	assert.Assert(t, inUse(r, start.Add(staleCandidateTimeout), "a"), "the entry did not lapse")
	r = vanished()
	drop(t, r, start.Add(time.Second), "a")
	assert.Assert(t, !inUse(r, start.Add(staleCandidateTimeout), "a"))
}

// TestExpiredUnconfirmedTargetIsNotRevived: the copy of a second restore shows a target whose
// unconfirmed period has ended.
func TestExpiredUnconfirmedTargetIsNotRevived(t *testing.T) {
	r := newInEpoch1(t, entry("stays", 1), entry("a", 1))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	later := start.Add(OutageGracePeriod + time.Second)
	assert.Assert(t, !inUse(r, later, "a"))
	assert.Assert(t, r.Replace(later, Snapshot{Next: Position{3, 470}, Entries: []Entry{entry("stays", 1), entry("a", 1)}}))
	assert.Assert(t, !inUse(r, later, "a"))
}

func TestTargetMissingFromCopyIsKeptUnconfirmed(t *testing.T) {
	r := newInEpoch1(t, entry("stays", 1), entry("back", 1), entry("lost", 1))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	restored := r.TakeRestored()
	assert.DeepEqual(t, *restored, Restored{From: Position{1, 500}, To: Position{2, 480}, Kept: 2, Until: start.Add(OutageGracePeriod)})
	put(t, r, start.Add(time.Second), entry("back", 1))
	before := start.Add(OutageGracePeriod - time.Millisecond)
	assert.Assert(t, inUse(r, before, "lost"))
	after := start.Add(OutageGracePeriod + time.Millisecond)
	assert.Assert(t, !inUse(r, after, "lost"))
	assert.Assert(t, inUse(r, after, "back") && inUse(r, after, "stays"))
	assert.Assert(t, r.TakeRestored() == nil)
}

// TestSecondRestoreKeepsUnconfirmedTargets: the entry was written again after the first restore and
// lost in the second.
func TestSecondRestoreKeepsUnconfirmedTargets(t *testing.T) {
	r := newInEpoch1(t, entry("stays", 1), entry("a", 1))
	stays := []Entry{entry("stays", 1)}
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: stays}))
	second := start.Add(time.Second)
	assert.Assert(t, r.Replace(second, Snapshot{Next: Position{3, 480}, Entries: stays}))
	assert.Assert(t, inUse(r, second.Add(OutageGracePeriod-time.Millisecond), "a"))
	put(t, r, second.Add(OutageGracePeriod-time.Millisecond), entry("a", 1))
	assert.Assert(t, inUse(r, second.Add(time.Minute), "a"))
}

// TestUnconfirmedPeriodCountsFromWhenFleetLearned: an instance that learns of the restore late must
// not keep lost targets longer than the other instances.
func TestUnconfirmedPeriodCountsFromWhenFleetLearned(t *testing.T) {
	r := newInEpoch1(t, entry("stays", 1), entry("lost", 1))
	late := start.Add(2 * time.Second)
	assert.Assert(t, r.Replace(late, Snapshot{Next: Position{2, 481}, Entries: []Entry{entry("stays", 1)}, RestoreAge: 2 * time.Second}))
	assert.Assert(t, inUse(r, start.Add(OutageGracePeriod-time.Millisecond), "lost"))
	assert.Assert(t, !inUse(r, start.Add(OutageGracePeriod+time.Millisecond), "lost"))
}

// TestFreshInstanceMergesStateOfPeers: an instance that has only read the copy merges the state of
// a peer that has seen the restore, and of one that has not.
func TestFreshInstanceMergesStateOfPeers(t *testing.T) {
	for _, epoch := range []Epoch{1, 2} {
		peer := newInEpoch1(t, entry("left", 3), entry("gone", 3), entry("vanished", 3), entry("joined", 1), entry("stays", 1))
		put(t, peer, start, leaving("left", 4))
		put(t, peer, start, leaving("gone", 4))
		drop(t, peer, start, "gone")
		drop(t, peer, start, "vanished")
		old := Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("left", 3), entry("gone", 3), entry("vanished", 3), entry("stays", 1)}}
		if epoch == 2 {
			assert.Assert(t, peer.Replace(start, old))
		}
		fresh := New()
		assert.Assert(t, fresh.Replace(start, old))
		assert.Assert(t, inUse(fresh, start, "left") && inUse(fresh, start, "gone") && inUse(fresh, start, "vanished"))
		received := Snapshot{Next: peer.Next(), Entries: peer.Entries(), Vanished: peer.Vanished(start), Removed: peer.Removed(start)}
		assert.Assert(t, fresh.Merge(start, received), "epoch %d", epoch)
		for _, id := range []fleet.TargetID{"left", "gone", "vanished"} {
			assert.Assert(t, !inUse(fresh, start, id), "epoch %d: %s", epoch, id)
		}
		assert.Assert(t, inUse(fresh, start, "stays"))
		if epoch == 1 {
			assert.Assert(t, inUse(fresh, start, "joined"), "the copy lacks it and the peer has it")
		}
		assert.Assert(t, !fresh.Merge(start, received), "nothing new")
		assert.Equal(t, fresh.Next(), Position{2, 480})
	}
}

// TestPeerSnapshotOfEarlierEpochRevivesNothing: the entry was a stale candidate at the peer, whose
// snapshot arrived after a second restore.
func TestPeerSnapshotOfEarlierEpochRevivesNothing(t *testing.T) {
	r := newInEpoch1(t, entry("a", 1), entry("stays", 1))
	drop(t, r, start.Add(-time.Minute), "a")
	assert.Assert(t, !inUse(r, start, "a"))
	both := Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 1), entry("stays", 1)}}
	assert.Assert(t, r.Replace(start, both))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{3, 470}, Entries: []Entry{entry("stays", 1)}}))
	r.Merge(start, both)
	assert.Assert(t, !inUse(r, start, "a"))
}

// TestLatePeerDoesNotRestartUnconfirmedPeriod: the peer is still in the previous epoch when the
// grace period of targets that the copy lacks is over.
func TestLatePeerDoesNotRestartUnconfirmedPeriod(t *testing.T) {
	r := newInEpoch1(t, entry("a", 1), entry("stays", 1))
	before := Snapshot{Next: r.Next(), Entries: r.Entries()}
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	after := start.Add(OutageGracePeriod + time.Millisecond)
	assert.Assert(t, !inUse(r, after, "a"))
	r.Merge(after, before)
	assert.Assert(t, !inUse(r, after, "a"))
}

// TestRestoreDoesNotExtendGracePeriodOfRemovedTarget: work must end within the users' bound after
// the removal, which is known.
func TestRestoreDoesNotExtendGracePeriodOfRemovedTarget(t *testing.T) {
	r := newInEpoch1(t, entry("a", 1), entry("stays", 1))
	drop(t, r, start, "a")
	soon := start.Add(BaseGracePeriod / 2)
	assert.Assert(t, r.Replace(soon, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 1), entry("stays", 1)}}))
	assert.Assert(t, inUse(r, start.Add(BaseGracePeriod-time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(BaseGracePeriod+time.Millisecond), "a"))
}
