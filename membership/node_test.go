package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/fleet"
)

func TestFleetFormsFromTheList(t *testing.T) {
	for _, count := range []int{2, 3, 12, 44} {
		w := startFleet(1, count, Settings{})
		took, ok := w.until(time.Minute, w.converged)
		assert.Assert(t, ok, "%d instances", count)
		assert.Assert(t, took < 20*time.Second, "%d instances took %v", count, took)
	}
}

// LastContact advances while nothing changes in the fleet, and stops for an
// instance that receives no answers.
func TestLastContact(t *testing.T) {
	w := startFleet(1, 4, Settings{})
	w.fillTables()
	w.run(10 * time.Second)
	before := w.nodes[testID(0)].View()
	w.run(30 * time.Second)
	after := w.nodes[testID(0)].View()
	assert.Equal(t, after.Epoch, before.Epoch)
	assert.Assert(t, w.now.Sub(after.LastContact) < 2*time.Second)
	w.cutTo(testID(0), true)
	w.run(30 * time.Second)
	assert.Assert(t, w.now.Sub(w.nodes[testID(0)].View().LastContact) >= 29*time.Second)
}

// The list names dead instances and lacks live ones.
func TestListLagsInBothDirections(t *testing.T) {
	w := startFleet(1, 8, Settings{})
	w.until(time.Minute, w.converged)
	w.crash(testID(7))
	stale := []fleet.InstanceID{testID(7), testID(90), testID(0)}
	w.start(testID(8), 1, stale)
	_, ok := w.until(time.Minute, w.converged)
	assert.Assert(t, ok)
	w.watch = func() { assert.Assert(t, w.converged(), "a dead instance on the list was restored") }
	w.run(time.Minute)
}

func TestCrashIsFoundByAll(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	w.run(10 * time.Second)
	w.crash(testID(3))
	took, ok := w.until(time.Minute, func() bool { return w.allSee(testID(3), Dead) })
	assert.Assert(t, ok)
	assert.Assert(t, took < 6*time.Second, "took %v", took)
}

func TestRestartReplacesTheOldIncarnation(t *testing.T) {
	w := startFleet(1, 8, Settings{})
	w.fillTables()
	w.run(5 * time.Second)
	w.start(testID(2), 2, w.ids)
	_, ok := w.until(20*time.Second, w.converged)
	assert.Assert(t, ok)
}

func TestGoodbyeNeedsNoSuspicion(t *testing.T) {
	w := startFleet(1, 8, Settings{})
	w.fillTables()
	w.nodes[testID(2)].Leave()
	_, ok := w.until(5*time.Second, func() bool { return w.allSee(testID(2), Leaving) })
	assert.Assert(t, ok)
	w.send(testID(2), w.nodes[testID(2)].Goodbye())
	w.crash(testID(2))
	w.watch = func() { assert.Assert(t, !w.anySees(testID(2), Suspect)) }
	_, ok = w.until(5*time.Second, func() bool { return w.allSee(testID(2), Dead) })
	assert.Assert(t, ok)
}

// A one-way cut between two instances makes neither a suspect.
func TestOneWayCutAccusesNobody(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	w.cut[[2]fleet.InstanceID{testID(0), testID(1)}] = true
	w.cut[[2]fleet.InstanceID{testID(2), testID(3)}] = true
	w.watch = func() { assert.Assert(t, w.converged()) }
	w.run(2 * time.Minute)
}

// An instance that can send but not receive is removed, and added again once it is
// reachable.
func TestInstanceThatNobodyReaches(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	w.run(5 * time.Second)
	w.cutTo(testID(5), true)
	_, ok := w.until(time.Minute, func() bool { return w.allSee(testID(5), Dead) })
	assert.Assert(t, ok)
	w.watch = func() { assert.Assert(t, w.allSee(testID(5), Dead), "unreachable instance was restored") }
	w.run(time.Minute)
	w.watch = nil
	w.cutTo(testID(5), false)
	_, ok = w.until(time.Minute, w.converged)
	assert.Assert(t, ok)
}

// An instance that can receive but not send is declared dead, and declares no other
// instance dead.
func TestInstanceThatReachesNobody(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	for _, id := range w.ids {
		w.cut[[2]fleet.InstanceID{testID(5), id}] = true
	}
	w.watch = func() {
		for _, id := range w.ids {
			if id != testID(5) {
				assert.Assert(t, !w.anySees(id, Dead), "%s declared dead", id)
			}
		}
	}
	_, ok := w.until(time.Minute, func() bool { return w.allSee(testID(5), Dead) })
	assert.Assert(t, ok)
}

func (w *network) cutTo(id fleet.InstanceID, cut bool) {
	for _, from := range w.ids {
		w.cut[[2]fleet.InstanceID{from, id}] = cut
	}
}

// The last running instance declares the others dead, later than an instance with
// live peers would.
func TestLastInstance(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	w.run(5 * time.Second)
	for _, id := range w.ids[1:] {
		w.crash(id)
	}
	w.run(15 * time.Second)
	assert.Equal(t, len(w.nodes[testID(0)].View().Members), 12)
	_, ok := w.until(3*time.Minute, w.converged)
	assert.Assert(t, ok)
}

// A paused instance is declared dead. When it resumes it suspects nobody and
// rejoins.
func TestPausedInstanceWakes(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	w.run(5 * time.Second)
	w.paused[testID(4)] = true
	w.run(30 * time.Second)
	assert.Assert(t, w.allSee(testID(4), Dead))
	w.paused[testID(4)] = false
	w.watch = func() {
		for _, id := range w.ids {
			assert.Assert(t, id == testID(4) || w.allSee(id, Alive))
		}
	}
	took, ok := w.until(time.Minute, w.converged)
	assert.Assert(t, ok)
	assert.Assert(t, took < 5*time.Second, "took %v", took)
}

