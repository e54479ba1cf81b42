package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1000, 0)

// at returns the time s seconds after the start.
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

// offsetNext returns the registry's position, shifted by a number of changes.
func offsetNext(r *Registry, by Offset) Position {
	p := r.Next()
	p.Offset += by
	return p
}

func inUse(r *Registry, now time.Time, id fleet.TargetID) bool {
	r.Tick(now)
	return r.View().Target(id) != nil
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
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
	assert.Assert(t, !inUse(r, start, "a"), "a delayed write of an older renewal revived the target")
}

func TestVanishedEntryIsKeptForGracePeriod(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	drop(t, r, start, "a")
	assert.Assert(t, inUse(r, start.Add(BaseGracePeriod-time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(BaseGracePeriod+time.Millisecond), "a"))
	assert.Assert(t, BaseGracePeriod < 2*time.Second)
}

// TestMassLapseExtendsGracePeriod: an outage of the log may be too short to be noticed, and the
// entries that lapsed in it are registered again within about 2 s. If most entries of a service
// vanish together, their targets stay in use for as long as the removal bound allows; after a known
// outage, until they can have registered again.
func TestMassLapseExtendsGracePeriod(t *testing.T) {
	for vanish, kept := range map[int]bool{1: false, 2: false, 4: true, 5: true} {
		for _, known := range []bool{false, true} {
			r := New()
			for n := range 5 {
				put(t, r, start, entry(fleet.TargetID(rune('a'+n)), 1))
			}
			end := start.Add(defaultRemovalBound - drainReserve)
			if known {
				answered(r, start.Add(-time.Minute), start.Add(-3*time.Second))
				answered(r, start, start)
				r.RecordFailed(Span{From: start.Add(-2 * time.Second), Until: start.Add(-time.Second)})
				end, kept = start.Add(OutageGracePeriod), true
			}
			for n := range vanish {
				drop(t, r, start, fleet.TargetID(rune('a'+n)))
			}
			assert.Equal(t, inUse(r, end, "a"), kept, "%d of 5 vanished, outage known %t", vanish, known)
			assert.Assert(t, !inUse(r, end.Add(time.Millisecond), "a"), "%d of 5 vanished, outage known %t", vanish, known)
		}
	}
}

// TestMassLapseLastsWhileOthersReturn: the grace period of the last target to register again does not
// shrink because most of the others have done so.
func TestMassLapseLastsWhileOthersReturn(t *testing.T) {
	ids := []fleet.TargetID{"a", "b", "c", "d"}
	for _, ticks := range []bool{false, true} {
		r := New()
		for _, id := range ids {
			put(t, r, start, entry(id, 1))
		}
		for _, id := range ids {
			drop(t, r, start, id)
		}
		if ticks {
			r.Tick(start.Add(time.Millisecond))
		}
		for _, id := range ids[1:] {
			put(t, r, at(0.5), entry(id, 2))
		}
		end := start.Add(defaultRemovalBound - drainReserve)
		assert.Assert(t, inUse(r, end, "a"), "ticks between: %t", ticks)
		assert.Assert(t, !inUse(r, end.Add(time.Millisecond), "a"), "ticks between: %t", ticks)
	}
}

func TestGracePeriodStaysBelowShortBound(t *testing.T) {
	r := New()
	r.SetRemovalBound(time.Second)
	put(t, r, start, entry("a", 1))
	drop(t, r, start, "a")
	assert.Assert(t, inUse(r, start.Add(399*time.Millisecond), "a"))
	assert.Assert(t, !inUse(r, start.Add(401*time.Millisecond), "a"))
	r.SetRemovalBound(time.Minute)
	put(t, r, start, entry("b", 1))
	drop(t, r, start, "b")
	assert.Assert(t, !inUse(r, start.Add(BaseGracePeriod+time.Millisecond), "b"))
}

// TestGracePeriodCountsFromFirstLearned: an instance learns of a removal late, from a peer. The
// target must go out of use at the same time on all instances.
func TestGracePeriodCountsFromFirstLearned(t *testing.T) {
	first, late := New(), New()
	for _, r := range []*Registry{first, late} {
		put(t, r, start, entry("a", 1))
		put(t, r, start, entry("b", 1))
	}
	drop(t, first, start, "a")
	learned := start.Add(700 * time.Millisecond)
	assert.Assert(t, late.Replace(learned, Snapshot{Next: first.Next(), Entries: first.Entries(), Vanished: first.Vanished(learned)}))
	assert.Assert(t, inUse(late, learned, "a"))
	for _, r := range []*Registry{first, late} {
		assert.Assert(t, !inUse(r, start.Add(BaseGracePeriod+time.Millisecond), "a"))
		assert.Assert(t, inUse(r, start.Add(BaseGracePeriod+time.Millisecond), "b"))
	}
}

// TestLaggingPeerGetsMissingChanges: a lagging peer gets the changes that it lacks, and a snapshot
// only if they are not kept.
func TestLaggingPeerGetsMissingChanges(t *testing.T) {
	ahead, behind := New(), New()
	for _, r := range []*Registry{ahead, behind} {
		put(t, r, start, entry("a", 1))
	}
	put(t, ahead, start, entry("b", 1))
	drop(t, ahead, start, "a")
	changes, kept := ahead.ChangesSince(behind.Next())
	assert.Assert(t, kept)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, behind.CatchUp(start, changes, ahead.Vanished(start)))
	assert.Equal(t, behind.Next(), ahead.Next())
	assert.DeepEqual(t, behind.Entries(), ahead.Entries())
	assert.Assert(t, !behind.CatchUp(start, changes, nil), "nothing new")
	_, kept = ahead.ChangesSince(offsetNext(ahead, 1))
	assert.Assert(t, !kept, "the requested position is ahead")
	for range 3 * maxRecentChanges {
		put(t, ahead, start, entry("c", 1))
	}
	_, kept = ahead.ChangesSince(behind.Next())
	assert.Assert(t, !kept)
	changes, kept = ahead.ChangesSince(offsetNext(ahead, -maxRecentChanges))
	assert.Assert(t, kept)
	assert.Equal(t, len(changes), maxRecentChanges)
	assert.Assert(t, ahead.Replace(start, Snapshot{Next: offsetNext(ahead, 5)}))
	_, kept = ahead.ChangesSince(offsetNext(ahead, -1))
	assert.Assert(t, !kept, "changes from before a snapshot are not kept")
}

