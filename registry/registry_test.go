package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1000, 0)

// at is so many seconds after the start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func entry(id fleet.TargetID, sequence int64) Entry {
	return Entry{ID: id, Service: "s", Slots: 4, Sequence: sequence}
}

func put(t *testing.T, r *Registry, now time.Time, e Entry) {
	t.Helper()
	assert.Assert(t, r.Apply(now, Change{Offset: r.Next().Offset, ID: e.ID, Entry: &e}))
}

func drop(t *testing.T, r *Registry, now time.Time, id fleet.TargetID) {
	t.Helper()
	assert.Assert(t, r.Apply(now, Change{Offset: r.Next().Offset, ID: id}))
}

// moved is the registry's position, moved by some changes.
func moved(r *Registry, by Offset) Position {
	p := r.Next()
	p.Offset += by
	return p
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
// and its entries come back within about 2 s. They are held for as long as the bound allows, and where the
// outage is known until they can be back.
func TestMostOfAServiceIsNotTakenAway(t *testing.T) {
	for vanish, held := range map[int]bool{1: false, 2: false, 4: true, 5: true} {
		for _, known := range []bool{false, true} {
			r := New()
			for n := range 5 {
				put(t, r, start, entry(fleet.TargetID(rune('a'+n)), 1))
			}
			end := start.Add(defaultBound - leaveReserve)
			if known {
				answered(r, start.Add(-time.Minute), start.Add(-3*time.Second))
				answered(r, start, start)
				end, held = start.Add(OutageHold), true
			}
			for n := range vanish {
				drop(t, r, start, fleet.TargetID(rune('a'+n)))
			}
			assert.Equal(t, inUse(r, end, "a"), held, "%d of 5, known %t", vanish, known)
			assert.Assert(t, !inUse(r, end.Add(time.Millisecond), "a"), "%d of 5, known %t", vanish, known)
		}
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
	assert.Assert(t, late.Replace(told, Snapshot{Next: first.Next(), Entries: first.Entries(), Vanished: first.Vanished(told)}))
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
	_, kept = ahead.Since(moved(ahead, 1))
	assert.Assert(t, !kept, "the peer is ahead")
	for range 3 * recentChanges {
		put(t, ahead, start, entry("c", 1))
	}
	_, kept = ahead.Since(behind.Next())
	assert.Assert(t, !kept)
	changes, kept = ahead.Since(moved(ahead, -recentChanges))
	assert.Assert(t, kept)
	assert.Equal(t, len(changes), recentChanges)
	assert.Assert(t, ahead.Replace(start, Snapshot{Next: moved(ahead, 5)}))
	_, kept = ahead.Since(moved(ahead, -1))
	assert.Assert(t, !kept, "a snapshot hides what came before it")
}

// answered notes that the log answered from one time until another.
func answered(r *Registry, from, until time.Time) { r.Answered(Span{From: from, Until: until}) }

func TestEntriesThatLapsedInAnOutageStayUntilTheyCanBeBack(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	put(t, r, start, entry("b", 1))
	answered(r, start.Add(-time.Minute), start)
	r.SetAway(true)
	drop(t, r, start.Add(time.Millisecond), "a")
	assert.Assert(t, inUse(r, start.Add(20*time.Second), "a"), "the log is away")
	back := start.Add(20 * time.Second)
	r.SetAway(false)
	answered(r, back, back)
	drop(t, r, back.Add(time.Second), "b")
	for _, id := range []fleet.TargetID{"a", "b"} {
		assert.Assert(t, inUse(r, back.Add(2*time.Second), id), id)
	}
	put(t, r, back.Add(2*time.Second), entry("a", 5))
	assert.Assert(t, inUse(r, back.Add(time.Minute), "a"))
	assert.Assert(t, !inUse(r, back.Add(time.Minute), "b"), "still missing, so it is gone")
}

// TestWhatSomebodyWasAnsweredInIsNoOutage: an instance that got no answer for a time hears only later
// that others had some all the while.
func TestWhatSomebodyWasAnsweredInIsNoOutage(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	answered(r, start.Add(-time.Minute), start)
	back := start.Add(5 * time.Second)
	answered(r, back, back)
	assert.Equal(t, r.Outage(), Span{From: start, Until: back})
	drop(t, r, back, "a")
	assert.Assert(t, inUse(r, back.Add(CalmHold+100*time.Millisecond), "a"))
	answered(r, start.Add(-time.Second), back.Add(time.Millisecond))
	assert.Equal(t, r.Outage(), Span{})
	assert.Assert(t, !inUse(r, back.Add(CalmHold+200*time.Millisecond), "a"))
}

// TestAnOutageBetweenManySpans: spans come in any order, and what is less than a second apart is one.
func TestAnOutageBetweenManySpans(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	r := New()
	for _, s := range [][2]float64{{8, 9}, {0, 1}, {1.5, 2}, {9.9, 11}, {5, 5}} {
		answered(r, at(s[0]), at(s[1]))
	}
	assert.DeepEqual(t, r.contact.outages(at(12)), []Span{{at(2), at(5)}, {at(5), at(8)}})
	answered(r, at(4.5), at(7.5))
	assert.DeepEqual(t, r.contact.outages(at(12)), []Span{{at(2), at(4.5)}})
	r.contact.forget(at(2).Add(contactMemory + time.Second))
	assert.Equal(t, len(r.contact.outages(at(12))), 0)
}

func TestChangesAreAppliedInOrderAndOnce(t *testing.T) {
	r := New()
	e := entry("a", 1)
	assert.Assert(t, !r.Apply(start, Change{Offset: 1, ID: "a", Entry: &e}), "a gap")
	put(t, r, start, entry("a", 2))
	assert.Assert(t, r.Apply(start, Change{Offset: 0, ID: "a"}), "applied before")
	assert.Assert(t, inUse(r, start, "a"))
	assert.Assert(t, !r.Replace(start, Snapshot{Next: Position{Offset: 1}}), "not ahead")
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{Offset: 9}, Entries: []Entry{entry("b", 1)}}))
	assert.Equal(t, r.Next(), Position{Offset: 9})
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