func TestPartitionHeals(t *testing.T) {
	w := startFleet(1, 12, Settings{})
	w.fillTables()
	set := func(cut bool) {
		for i := range 12 {
			for j := range 12 {
				if (i < 4) != (j < 4) {
					w.cut[[2]fleet.InstanceID{testID(i), testID(j)}] = cut
				}
			}
		}
	}
	set(true)
	w.run(time.Minute)
	assert.Equal(t, len(w.nodes[testID(0)].View().Live()), 4)
	assert.Equal(t, len(w.nodes[testID(11)].View().Live()), 8)
	set(false)
	_, ok := w.until(time.Minute, w.converged)
	assert.Assert(t, ok)
}

func TestOffsetsSpread(t *testing.T) {
	w := startFleet(1, 44, Settings{})
	w.fillTables()
	w.nodes[testID(0)].SetOffset(7)
	w.nodes[testID(0)].SetOffset(6)
	_, ok := w.until(9*time.Second, func() bool {
		for _, id := range w.ids[1:] {
			if w.nodes[id].View().Offsets()[testID(0)] != 7 {
				return false
			}
		}
		return true
	})
	assert.Assert(t, ok)
}

func TestTombstoneHoldsAndExpires(t *testing.T) {
	n := New(testMember("self", 1), Settings{}, rand.New(rand.NewPCG(1, 1)))
	late := testMember("gone", 5)
	dead := late
	dead.State = Dead
	n.merge(testStart, late, true)
	n.merge(testStart, dead, true)
	n.merge(testStart, late, true)
	assert.Equal(t, len(n.View().Members), 1)
	n.Tick(testStart)
	assert.Equal(t, len(n.table), 1)
	n.Tick(testStart.Add(11 * time.Minute))
	assert.Equal(t, len(n.table), 0)
	n.message(Ping)
	assert.Equal(t, len(n.gossipQueue), 0)
}

func TestSupersededByALaterProcess(t *testing.T) {
	n := New(testMember("self", 1), Settings{}, rand.New(rand.NewPCG(1, 1)))
	_, err := n.Receive(testStart, Message{Kind: Ping, From: testMember("self", 2)})
	assert.NilError(t, err)
	assert.Assert(t, n.Superseded())
}

func TestMessagesStayWithinTheirBound(t *testing.T) {
	w := startFleet(1, 200, Settings{})
	for range 20 {
		w.run(testTick)
		for _, d := range w.queue {
			limit := 1400
			if d.msg.Kind >= SyncRequest {
				limit += 16 << 10
			}
			assert.Assert(t, d.msg.Size() <= limit, "%d bytes of kind %d", d.msg.Size(), d.msg.Kind)
		}
	}
}

func drawRecord(t *rapid.T) Member {
	m := testMember("x", fleet.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")))
	m.Version = rapid.Uint64Range(1, 4).Draw(t, "version")
	m.State = State(rapid.IntRange(int(Alive), int(Dead)).Draw(t, "state"))
	m.Offset = rapid.Int64Range(0, 9).Draw(t, "offset")
	return m
}

// The latest record of a member takes precedence in any order of arrival, and its
// offset never decreases within an incarnation.
func TestLatestRecordHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := New(testMember("self", 1), Settings{}, rand.New(rand.NewPCG(1, 1)))
		n.merge(testStart, testMember("x", 1), true)
		seen := []Member{}
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			m := drawRecord(t)
			seen = append(seen, m)
			before := n.table["x"].Member
			n.merge(testStart, m, true)
			after := n.table["x"].Member
			if before.Incarnation == after.Incarnation && after.Offset < before.Offset {
				t.Fatalf("offset decreased from %d to %d", before.Offset, after.Offset)
			}
		}
		current := n.table["x"].Member
		for _, m := range seen {
			if m.supersedes(current) {
				t.Fatalf("table has %v, superseded by %v", current, m)
			}
		}
	})
}

// After any sequence of faults ends, the view of every running instance contains
// exactly the running instances.
func TestViewsConvergeOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 9).Draw(t, "count")
		w := startFleet(rapid.Uint64().Draw(t, "seed"), count, Settings{})
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			id := testID(rapid.IntRange(0, count-1).Draw(t, "id"))
			other := testID(rapid.IntRange(0, count-1).Draw(t, "other"))
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				w.paused[id] = true
			case 1:
				w.paused[id] = false
			case 2:
				w.start(id, w.nodes[id].self.Incarnation+1, w.ids)
			case 3, 4:
				w.cut[[2]fleet.InstanceID{id, other}] = true
			case 5:
				w.cutTo(id, true)
			case 6:
				w.loss = 0.3
			}
			w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * testTick)
		}
		w.loss = 0
		clear(w.cut)
		if _, ok := w.until(5*time.Minute, w.converged); !ok {
			t.Fatal("views differ 5 minutes after the last fault")
		}
	})
}

// No member is suspected while each instance is affected by at most one cut, since
// relays remain.
func TestCutsWithARelayLeftAccuseNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(6, 16).Draw(t, "count")
		w := startFleet(rapid.Uint64().Draw(t, "seed"), count, Settings{})
		w.fillTables()
		order := rapid.Permutation(w.ids).Draw(t, "pairs")
		for i := 0; i+1 < len(order); i += 2 {
			w.cut[[2]fleet.InstanceID{order[i], order[i+1]}] = true
		}
		w.watch = func() {
			if !w.converged() {
				t.Fatal("views changed: a member was suspected or removed")
			}
		}
		w.run(30 * time.Second)
	})
}
