package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	testTick    = 100 * time.Millisecond
	testLatency = time.Millisecond
)

var testStart = time.Unix(1000, 0)

// delivery is a message in transit.
type delivery struct {
	at  time.Time
	to  fleet.InstanceID
	msg Message
}

// network is an in-memory network with simulated time.
type network struct {
	now      time.Time
	rand     *rand.Rand
	settings Settings
	ids      []fleet.InstanceID
	nodes    map[fleet.InstanceID]*Node
	paused   map[fleet.InstanceID]bool
	cut      map[[2]fleet.InstanceID]bool // from, to
	loss     float64
	queue    []delivery // ordered by time, because the latency is constant
	sent     int
	bytes    int
	watch    func()
}

func newNetwork(seed uint64, s Settings) *network {
	return &network{
		now: testStart, rand: rand.New(rand.NewPCG(seed, 1)), settings: s,
		nodes:  map[fleet.InstanceID]*Node{},
		paused: map[fleet.InstanceID]bool{},
		cut:    map[[2]fleet.InstanceID]bool{},
	}
}

func testID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("instance-%03d", i)) }

func testMember(id fleet.InstanceID, incarnation fleet.Incarnation) Member {
	return Member{ID: id, Incarnation: incarnation, Version: 1, State: Alive, Addr: "10.11.12.13:7100", Zone: "riga-a"}
}

// start starts a process under an ID and replaces any earlier one.
func (w *network) start(id fleet.InstanceID, incarnation fleet.Incarnation, listed []fleet.InstanceID) {
	if _, ok := w.nodes[id]; !ok {
		w.ids = append(w.ids, id)
	}
	n := New(testMember(id, incarnation), w.settings, rand.New(rand.NewPCG(w.rand.Uint64(), 2)))
	var seeds []Seed
	for _, l := range listed {
		seeds = append(seeds, Seed{ID: l, Addr: "10.11.12.13:7100"})
	}
	n.SetListed(seeds)
	w.nodes[id] = n
	w.paused[id] = false
}

// startFleet starts instances that are all listed.
func startFleet(seed uint64, count int, s Settings) *network {
	w := newNetwork(seed, s)
	var listed []fleet.InstanceID
	for i := range count {
		listed = append(listed, testID(i))
	}
	for _, id := range listed {
		w.start(id, 1, listed)
	}
	return w
}

// fillTables adds every instance to every table, so that a run needs no join phase.
func (w *network) fillTables() {
	for _, id := range w.ids {
		n := w.nodes[id]
		for _, other := range w.ids {
			n.merge(w.now, w.nodes[other].self, false)
		}
		n.gossipQueue = nil
		n.selfSendsLeft = 0
	}
}

func (w *network) crash(id fleet.InstanceID) { w.paused[id] = true }

func (w *network) send(from fleet.InstanceID, out []Envelope) {
	for _, e := range out {
		w.sent++
		w.bytes += e.Message.Size()
		if w.cut[[2]fleet.InstanceID{from, e.To}] || w.rand.Float64() < w.loss {
			continue
		}
		w.queue = append(w.queue, delivery{w.now.Add(testLatency), e.To, e.Message})
	}
}

func (w *network) deliverUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		d := w.queue[0]
		w.queue = w.queue[1:]
		w.now = d.at
		n, ok := w.nodes[d.to]
		if !ok || w.paused[d.to] {
			continue
		}
		out, err := n.Receive(w.now, d.msg)
		if err != nil {
			panic(err)
		}
		w.send(d.to, out)
	}
	w.now = end
}

// run advances the time by d. Instances tick in turn, evenly spaced within a tick.
func (w *network) run(d time.Duration) {
	step := testTick / time.Duration(max(len(w.ids), 1))
	for end := w.now.Add(d); w.now.Before(end); {
		next := w.now.Add(testTick)
		for _, id := range w.ids {
			if !w.paused[id] {
				w.send(id, w.nodes[id].Tick(w.now))
			}
			w.deliverUntil(w.now.Add(step))
		}
		w.deliverUntil(next)
		if w.watch != nil {
			w.watch()
		}
	}
}

// until runs until the condition holds or the limit passes. It returns the time
// taken and whether the condition holds.
func (w *network) until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begin := w.now
	for !condition() {
		if w.now.Sub(begin) >= limit {
			return limit, false
		}
		w.run(testTick)
	}
	return w.now.Sub(begin), true
}

func (w *network) state(viewer, id fleet.InstanceID) State {
	m, ok := w.nodes[viewer].View().Get(id)
	if !ok {
		return Dead
	}
	return m.State
}

// running returns the instances that are not paused or crashed.
func (w *network) running() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, id := range w.ids {
		if !w.paused[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// allSee reports whether every other running instance sees id in state s.
func (w *network) allSee(id fleet.InstanceID, s State) bool {
	for _, viewer := range w.running() {
		if viewer != id && w.state(viewer, id) != s {
			return false
		}
	}
	return true
}

// anySees reports whether another running instance sees id in state s.
func (w *network) anySees(id fleet.InstanceID, s State) bool {
	for _, viewer := range w.running() {
		if viewer != id && w.state(viewer, id) == s {
			return true
		}
	}
	return false
}

// converged reports whether the view of every running instance contains exactly the
// running instances, alive and under their current incarnations.
func (w *network) converged() bool {
	running := w.running()
	for _, viewer := range running {
		live := w.nodes[viewer].View().Live()
		if len(live) != len(running) || len(w.nodes[viewer].View().Members) != len(running) {
			return false
		}
		for _, m := range live {
			if w.paused[m.ID] || m.Incarnation != w.nodes[m.ID].self.Incarnation {
				return false
			}
		}
	}
	return true
}
