package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

// known is a registry in epoch 1 at offset 500 with some targets.
func known(t *testing.T, entries ...Entry) *Registry {
	r := New()
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{1, 500}, Entries: entries}))
	return r
}

func leaving(id fleet.TargetID, sequence int64) Entry {
	e := entry(id, sequence)
	e.Leaving = true
	return e
}

// TestAnOlderCopyIsTakenThoughItsOffsetsAreLower: a registry at offset 500 refused a snapshot
// that ended at 480, took nothing of what was written at the offsets that were given out
// again, and went on from 500.
func TestAnOlderCopyIsTakenThoughItsOffsetsAreLower(t *testing.T) {
	r := known(t, entry("a", 3))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 3)}}))
	e := entry("b", 1)
	assert.Assert(t, r.Apply(start, Change{Offset: 480, ID: "b", Entry: &e}))
	assert.Assert(t, inUse(r, start, "b"))
	assert.Equal(t, r.Next(), Position{2, 481})
	assert.Assert(t, !r.Replace(start, Snapshot{Next: Position{1, 600}}), "an answer of the earlier epoch comes late")
	_, kept := r.Since(Position{1, 480})
	assert.Assert(t, !kept, "changes of one epoch are of no use in another")
}

func TestAnOlderCopyDoesNotBringBackWhatLeft(t *testing.T) {
	for name, c := range map[string]struct {
		before func(r *Registry)
		copied Entry
	}{
		"it said so":              {func(r *Registry) { put(t, r, start, leaving("a", 4)) }, entry("a", 3)},
		"it said so and has gone": {func(r *Registry) { put(t, r, start, leaving("a", 4)); drop(t, r, start, "a") }, entry("a", 3)},
		"it went without a word":  {func(r *Registry) { drop(t, r, start, "a") }, entry("a", 3)},
	} {
		r := known(t, entry("a", 3), entry("b", 1))
		c.before(r)
		after := start.Add(OutageHold + time.Millisecond)
		assert.Assert(t, !inUse(r, after, "a"), name)
		assert.Assert(t, r.Replace(after, Snapshot{Next: Position{2, 480}, Entries: []Entry{c.copied, entry("b", 1)}}), name)
		assert.Assert(t, !inUse(r, after, "a"), name)
		put(t, r, after, entry("a", 2))
		assert.Assert(t, !inUse(r, after, "a"), "%s: a write of before comes late", name)
		put(t, r, after, entry("a", 9))
		assert.Assert(t, inUse(r, after, "a"), "%s: it registers anew", name)
	}
}

// TestAnEntryThatOutlivesTheCopyIsTrue: a target that had gone without a word may be back. What the
// copy shows does not tell; what it writes again does, and so does that the entry stays.
func TestAnEntryThatOutlivesTheCopyIsTrue(t *testing.T) {
	gone := func() *Registry {
		r := known(t, entry("a", 3), entry("b", 1))
		drop(t, r, start.Add(-time.Minute), "a")
		assert.Assert(t, !inUse(r, start, "a"))
		assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 3), entry("b", 1)}}))
		assert.Assert(t, !inUse(r, start, "a"))
		return r
	}
	r := gone()
	put(t, r, start, entry("a", 3))
	assert.Assert(t, inUse(r, start, "a"), "it has written its entry again")
	r = gone()
	assert.Assert(t, !inUse(r, start.Add(doubtFor-time.Millisecond), "a"))
	assert.Assert(t, inUse(r, start.Add(doubtFor), "a"), "its entry did not lapse")
	r = gone()
	drop(t, r, start.Add(time.Second), "a")
	assert.Assert(t, !inUse(r, start.Add(doubtFor), "a"))
}

// TestWhatWasTrustedInVainIsGone: the copy of a second restore shows it again.
func TestWhatWasTrustedInVainIsGone(t *testing.T) {
	r := known(t, entry("stays", 1), entry("a", 1))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	later := start.Add(OutageHold + time.Second)
	assert.Assert(t, !inUse(r, later, "a"))
	assert.Assert(t, r.Replace(later, Snapshot{Next: Position{3, 470}, Entries: []Entry{entry("stays", 1), entry("a", 1)}}))
	assert.Assert(t, !inUse(r, later, "a"))
}

func TestWhatAnOlderCopyLacksIsKeptOnTrust(t *testing.T) {
	r := known(t, entry("stays", 1), entry("back", 1), entry("lost", 1))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	restored := r.TakeRestored()
	assert.DeepEqual(t, *restored, Restored{From: Position{1, 500}, To: Position{2, 480}, Kept: 2, Until: start.Add(OutageHold)})
	put(t, r, start.Add(time.Second), entry("back", 1))
	just := start.Add(OutageHold - time.Millisecond)
	assert.Assert(t, inUse(r, just, "lost"))
	after := start.Add(OutageHold + time.Millisecond)
	assert.Assert(t, !inUse(r, after, "lost"))
	assert.Assert(t, inUse(r, after, "back") && inUse(r, after, "stays"))
	assert.Assert(t, r.TakeRestored() == nil)
}

