package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// rules disables protocol rules, to show that the model detects violations.
type rules struct {
	dispatchEarly bool // dispatch before the claim was read back
	memoryOnly    bool // claims only in the instance's memory
	withdrawEarly bool // free the key before "not run" was reported
	ignoreSilent  bool // survey: processes that do not respond hold nothing
	ignoreBase    bool // claims of any age win a freed key
	leaseOnly     bool // a presumed loss frees the key for others
}

// message is delivered to one process, or lost if that process ended.
type message struct {
	to    fleet.Holder
	apply func(n *node)
}

// delayedAppend is an append that has not taken effect yet.
type delayedAppend struct {
	n     *node
	rec   Record
	batch uint64
}

// model is a fleet of processes with a log, with faults drawn from a
// seed. It checks the invariants at each run and each response.
type model struct {
	rnd         *rand.Rand
	rules       rules
	now         time.Time
	step        int
	log         []Record
	first       int
	nodes       []*node
	listed      []fleet.Holder
	net         []message
	delayed     []delayedAppend
	logDown     bool
	faultsEnded bool
	inc         fleet.Incarnation
	keys        int
	runs        map[operation.Key]int
	reportedAt  map[operation.Key]int
	answers     map[operation.Key]fleet.Outcome
	tracing     bool
	trace       []string
	err         error
}

// note adds a line to the trace of a violated invariant.
func (m *model) note(format string, args ...any) {
	if !m.tracing {
		return
	}
	m.trace = append(m.trace, fmt.Sprintf(fmt.Sprint(m.step, ": ")+format, args...))
}

func newModel(seed uint64, r rules, tracing bool) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 0)), rules: r, tracing: tracing, now: time.Unix(1_000_000, 0),
		runs: map[operation.Key]int{}, reportedAt: map[operation.Key]int{},
		answers: map[operation.Key]fleet.Outcome{},
	}
	m.keys = 1 + m.pick(2)
	for i := range 3 {
		m.nodes = append(m.nodes, m.start(i))
	}
	for _, n := range m.nodes {
		n.announced = true
		n.hist.Observe(m.now, m.listed)
		n.table.Announced(m.now.Add(-time.Minute))
	}
	return m
}

func (m *model) start(instance int) *node {
	m.inc++
	self := fleet.Holder{Instance: fleet.InstanceID(fmt.Sprint("i", instance)), Incarnation: m.inc}
	n := newNode(m, self)
	m.listed = append(m.listed, self)
	n.hist.Observe(m.now, m.listed)
	return n
}

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(fmt.Sprintf("step %d: ", m.step)+format, args...)
	}
}

// seeds draws 60 uniform bits. The integer generators of rapid prefer small
// numbers, which would repeat the same histories.
var seeds = rapid.Custom(func(rt *rapid.T) uint64 {
	var v uint64
	for range 60 {
		v <<= 1
		if rapid.Bool().Draw(rt, "bit") {
			v++
		}
	}
	return v
})

func (m *model) pick(n int) int { return m.rnd.IntN(n) }

// chance returns true with the given probability, and false after the faults.
func (m *model) chance(percent int) bool {
	return !m.faultsEnded && m.pick(100) < percent
}

// recordRun checks a run at the target; arrived is the step of its request.
func (m *model) recordRun(key operation.Key, arrived int) {
	m.runs[key]++
	m.note("%s ran, arrived %d", key.Name, arrived)
	if m.runs[key] > 1 {
		m.fail("%s ran twice", key.Name)
	}
	if t, ok := m.reportedAt[key]; ok && arrived <= t {
		m.fail("%s ran for a request of step %d after not run was reported at %d", key.Name, arrived, t)
	}
}

// recordResponse checks a response to a caller.
func (m *model) recordResponse(key operation.Key, out fleet.Outcome) {
	switch {
	case out == fleet.NotRun && m.runs[key] > 0:
		m.fail("%s was reported not run after it ran", key.Name)
	case out == fleet.Completed && m.runs[key] == 0:
		m.fail("%s was reported completed and never ran", key.Name)
	}
	m.note("%s reported %s", key.Name, out)
	if out == fleet.NotRun {
		m.reportedAt[key] = m.step
	}
	m.answers[key] = out
}

func (m *model) post(to fleet.Holder, apply func(n *node)) {
	if m.chance(4) {
		return
	}
	m.net = append(m.net, message{to, apply})
	if m.chance(5) {
		m.net = append(m.net, message{to, apply})
	}
}

func (m *model) find(h fleet.Holder) *node {
	for _, n := range m.nodes {
		if n.self == h {
			return n
		}
	}
	return nil
}

func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := 0
	if m.chance(50) {
		i = m.pick(len(m.net))
	}
	msg := m.net[i]
	n := m.find(msg.to)
	if n != nil && n.paused {
		return
	}
	m.net = append(m.net[:i], m.net[i+1:]...)
	if n != nil {
		msg.apply(n)
	}
}

