package balancer

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/fleet"
)

var measure = flag.Bool("measure", false, "print the tables of docs/ROUTING.md")

// trial is one run: instances with real Balancers before fake targets that
// serve Slots requests at once, queue a few more and shed the rest.
type trial struct {
	targets, slots, queue int
	instances             int
	load                  float64 // of all slots
	uneven                float64 // sigma of the instances' share of the callers
	way                   string
	cfg                   Config // Slots, Connections and Policy are set by the run
	oneWay                time.Duration
	duration              time.Duration
	seed                  uint64
}

const meanService = 20 * time.Millisecond

type request struct {
	inst    int
	arrived time.Duration
	service time.Duration
	search  Search
	pick    Pick
	pickAt  time.Duration
	target  int
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type fakeTarget struct {
	busy   int
	queue  []*request
	served int
}

type run struct {
	trial
	now       time.Duration
	h         events
	rng       *rand.Rand
	balancers []*Balancer
	byID      map[fleet.TargetID]int
	ts        []fakeTarget
	stale     []int // what pooled or replied hints say is in flight
	granted   []int // the grant holder's table
	waiting   []*request
	waits     []float64
	offered   int
	sheds     int
	messages  int
}

func (r *run) after(d time.Duration, do func()) { heap.Push(&r.h, event{r.now + d, do}) }

func zoneOf(i int) fleet.Zone { return fleet.Zone(fmt.Sprint("zone-", i%3)) }

func fakeTargets(n int) []fleet.Target {
	ts := make([]fleet.Target, n)
	for i := range ts {
		ts[i] = fleet.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Zone: zoneOf(i), State: fleet.Joined}
	}
	return ts
}

func fakeMembers(n int) []Member {
	ms := make([]Member, n)
	for i := range ms {
		ms[i] = Member{ID: fleet.InstanceID(fmt.Sprint("i", i)), Zone: zoneOf(i)}
	}
	return ms
}

func full(fleet.TargetID) float64 { return 1 }

func newRun(t trial) *run {
	r := &run{trial: t, rng: rand.New(rand.NewPCG(t.seed, 1)), byID: map[fleet.TargetID]int{}}
	targets, members := fakeTargets(t.targets), fakeMembers(t.instances)
	r.ts, r.stale, r.granted = make([]fakeTarget, t.targets), make([]int, t.targets), make([]int, t.targets)
	for i := range targets {
		r.byID[targets[i].ID] = i
	}
	named := map[string]string{"random": "random", "round robin": "round_robin", "home slots": "slot_share", "home slots only": "slot_share"}
	for i := range members {
		cfg := t.cfg
		cfg.Slots, cfg.Connections, cfg.Policy = t.slots, 300, cmp.Or(named[t.way], "least_load")
		b := New(cfg, t.seed+uint64(i)*1000)
		switch t.way {
		case "pooled hints 100ms", "pooled hints 500ms", "reply hints":
			b.policy = hinted{r, i, make([]int, t.targets), make([]time.Duration, t.targets)}
		}
		b.Update(time.Unix(0, 0), targets, full, NewMembers(members[i], members))
		if t.way == "home slots only" {
			for k := range b.Picker().set.Candidates {
				c := &b.Picker().set.Candidates[k]
				c.Limit = c.Home
			}
		}
		r.balancers = append(r.balancers, b)
	}
	return r
}

// hinted draws two and takes the one that hints call the less loaded.
type hinted struct {
	r     *run
	inst  int
	said  []int
	since []time.Duration
}

func (p hinted) count(c *policy.Candidate) int {
	i := p.r.byID[c.Target.ID]
	if p.r.way != "reply hints" {
		return p.r.stale[i] + c.Load.InFlight()
	}
	if p.r.now-p.since[i] > 100*time.Millisecond {
		return p.r.slots / 2
	}
	return p.said[i]
}

func (p hinted) Choose(q policy.Request) int {
	a, b := q.Set.Draw(q.Set.All(), q.Rand(1)), q.Set.Draw(q.Set.All(), q.Rand(2))
	if !q.Usable(a) {
		a, b = b, a
	}
	if !q.Usable(a) {
		return q.Scan(q.Set.All(), q.Rand(3))
	}
	if q.Usable(b) && p.count(&q.Set.Candidates[b]) < p.count(&q.Set.Candidates[a]) {
		return b
	}
	return a
}

func (r *run) arrive(cum []float64, rate float64) {
	u := r.rng.Float64() * cum[len(cum)-1]
	i, _ := slices.BinarySearch(cum, u)
	q := &request{inst: i, arrived: r.now}
	q.service = time.Duration(float64(meanService) * math.Exp(0.8*r.rng.NormFloat64()-0.32))
	r.offered++
	if r.way == "grants" {
		r.messages++
		r.after(r.oneWay, func() { r.grant(q) })
	} else {
		r.send(q)
	}
	r.after(time.Duration(r.rng.ExpFloat64()/rate*1e9), func() { r.arrive(cum, rate) })
}

// grant is the role holder's: the least granted target, or wait for one.
func (r *run) grant(q *request) {
	best := 0
	for i := range r.granted {
		if r.granted[i] < r.granted[best] {
			best = i
		}
	}
	if r.granted[best] >= r.slots {
		r.waiting = append(r.waiting, q)
		return
	}
	r.granted[best]++
	r.messages++
	q.target = best
	r.after(r.oneWay, func() { q.pickAt = r.now; r.after(r.oneWay, func() { r.reach(q) }) })
}

func (r *run) release(target int) {
	r.granted[target]--
	r.messages++
	for len(r.waiting) > 0 {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		if r.now-q.arrived < DefaultPatience {
			r.grant(q)
			return
		}
	}
}