// answered records that the log answered from one time until another.
func answered(r *Registry, from, until time.Time) { r.RecordAnswered(Span{From: from, Until: until}) }

// assertLastGap checks the last time without answers, and whether it counts as an outage.
func assertLastGap(t *testing.T, r *Registry, want Span, wantOutage bool) {
	t.Helper()
	gap := r.LastGap()
	assert.Equal(t, gap.Span, want)
	assert.Equal(t, gap.Outage, wantOutage)
}

// TestTimeWithoutCallsIsNoOutage guards against targets that are kept past the bound because nobody
// called the log for a while: its readers had ended, and others began to read later.
func TestTimeWithoutCallsIsNoOutage(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	answered(r, start.Add(-time.Minute), start)
	takeover := start.Add(1300 * time.Millisecond)
	answered(r, takeover, takeover)
	assertLastGap(t, r, Span{From: start, Until: takeover}, false)
	drop(t, r, takeover, "a")
	assert.Assert(t, !inUse(r, takeover.Add(BaseGracePeriod+time.Millisecond), "a"))
	r.RecordFailed(Span{From: start.Add(-time.Second), Until: start.Add(time.Second)})
	assertLastGap(t, r, Span{From: start, Until: takeover}, true)
}

// TestShortFailureIsNoOutage guards against targets that are kept past the bound because calls were refused for a
// moment at the end of a time in which nobody called.
func TestShortFailureIsNoOutage(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	answered(r, start.Add(-time.Minute), start)
	refused, takeover := start.Add(1300*time.Millisecond), start.Add(2200*time.Millisecond)
	r.RecordFailed(Span{From: refused, Until: refused.Add(600 * time.Millisecond)})
	answered(r, takeover, takeover)
	gap := r.LastGap()
	assert.Equal(t, gap, Gap{Span: Span{From: start, Until: takeover}, Failing: 900 * time.Millisecond})
	drop(t, r, takeover, "a")
	assert.Assert(t, !inUse(r, takeover.Add(BaseGracePeriod+time.Millisecond), "a"))
	r.RecordFailed(Span{From: takeover.Add(-defaultMinOutage), Until: takeover.Add(-time.Millisecond)})
	assertLastGap(t, r, Span{From: start, Until: takeover}, true)
}