// TestASecondRestoreKeepsWhatTheFirstLeftOnTrust: its entry was written again, and lost again.
func TestASecondRestoreKeepsWhatTheFirstLeftOnTrust(t *testing.T) {
	r := known(t, entry("stays", 1), entry("a", 1))
	stays := []Entry{entry("stays", 1)}
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: stays}))
	second := start.Add(time.Second)
	assert.Assert(t, r.Replace(second, Snapshot{Next: Position{3, 480}, Entries: stays}))
	assert.Assert(t, inUse(r, second.Add(OutageHold-time.Millisecond), "a"))
	put(t, r, second.Add(OutageHold-time.Millisecond), entry("a", 1))
	assert.Assert(t, inUse(r, second.Add(time.Minute), "a"))
}

// TestTrustCountsFromWhenTheFleetLearned: an instance that hears of the restore late does
// not keep what is lost for longer than the others.
func TestTrustCountsFromWhenTheFleetLearned(t *testing.T) {
	r := known(t, entry("stays", 1), entry("lost", 1))
	late := start.Add(2 * time.Second)
	assert.Assert(t, r.Replace(late, Snapshot{Next: Position{2, 481}, Entries: []Entry{entry("stays", 1)}, RestoreAge: 2 * time.Second}))
	assert.Assert(t, inUse(r, start.Add(OutageHold-time.Millisecond), "lost"))
	assert.Assert(t, !inUse(r, start.Add(OutageHold+time.Millisecond), "lost"))
}

// TestAProcessThatKnowsTheCopyAloneLearnsFromPeers: from one that has seen the restore, and
// from one that has not.
func TestAProcessThatKnowsTheCopyAloneLearnsFromPeers(t *testing.T) {
	for _, epoch := range []Epoch{1, 2} {
		peer := known(t, entry("left", 3), entry("gone", 3), entry("vanished", 3), entry("joined", 1), entry("stays", 1))
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
		told := Snapshot{Next: peer.Next(), Entries: peer.Entries(), Vanished: peer.Vanished(start), Removed: peer.Removed(start)}
		assert.Assert(t, fresh.Learn(start, told), "epoch %d", epoch)
		for _, id := range []fleet.TargetID{"left", "gone", "vanished"} {
			assert.Assert(t, !inUse(fresh, start, id), "epoch %d: %s", epoch, id)
		}
		assert.Assert(t, inUse(fresh, start, "stays"))
		if epoch == 1 {
			assert.Assert(t, inUse(fresh, start, "joined"), "the copy lacks it and the peer knows it")
		}
		assert.Assert(t, !fresh.Learn(start, told), "nothing new")
		assert.Equal(t, fresh.Next(), Position{2, 480})
	}
}

// TestAPeersAnswerOfAnEarlierEpochBringsNothingBack: found by exploring; the peer doubted the entry, and
// its answer came after a second restore.
func TestAPeersAnswerOfAnEarlierEpochBringsNothingBack(t *testing.T) {
	r := known(t, entry("a", 1), entry("stays", 1))
	drop(t, r, start.Add(-time.Minute), "a")
	assert.Assert(t, !inUse(r, start, "a"))
	both := Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 1), entry("stays", 1)}}
	assert.Assert(t, r.Replace(start, both))
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{3, 470}, Entries: []Entry{entry("stays", 1)}}))
	r.Learn(start, both)
	assert.Assert(t, !inUse(r, start, "a"))
}

// TestTrustIsNotBegunAnewByALatePeer: found by exploring; the peer still is in the epoch before, and
// the time for what the copy lacks is over.
func TestTrustIsNotBegunAnewByALatePeer(t *testing.T) {
	r := known(t, entry("a", 1), entry("stays", 1))
	before := Snapshot{Next: r.Next(), Entries: r.Entries()}
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("stays", 1)}}))
	after := start.Add(OutageHold + time.Millisecond)
	assert.Assert(t, !inUse(r, after, "a"))
	r.Learn(after, before)
	assert.Assert(t, !inUse(r, after, "a"))
}

// TestARestoreDoesNotProlongTheHoldOfWhatWasRemoved: work must end within the users' bound after the
// removal, which is known.
func TestARestoreDoesNotProlongTheHoldOfWhatWasRemoved(t *testing.T) {
	r := known(t, entry("a", 1), entry("stays", 1))
	drop(t, r, start, "a")
	soon := start.Add(CalmHold / 2)
	assert.Assert(t, r.Replace(soon, Snapshot{Next: Position{2, 480}, Entries: []Entry{entry("a", 1), entry("stays", 1)}}))
	assert.Assert(t, inUse(r, start.Add(CalmHold-time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(CalmHold+time.Millisecond), "a"))
}