// append starts an append with a random result.
func (m *model) append(n *node, batch uint64, rec Record) {
	fate := 0
	if !m.faultsEnded {
		fate = m.pick(10)
	}
	switch {
	case m.logDown || fate == 9:
		n.rec.Appended(m.now, batch, logservice.ErrRefused)
	case fate == 8: // late effect, reply lost
		m.delayed = append(m.delayed, delayedAppend{n, rec, batch})
		n.rec.Appended(m.now, batch, errLost)
	case fate == 7: // reply lost
		m.land(rec)
		n.rec.Appended(m.now, batch, errLost)
	default:
		m.land(rec)
		n.rec.Appended(m.now, batch, nil)
	}
}

func (m *model) land(rec Record) {
	rec.Offset = logservice.Offset(len(m.log))
	rec.Time = m.now
	for _, e := range rec.Entries {
		m.note("landed at %d: %s %s %s base %d", rec.Offset, e.Kind, e.Key.Name, e.Claim, e.Base)
	}
	m.log = append(m.log, rec)
}

func (m *model) landLate() {
	if len(m.delayed) == 0 || m.logDown {
		return
	}
	i := m.pick(len(m.delayed))
	m.land(m.delayed[i].rec)
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// expire drops the records before the last complete checkpoint.
func (m *model) expire() {
	for _, r := range m.log[m.first:] {
		if c := r.Checkpoint; c != nil && c.Index == c.Count-1 && int(c.Upto) > m.first {
			m.first = int(c.Upto)
		}
	}
}

func (m *model) crash(i int) {
	old := m.nodes[i]
	m.note("%s crashes", old.self)
	for j, h := range m.listed {
		if h == old.self {
			m.listed = append(m.listed[:j], m.listed[j+1:]...)
			break
		}
	}
	n := m.start(i)
	m.nodes[i] = n
	m.announce(n)
}

// announce adds a new process to the view of another one before it accepts requests.
func (m *model) announce(n *node) {
	w := m.nodes[m.pick(len(m.nodes))]
	if w == n || w.paused {
		return
	}
	m.note("%s announces itself to %s at %s", n.self, w.self, m.now)
	w.hist.Seen(n.self)
	n.announced = true
	n.table.Announced(m.now)
}

// advance runs one step of the history.
func (m *model) advance() {
	m.step++
	n := m.nodes[m.pick(len(m.nodes))]
	action := m.pick(100)
	switch {
	case action < 30:
		m.deliver()
		return
	case action < 33:
		m.landLate()
		return
	case action < 41:
		m.now = m.now.Add([]time.Duration{1, 1, 20, 20, 300, 1500, 6000, 90_000}[m.pick(8)] * time.Millisecond)
		return
	case action < 43:
		m.logDown = !m.logDown && m.chance(30)
		return
	case action < 44:
		m.expire()
		return
	case action < 46:
		n.paused = !n.paused && m.chance(50)
		return
	case action < 47:
		if m.chance(50) {
			m.crash(m.pick(len(m.nodes)))
		}
		return
	}
	if n.paused {
		return
	}
	n.act(action)
}

// endFaults stops the faults and runs all processes until no caller waits.
func (m *model) endFaults() {
	m.faultsEnded = true
	m.logDown = false
	for _, n := range m.nodes {
		n.paused = false
		if !n.announced {
			m.announce(n)
		}
	}
	for range 400 {
		m.settle()
		if m.waiting() == 0 && len(m.net) == 0 {
			return
		}
	}
	for _, n := range m.nodes {
		for t := range n.waiting {
			m.note("%s waits: state %s out %d told %v covered %v", t.a.ID, t.a.State(), t.out, t.reported, n.rec.Fold().Covered())
		}
		m.note("followers %v", n.followers)
	}
	m.fail("%d callers got no response after the faults had ended; %d messages", m.waiting(), len(m.net))
}

func (m *model) settle() {
	m.step++
	m.now = m.now.Add(700 * time.Millisecond)
	for len(m.delayed) > 0 {
		m.landLate()
	}
	for range len(m.net) {
		m.deliver()
	}
	for _, n := range m.nodes {
		n.hist.Observe(m.now, m.listed)
		n.tick()
	}
}

func (m *model) waiting() int {
	total := 0
	for _, n := range m.nodes {
		total += len(n.followers)
		for _, callers := range n.waiting {
			total += len(callers)
		}
	}
	return total
}

// repeat sends each key again until its response is final.
func (m *model) repeat(keys []operation.Key) {
	for _, key := range keys {
		final := false
		for try := 0; try < 40 && !final && m.err == nil; try++ {
			n := m.nodes[try%len(m.nodes)]
			n.end = n.rec.End()
			n.unresolved = false
			n.arrive(key)
			m.endFaults()
			m.now = m.now.Add(time.Second)
			final = m.answers[key] == fleet.Completed || m.lastUnknownIsFinal(key)
		}
		if !final {
			m.fail("%s got no final response after the faults had ended", key.Name)
		}
	}
}

func (m *model) lastUnknownIsFinal(key operation.Key) bool {
	for _, n := range m.nodes {
		if op, ok := n.rec.Fold().Get(key); ok && op.State == operation.Unknown {
			return true
		}
	}
	return false
}