func TestOutageExtendsGracePeriod(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	put(t, r, start, entry("b", 1))
	answered(r, start.Add(-time.Minute), start)
	r.SetUnavailable(start, true)
	drop(t, r, start.Add(time.Millisecond), "a")
	assert.Assert(t, inUse(r, start.Add(20*time.Second), "a"), "the log is unavailable")
	back := start.Add(20 * time.Second)
	r.SetUnavailable(back, false)
	answered(r, back, back)
	drop(t, r, back.Add(time.Second), "b")
	for _, id := range []fleet.TargetID{"a", "b"} {
		assert.Assert(t, inUse(r, back.Add(2*time.Second), id), id)
	}
	put(t, r, back.Add(2*time.Second), entry("a", 5))
	assert.Assert(t, inUse(r, back.Add(time.Minute), "a"))
	assert.Assert(t, !inUse(r, back.Add(time.Minute), "b"), "still missing, so it is out of use")
}

// TestSpanOfAnotherInstanceCancelsOutage: an instance that got no response for a time learns only
// later that other instances got responses throughout.
func TestSpanOfAnotherInstanceCancelsOutage(t *testing.T) {
	r := New()
	put(t, r, start, entry("a", 1))
	answered(r, start.Add(-time.Minute), start)
	back := start.Add(5 * time.Second)
	r.RecordFailed(Span{From: start.Add(time.Second), Until: start.Add(3 * time.Second)})
	answered(r, back, back)
	assertLastGap(t, r, Span{From: start, Until: back}, true)
	drop(t, r, back, "a")
	assert.Assert(t, inUse(r, back.Add(BaseGracePeriod+100*time.Millisecond), "a"))
	answered(r, start.Add(-time.Second), back.Add(time.Millisecond))
	assertLastGap(t, r, Span{}, false)
	assert.Assert(t, !inUse(r, back.Add(BaseGracePeriod+200*time.Millisecond), "a"))
}

// TestOutagesBetweenManySpans: spans arrive in any order, and spans less than minOutage apart are
// merged.
func TestOutagesBetweenManySpans(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	r := New()
	for _, s := range [][2]float64{{8, 9}, {0, 1}, {1.5, 2}, {9.9, 11}, {5, 5}} {
		answered(r, at(s[0]), at(s[1]))
	}
	assert.Equal(t, len(r.availability.outages(at(12))), 0, "nobody called")
	for _, s := range [][2]float64{{1.9, 2.1}, {6, 6.5}, {6.4, 7}, {12, 13}} {
		r.RecordFailed(Span{at(s[0]), at(s[1])})
	}
	assert.Equal(t, len(r.availability.failures), 3, "those that overlap are one")
	assert.DeepEqual(t, r.availability.outages(at(12)), []Span{{at(2), at(5)}, {at(5), at(8)}})
	answered(r, at(4.5), at(7.5))
	assert.DeepEqual(t, r.availability.outages(at(12)), []Span{{at(2), at(4.5)}})
	r.availability.prune(at(2).Add(SpanRetention + time.Second))
	assert.Equal(t, len(r.availability.outages(at(12))), 0)
}

func TestChangesAreAppliedInOrderAndOnce(t *testing.T) {
	r := New()
	e := entry("a", 1)
	assert.Assert(t, !r.Apply(start, Change{Offset: 1, ID: "a", Entry: &e}), "a change is missing before it")
	put(t, r, start, entry("a", 2))
	assert.Assert(t, r.Apply(start, Change{Offset: 0, ID: "a"}), "already applied")
	assert.Assert(t, inUse(r, start, "a"))
	assert.Assert(t, !r.Replace(start, Snapshot{Next: Position{Offset: 1}}), "not ahead of the registry")
	assert.Assert(t, r.Replace(start, Snapshot{Next: Position{Offset: 9}, Entries: []Entry{entry("b", 1)}}))
	assert.Equal(t, r.Next(), Position{Offset: 9})
	assert.Assert(t, inUse(r, start, "b"))
	assert.Assert(t, !inUse(r, start.Add(time.Minute), "a"))
}