func bornAt(id fleet.TargetID, born, sequence int64) Entry {
	e := entry(id, sequence)
	e.Born, e.Addr = born, fmt.Sprintf("10.0.0.%d:80", born)
	return e
}

// TestATargetThatStartsAgainIsKnownByItsLaterProcess: its sequence starts anew, so that
// its entries looked older than those of its earlier process, and it stayed what that had
// been: leaving, or at another address.
func TestATargetThatStartsAgainIsKnownByItsLaterProcess(t *testing.T) {
	for name, before := range map[string]func(*Registry){
		"in use":  func(r *Registry) { put(t, r, start, bornAt("a", 1, 50)) },
		"leaving": func(r *Registry) { e := bornAt("a", 1, 50); e.Leaving = true; put(t, r, start, e) },
		"gone with a notice": func(r *Registry) {
			e := bornAt("a", 1, 50)
			e.Leaving = true
			put(t, r, start, e)
			drop(t, r, start, "a")
		},
		"gone without a notice":     func(r *Registry) { put(t, r, start, bornAt("a", 1, 50)); drop(t, r, start, "a") },
		"earlier one does not tell": func(r *Registry) { put(t, r, start, entry("a", 50)) },
	} {
		r := New()
		before(r)
		r.TakeRestarted()
		put(t, r, start, bornAt("a", 2, 1))
		assert.Equal(t, r.View().Target("a").Addr, "10.0.0.2:80", name)
		assert.DeepEqual(t, r.TakeRestarted(), []fleet.TargetID{"a"})
		assert.Equal(t, len(r.Vanished(start)), 0, name)
	}
}

// TestALateEntryOfAnEarlierProcessChangesNothing: neither as a change, nor in a snapshot, nor
// after the later process has gone.
func TestALateEntryOfAnEarlierProcessChangesNothing(t *testing.T) {
	late := bornAt("a", 1, 70)
	r := New()
	put(t, r, start, bornAt("a", 2, 1))
	put(t, r, start, late)
	assert.Equal(t, r.View().Target("a").Born, int64(2))
	assert.Assert(t, r.Replace(start, Snapshot{Next: moved(r, 5), Entries: []Entry{late}}))
	assert.Equal(t, r.View().Target("a").Born, int64(2))
	drop(t, r, start, "a")
	put(t, r, start, late)
	assert.Assert(t, !inUse(r, start.Add(time.Minute), "a"))
	put(t, r, start, bornAt("a", 2, 9))
	assert.Assert(t, inUse(r, start.Add(time.Minute), "a"), "the process itself may come back")
	assert.Equal(t, len(r.TakeRestarted()), 0)
}

func TestStartsTravelBesideEntries(t *testing.T) {
	a, b := bornAt("a", 7, 1), entry("b", 1)
	assert.Assert(t, Starts([]*Entry{&b}) == nil)
	starts := Starts([]*Entry{&a, &b})
	a.Born = 0
	assert.NilError(t, SetStarts([]*Entry{&a, &b}, starts))
	assert.Equal(t, a.Born, int64(7))
	assert.Equal(t, b.Born, int64(0))
	assert.NilError(t, SetStarts([]*Entry{&a}, nil), "from an instance that knows of none")
	assert.ErrorContains(t, SetStarts([]*Entry{&a}, starts), "2 starts for 1")
}

