package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1000, 0)

func entry(id fleet.TargetID, sequence int64) Entry {
	return Entry{ID: id, Service: "s", Slots: 4, Sequence: sequence}
}

func put(t *testing.T, r *Registry, now time.Time, e Entry) {
	t.Helper()
	assert.Assert(t, r.Apply(now, Change{Offset: r.Next(), ID: e.ID, Entry: &e}))
}

func drop(t *testing.T, r *Registry, now time.Time, id fleet.TargetID) {
	t.Helper()
	assert.Assert(t, r.Apply(now, Change{Offset: r.Next(), ID: id}))
}

func inUse(r *Registry, now time.Time, id fleet.TargetID) bool {
	r.Tick(now)
	return r.View().Target(id) != nil
}

func TestLeavingTargetGetsNoNewWorkAtOnce(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	assert.Assert(t, inUse(r, start, "a"))
	leaving := entry("a", 2)
	leaving.Leaving = true
	put(t, r, start, leaving)
	assert.Assert(t, !inUse(r, start, "a"))
	drop(t, r, start, "a")
	assert.Assert(t, !inUse(r, start, "a"))
	put(t, r, start, entry("a", 1))
	assert.Assert(t, !inUse(r, start, "a"), "a late write of an old renewal brought it back")
}

func TestVanishedEntryIsHeldForAWhile(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	drop(t, r, start, "a")
	assert.Assert(t, inUse(r, start.Add(CalmHold-time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(CalmHold+time.Millisecond), "a"))
	assert.Assert(t, CalmHold < 2*time.Second)
}

// TestMostOfAServiceIsNotTakenAway: an outage of the log may be too short to be noticed,
// and its entries come back within about 2 s.
func TestMostOfAServiceIsNotTakenAway(t *testing.T) {
	for vanish, held := range map[int]bool{1: false, 2: false, 4: true, 5: true} {
		r := New()
		for n := range 5 {
			put(t, r, start, entry(fleet.TargetID(rune('a'+n)), 1))
		}
		for n := range vanish {
			drop(t, r, start, fleet.TargetID(rune('a'+n)))
		}
		assert.Equal(t, inUse(r, start.Add(2*time.Second), "a"), held, "%d of 5", vanish)
		assert.Assert(t, !inUse(r, start.Add(OutageHold+time.Millisecond), "a"), "%d of 5", vanish)
	}
}

func TestHoldsStayBelowAShortBound(t *testing.T) {
	r := New()
	r.LeaveWithin(time.Second)
	put(t, r, start, entry("a", 1))
	drop(t, r, start, "a")
	assert.Assert(t, inUse(r, start.Add(399*time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(401*time.Millisecond), "a"))
	r.LeaveWithin(time.Minute)
	put(t, r, start, entry("b", 1))
	drop(t, r, start, "b")
	assert.Assert(t, !inUse(r, start.Add(CalmHold+time.Millisecond), "b"))
}

// TestAHoldCountsFromWhenTheRemovalWasFirstLearned lets an instance learn late, from a
// peer: the target is out of use everywhere at the same time.
func TestAHoldCountsFromWhenTheRemovalWasFirstLearned(t *testing.T) {
	first, late := New(), New()
	for _, r := range []*Registry{first, late} {
		put(t, r, start, entry("a", 1))
		put(t, r, start, entry("b", 1))
	}
	drop(t, first, start, "a")
	told := start.Add(700 * time.Millisecond)
	assert.Assert(t, late.Replace(told, first.Next(), first.Entries(), first.Vanished(told)))
	assert.Assert(t, inUse(late, told, "a"))
	for _, r := range []*Registry{first, late} {
		assert.Assert(t, !inUse(r, start.Add(CalmHold+time.Millisecond), "a"))
		assert.Assert(t, inUse(r, start.Add(CalmHold+time.Millisecond), "b"))
	}
}

// TestALaggingPeerGetsTheChangesItLacks, and the whole state only if they are not kept.
func TestALaggingPeerGetsTheChangesItLacks(t *testing.T) {
	ahead, behind := New(), New()
	for _, r := range []*Registry{ahead, behind} {
		put(t, r, start, entry("a", 1))
	}
	put(t, ahead, start, entry("b", 1))
	drop(t, ahead, start, "a")
	changes, kept := ahead.Since(behind.Next())
	assert.Assert(t, kept)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, behind.Catch(start, changes, ahead.Vanished(start)))
	assert.Equal(t, behind.Next(), ahead.Next())
	assert.DeepEqual(t, behind.Entries(), ahead.Entries())
	assert.Assert(t, !behind.Catch(start, changes, nil), "no news")
	_, kept = ahead.Since(ahead.Next() + 1)
	assert.Assert(t, !kept, "the peer is ahead")
	for range 3 * recentChanges {
		put(t, ahead, start, entry("c", 1))
	}
	_, kept = ahead.Since(behind.Next())
	assert.Assert(t, !kept)
	changes, kept = ahead.Since(ahead.Next() - recentChanges)
	assert.Assert(t, kept)
	assert.Equal(t, len(changes), recentChanges)
	assert.Assert(t, ahead.Replace(start, ahead.Next()+5, nil, nil))
	_, kept = ahead.Since(ahead.Next() - 1)
	assert.Assert(t, !kept, "a snapshot hides what came before it")
}

func TestEntriesThatLapsedInAnOutageStayUntilTheyCanBeBack(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	put(t, r, start, entry("b", 1))
	r.LogAway(start)
	drop(t, r, start, "a")
	assert.Assert(t, inUse(r, start.Add(time.Minute), "a"), "the log is away")
	back := start.Add(time.Minute)
	r.LogBack(back)
	drop(t, r, back.Add(time.Second), "b")
	for _, id := range []fleet.TargetID{"a", "b"} {
		assert.Assert(t, inUse(r, back.Add(2*time.Second), id), id)
	}
	put(t, r, back.Add(2*time.Second), entry("a", 5))
	assert.Assert(t, inUse(r, back.Add(time.Minute), "a"))
	assert.Assert(t, !inUse(r, back.Add(time.Minute), "b"), "still missing, so it is gone")
}

func TestChangesAreAppliedInOrderAndOnce(t *testing.T) {
	r := New()
	e := entry("a", 1)
	assert.Assert(t, !r.Apply(start, Change{Offset: 1, ID: "a", Entry: &e}), "a gap")
	put(t, r, start, entry("a", 2))
	assert.Assert(t, r.Apply(start, Change{Offset: 0, ID: "a"}), "applied before")
	assert.Assert(t, inUse(r, start, "a"))
	assert.Assert(t, !r.Replace(start, 1, nil, nil), "not ahead")
	assert.Assert(t, r.Replace(start, 9, []Entry{entry("b", 1)}, nil))
	assert.Equal(t, r.Next(), Offset(9))
	assert.Assert(t, inUse(r, start, "b"))
	assert.Assert(t, !inUse(r, start.Add(time.Minute), "a"))
}

func TestAnOlderRenewalDoesNotUndoALaterOne(t *testing.T) {
	r := New()
	leaving := entry("a", 7)
	leaving.Leaving = true
	put(t, r, start, leaving)
	put(t, r, start, entry("a", 6))
	assert.Assert(t, !inUse(r, start, "a"))
}