func TestOlderRenewalDoesNotUndoLaterOne(t *testing.T) {
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

// TestRestartedTargetReplacesEarlierProcess: the sequence of a target starts again with its
// process, so the entries of the new process looked older than those of the earlier one, and the
// target kept the earlier state: leaving, or at another address.
func TestRestartedTargetReplacesEarlierProcess(t *testing.T) {
	for name, before := range map[string]func(*Registry){
		"in use":  func(r *Registry) { put(t, r, start, bornAt("a", 1, 50)) },
		"leaving": func(r *Registry) { e := bornAt("a", 1, 50); e.Leaving = true; put(t, r, start, e) },
		"removed after an announcement": func(r *Registry) {
			e := bornAt("a", 1, 50)
			e.Leaving = true
			put(t, r, start, e)
			drop(t, r, start, "a")
		},
		"removed without an announcement":      func(r *Registry) { put(t, r, start, bornAt("a", 1, 50)); drop(t, r, start, "a") },
		"earlier process without a start time": func(r *Registry) { put(t, r, start, entry("a", 50)) },
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

// TestLateEntryOfEarlierProcessIsIgnored: as a change, in a snapshot, and after the later process
// was removed.
func TestLateEntryOfEarlierProcessIsIgnored(t *testing.T) {
	late := bornAt("a", 1, 70)
	r := New()
	put(t, r, start, bornAt("a", 2, 1))
	put(t, r, start, late)
	assert.Equal(t, r.View().Target("a").Born, int64(2))
	assert.Assert(t, r.Replace(start, Snapshot{Next: offsetNext(r, 5), Entries: []Entry{late}}))
	assert.Equal(t, r.View().Target("a").Born, int64(2))
	drop(t, r, start, "a")
	put(t, r, start, late)
	assert.Assert(t, !inUse(r, start.Add(time.Minute), "a"))
	put(t, r, start, bornAt("a", 2, 9))
	assert.Assert(t, inUse(r, start.Add(time.Minute), "a"), "the same process may return")
	assert.Equal(t, len(r.TakeRestarted()), 0)
}

func TestStartTimesTravelBesideEntries(t *testing.T) {
	a, b := bornAt("a", 7, 1), entry("b", 1)
	assert.Assert(t, StartTimes([]*Entry{&b}) == nil)
	starts := StartTimes([]*Entry{&a, &b})
	a.Born = 0
	assert.NilError(t, SetStartTimes([]*Entry{&a, &b}, starts))
	assert.Equal(t, a.Born, int64(7))
	assert.Equal(t, b.Born, int64(0))
	assert.NilError(t, SetStartTimes([]*Entry{&a}, nil), "from an instance that reports none")
	assert.ErrorContains(t, SetStartTimes([]*Entry{&a}, starts), "2 start times for 1")
}

// TestLateInstanceDoesNotExtendGracePeriod: the grace period started again at an instance that
// learned of the removal late.
func TestLateInstanceDoesNotExtendGracePeriod(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
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
			if snapshot {
				r.Replace(learned, Snapshot{Next: peer.Next(), Entries: peer.Entries(), Vanished: peer.Vanished(learned)})
			} else {
				changes, _ := peer.ChangesSince(behind)
				r.CatchUp(learned, changes, peer.Vanished(learned))
			}
			end := later(start.Add(BaseGracePeriod), learned).Add(time.Millisecond)
			assert.Assert(t, !inUse(r, end, "a"), "learned %v late, snapshot %t", late, snapshot)
			assert.Assert(t, inUse(r, end, "b"))
		}
	}
}

// TestMassRemovalEndsWithinBound: targets that vanished together were used past the removal bound
// although the log was available.
func TestMassRemovalEndsWithinBound(t *testing.T) {
	const all, bound = 5, 2 * time.Second
	for removed := 1; removed <= all; removed++ {
		r := New()
		r.SetRemovalBound(bound)
		for n := range all {
			put(t, r, start, entry(fleet.TargetID(rune('a'+n)), 1))
		}
		answered(r, start.Add(-time.Minute), start)
		for n := range removed {
			drop(t, r, start, fleet.TargetID(rune('a'+n)))
		}
		answered(r, start, start.Add(bound))
		assert.Assert(t, !inUse(r, start.Add(bound-600*time.Millisecond), "a"), "%d of %d removed", removed, all)
	}
}

// TestDepartureAppliesToItsProcess: the log does not revive a process that announced that it
// leaves; the next process with its ID is used.
func TestDepartureAppliesToItsProcess(t *testing.T) {
	r := New()
	write := func(s float64, born, sequence int64, leaving bool) {
		e := Entry{ID: "a", Service: "s", Addr: "x", Born: born, Sequence: sequence, Leaving: leaving}
		assert.Assert(t, r.Apply(at(s), Change{Offset: r.Next().Offset, ID: "a", Entry: &e}))
	}
	used := func() bool { return r.View().Target("a") != nil }
	write(0, 5, 1, false)
	assert.Assert(t, !r.RecordDeparture(at(1), Departure{ID: "a", Born: 4}), "an earlier process")
	assert.Assert(t, !r.RecordDeparture(at(1), Departure{ID: "a", Born: 5, AgeMillis: -1}))
	assert.Assert(t, !r.RecordDeparture(at(1), Departure{ID: "a", Born: 5, AgeMillis: 1 << 40}))
	assert.Assert(t, used())
	assert.Assert(t, r.RecordDeparture(at(1), Departure{ID: "a", Born: 5, AgeMillis: 200}))
	assert.Assert(t, !r.RecordDeparture(at(1), Departure{ID: "a", Born: 5}), "already recorded")
	assert.Assert(t, !used())
	write(2, 5, 2, false)
	assert.Assert(t, !used())
	assert.DeepEqual(t, r.DeparturesToAnnounce(at(8)), []Departure{{ID: "a", Born: 5, AgeMillis: 7200}})
	write(9, 5, 3, true)
	assert.Equal(t, len(r.DeparturesToAnnounce(at(9))), 0, "the log confirms it")
	assert.Equal(t, len(r.Departures(at(9))), 1)
	assert.Assert(t, r.Apply(at(10), Change{Offset: r.Next().Offset, ID: "a"}))
	assert.Assert(t, !used(), "no grace period")
	write(11, 5, 4, false)
	assert.Assert(t, !used())
	write(12, 6, 1, false)
	assert.Assert(t, used())
	r.Tick(at(13))
	assert.Equal(t, len(r.Departures(at(13))), 0)
}

// TestDeparturesAreBounded: departures of unknown targets are kept for a minute, and at most
// maxDepartures of them.
func TestDeparturesAreBounded(t *testing.T) {
	r := New()
	for n := range 2 * maxDepartures {
		r.RecordDeparture(at(0), Departure{ID: fleet.TargetID(fmt.Sprint(n))})
	}
	assert.Equal(t, len(r.Departures(at(0))), maxDepartures)
	r.Tick(at(61))
	assert.Equal(t, len(r.Departures(at(61))), 0)
}

// TestDepartureCanBeLifted: the latest report applies, in whichever order an instance receives
// them, and the process may announce again that it leaves.
func TestDepartureCanBeLifted(t *testing.T) {
	announced, lifted := Departure{ID: "a", Born: 5, AgeMillis: 900}, Departure{ID: "a", Born: 5, AgeMillis: 400, Lifted: true}
	for _, order := range [][]Departure{{announced, lifted}, {announced, lifted, announced}, {lifted, announced, lifted}} {
		r := New()
		e := Entry{ID: "a", Service: "s", Addr: "x", Born: 5, Sequence: 1}
		put(t, r, at(0), e)
		for _, d := range order {
			r.RecordDeparture(at(1), d)
		}
		assert.Assert(t, r.View().Target("a") != nil)
		assert.Assert(t, r.RecordDeparture(at(2), Departure{ID: "a", Born: 5}))
		assert.Assert(t, r.View().Target("a") == nil)
	}
}

// TestEntryThatSnapshotLacksIsAsOldAsLastState: the grace period of an entry counted from the arrival of the
// snapshot that lacks it, however long ago the log had dropped it.
func TestEntryThatSnapshotLacksIsAsOldAsLastState(t *testing.T) {
	for name, c := range map[string]struct {
		since  time.Time
		usedAt time.Duration
	}{
		"known":     {since: start.Add(-500 * time.Millisecond), usedAt: BaseGracePeriod - 500*time.Millisecond},
		"not known": {usedAt: BaseGracePeriod},
	} {
		r := New()
		assert.Assert(t, r.Replace(start, Snapshot{Next: Position{1, 500}, Entries: []Entry{entry("a", 1), entry("b", 1)}}))
		assert.Assert(t, r.Replace(start, Snapshot{Next: Position{1, 600}, Entries: []Entry{entry("b", 1)}, Since: c.since}))
		assert.Assert(t, inUse(r, start.Add(c.usedAt-time.Millisecond), "a"), name)
		assert.Assert(t, !inUse(r, start.Add(c.usedAt+time.Millisecond), "a"), name)
	}
}