// TestAnInstanceThatLearnsLateKeepsNoTargetForLonger: the hold began anew at an instance that learned of the removal late.
func TestAnInstanceThatLearnsLateKeepsNoTargetForLonger(t *testing.T) {
	for _, whole := range []bool{false, true} {
		for late := time.Duration(0); late < 3*time.Second; late += 100 * time.Millisecond {
			peer, r := New(), New()
			for _, r := range []*Registry{peer, r} {
				put(t, r, start, entry("a", 1))
				put(t, r, start, entry("b", 1))
			}
			behind := r.Next()
			drop(t, peer, start, "a")
			learned := start.Add(late)
			peer.Tick(learned)
			if whole {
				r.Replace(learned, Snapshot{Next: peer.Next(), Entries: peer.Entries(), Vanished: peer.Vanished(learned)})
			} else {
				changes, _ := peer.Since(behind)
				r.Catch(learned, changes, peer.Vanished(learned))
			}
			end := later(start.Add(CalmHold), learned).Add(time.Millisecond)
			assert.Assert(t, !inUse(r, end, "a"), "told %v late, whole state %t", late, whole)
			assert.Assert(t, inUse(r, end, "b"))
		}
	}
}

// TestManyTargetsThatGoTogetherGoInTime: targets that vanished together were used past the bound though the log had answered.
func TestManyTargetsThatGoTogetherGoInTime(t *testing.T) {
	const all, bound = 5, 2 * time.Second
	for gone := 1; gone <= all; gone++ {
		r := New()
		r.LeaveWithin(bound)
		for n := range all {
			put(t, r, start, entry(fleet.TargetID(rune('a'+n)), 1))
		}
		answered(r, start.Add(-time.Minute), start)
		for n := range gone {
			drop(t, r, start, fleet.TargetID(rune('a'+n)))
		}
		answered(r, start, start.Add(bound))
		assert.Assert(t, !inUse(r, start.Add(bound-600*time.Millisecond), "a"), "%d of %d", gone, all)
	}
}

// TestADepartureHoldsForItsProcess: what the log says of a process that said that it leaves changes nothing, and the
// next one under its ID is used.
func TestADepartureHoldsForItsProcess(t *testing.T) {
	r := New()
	write := func(s float64, born, sequence int64, leaving bool) {
		e := Entry{ID: "a", Service: "s", Addr: "x", Born: born, Sequence: sequence, Leaving: leaving}
		assert.Assert(t, r.Apply(at(s), Change{Offset: r.Next().Offset, ID: "a", Entry: &e}))
	}
	used := func() bool { return r.View().Target("a") != nil }
	write(0, 5, 1, false)
	assert.Assert(t, !r.Depart(at(1), Departure{ID: "a", Born: 4}), "an earlier process")
	assert.Assert(t, !r.Depart(at(1), Departure{ID: "a", Born: 5, AgeMillis: -1}))
	assert.Assert(t, !r.Depart(at(1), Departure{ID: "a", Born: 5, AgeMillis: 1 << 40}))
	assert.Assert(t, used())
	assert.Assert(t, r.Depart(at(1), Departure{ID: "a", Born: 5, AgeMillis: 200}))
	assert.Assert(t, !r.Depart(at(1), Departure{ID: "a", Born: 5}), "it is known")
	assert.Assert(t, !used())
	write(2, 5, 2, false)
	assert.Assert(t, !used())
	assert.DeepEqual(t, r.DeparturesToTell(at(8)), []Departure{{ID: "a", Born: 5, AgeMillis: 7200}})
	write(9, 5, 3, true)
	assert.Equal(t, len(r.DeparturesToTell(at(9))), 0, "the log confirms it")
	assert.Equal(t, len(r.Departures(at(9))), 1)
	assert.Assert(t, r.Apply(at(10), Change{Offset: r.Next().Offset, ID: "a"}))
	assert.Assert(t, !used(), "it is not held")
	write(11, 5, 4, false)
	assert.Assert(t, !used())
	write(12, 6, 1, false)
	assert.Assert(t, used())
	r.Tick(at(13))
	assert.Equal(t, len(r.Departures(at(13))), 0)
}

// TestDeparturesAreBounded: those of unknown targets are kept for a minute, and only so many.
func TestDeparturesAreBounded(t *testing.T) {
	r := New()
	for n := range 2 * departuresMost {
		r.Depart(at(0), Departure{ID: fleet.TargetID(fmt.Sprint(n))})
	}
	assert.Equal(t, len(r.Departures(at(0))), departuresMost)
	r.Tick(at(61))
	assert.Equal(t, len(r.Departures(at(61))), 0)
}

// TestADepartureMayBeLifted: the later word counts, in whichever order instances hear them, and the process may say again
// that it leaves.
func TestADepartureMayBeLifted(t *testing.T) {
	said, lifted := Departure{ID: "a", Born: 5, AgeMillis: 900}, Departure{ID: "a", Born: 5, AgeMillis: 400, Lifted: true}
	for _, order := range [][]Departure{{said, lifted}, {said, lifted, said}, {lifted, said, lifted}} {
		r := New()
		e := Entry{ID: "a", Service: "s", Addr: "x", Born: 5, Sequence: 1}
		put(t, r, at(0), e)
		for _, d := range order {
			r.Depart(at(1), d)
		}
		assert.Assert(t, r.View().Target("a") != nil)
		assert.Assert(t, r.Depart(at(2), Departure{ID: "a", Born: 5}))
		assert.Assert(t, r.View().Target("a") == nil)
	}
}