func (r *run) send(q *request) {
	b := r.balancers[q.inst]
	p, ok := b.Picker().Pick(PickInfo{Tried: q.search.Tried, Now: time.Unix(0, int64(r.now))})
	if !ok {
		r.again(q)(b.Exhausted(&q.search, r.now-q.arrived))
		return
	}
	q.pick, q.pickAt, q.target = p, r.now, r.byID[p.Target.ID]
	r.after(r.oneWay, func() { r.reach(q) })
}

func (r *run) again(q *request) func(pause time.Duration, again bool) {
	return func(pause time.Duration, again bool) {
		if again {
			r.after(pause, func() { r.send(q) })
		}
	}
}

func (r *run) reach(q *request) {
	t := &r.ts[q.target]
	switch {
	case t.busy < r.slots:
		t.busy++
		r.after(q.service, func() { r.serve(q) })
	case len(t.queue) < r.queue:
		t.queue = append(t.queue, q)
	default:
		r.sheds++
		r.after(r.oneWay, func() { r.shed(q) })
	}
}

func (r *run) shed(q *request) {
	if r.way == "grants" {
		r.release(q.target)
		return
	}
	r.hint(q)
	q.pick.Done(DoneInfo{Result: fleet.TryShed, Latency: r.now - q.pickAt})
	r.again(q)(r.balancers[q.inst].Refused(&q.search, q.pick, r.now-q.arrived))
}

func (r *run) serve(q *request) {
	t := &r.ts[q.target]
	t.busy--
	t.served++
	r.waits = append(r.waits, float64(r.now+r.oneWay-q.arrived-q.service-2*r.oneWay)/1e6)
	r.after(r.oneWay, func() { r.answer(q) })
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		r.after(next.service, func() { r.serve(next) })
	}
}

func (r *run) answer(q *request) {
	if r.way == "grants" {
		r.after(r.oneWay, func() { r.release(q.target) })
		return
	}
	r.hint(q)
	q.pick.Done(DoneInfo{Result: fleet.TryOK, Latency: r.now - q.pickAt})
}

func (r *run) hint(q *request) {
	if p, ok := r.balancers[q.inst].policy.(hinted); ok {
		p.said[q.target], p.since[q.target] = r.ts[q.target].busy+len(r.ts[q.target].queue), r.now
	}
}

// pool hands out, each period, what was in flight one period ago.
func (r *run) pool(period time.Duration) {
	for i := range r.ts {
		n := r.ts[i].busy + len(r.ts[i].queue)
		r.after(period, func() { r.stale[i] = n })
	}
	r.messages += 2 * r.instances
	r.after(period, func() { r.pool(period) })
}

type result struct{ goodput, p50, p99, p999, sheds, uneven, messages float64 }

func (t trial) run() result {
	r := newRun(t)
	cum, sum := make([]float64, t.instances), 0.0
	for i := range cum {
		sum += math.Exp(t.uneven * r.rng.NormFloat64())
		cum[i] = sum
	}
	capacity := float64(t.targets*t.slots) / meanService.Seconds()
	r.after(0, func() { r.arrive(cum, capacity*t.load) })
	switch t.way {
	case "pooled hints 100ms":
		r.pool(50 * time.Millisecond)
	case "pooled hints 500ms":
		r.pool(250 * time.Millisecond)
	}
	for r.now < t.duration {
		e := heap.Pop(&r.h).(event)
		r.now = e.at
		e.do()
	}
	return r.result(capacity)
}

func (r *run) result(capacity float64) result {
	slices.Sort(r.waits)
	at := func(p float64) float64 { return r.waits[int(p*float64(len(r.waits)-1))] }
	most := slices.MaxFunc(r.ts, func(a, b fakeTarget) int { return a.served - b.served }).served
	n := float64(r.offered)
	return result{
		goodput: float64(len(r.waits)) / (capacity * r.duration.Seconds()), p50: at(.5), p99: at(.99), p999: at(.999),
		sheds: float64(r.sheds) / n, messages: float64(r.messages) / n,
		uneven: float64(most*len(r.ts)) / float64(len(r.waits)),
	}
}

var daugava = trial{targets: 10, slots: 4, instances: 44, uneven: 0.7, oneWay: time.Millisecond, duration: 10 * time.Second, seed: 7}

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("prints tables; run with -measure")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintln(w, "targets x slots\tqueue\tway\tload %\tgoodput %\tp50 ms\tp99 ms\tp99.9 ms\tsheds/req\tuneven\tmsgs/req\t")
	for _, size := range [][3]int{{10, 4, 1000}, {6, 4, 1000}, {20, 2, 1500}, {6, 2, 1500}} {
		for _, queue := range []int{0, size[1]} {
			for _, way := range []string{"random", "round robin", "two choices", "home slots", "home slots only", "grants", "pooled hints 100ms", "pooled hints 500ms", "reply hints"} {
				for _, load := range []float64{.3, .7, .9, 1.1} {
					tr := daugava
					tr.targets, tr.slots, tr.oneWay = size[0], size[1], time.Duration(size[2])*time.Microsecond
					tr.queue, tr.way, tr.load = queue, way, load
					m := tr.run()
					fmt.Fprintf(w, "%dx%d\t%d\t%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.2f\t%.2f\t\n", size[0], size[1], queue, way, load*100,
						m.goodput*100, m.p50, m.p99, m.p999, m.sheds, m.uneven, m.messages)
				}
			}
		}
	}
}

func TestHomeSlotsBeatTwoChoices(t *testing.T) {
	a, b := daugava, daugava
	a.load, b.load = .7, .7
	a.way, b.way = "two choices", "home slots"
	assert.Assert(t, b.run().sheds < a.run().sheds)
}
