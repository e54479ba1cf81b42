package balancer

import (
	"cmp"
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
	"github.com/clementinereel/clementinereel/eventqueue"
	"github.com/clementinereel/clementinereel/fleet"
)

var measure = flag.Bool("measure", false, "print the tables of docs/ROUTING.md")

// scenario is one simulation: instances with real Balancers send requests to
// fake targets that serve slots requests concurrently, queue a few more and
// shed the rest.
type scenario struct {
	targets, slots, queue, instances int
	load                             float64 // as a fraction of the capacity of all slots
	loadSigma                        float64 // sigma of the log-normal distribution of callers over instances
	strategy                         string
	oneWay                           time.Duration // between zones; a tenth of it within a zone
	duration                         time.Duration
	seed                             uint64
	cfg                              Config
}

const (
	meanService = 20 * time.Millisecond
	pooled100   = "pooled hints, 100 ms"
	pooled500   = "pooled hints, 500 ms"
	replied     = "hints in replies"
	granted     = "grants"
	sharesOnly  = "slot shares only"
	noZones     = "slot_share, no zones"
	oneSweep    = "slot_share, one sweep"
)

type request struct {
	inst, target     int
	arrived, service time.Duration
	pickedAt         time.Duration
	search           Search
	pick             Pick
}

type fakeTarget struct {
	busy       int
	queue      []*request
	served     int
	pooledHint int // in-flight count according to pooled hints
	granted    int // slots granted by the grant holder
}

func (t *fakeTarget) inFlight() int { return t.busy + len(t.queue) }

type run struct {
	eventqueue.Queue
	scenario
	rng         *rand.Rand
	balancers   []*Balancer
	byID        map[fleet.TargetID]int
	fakes       []fakeTarget
	waiting     []*request
	addedMillis []float64 // latency beyond the service time
	offered     float64
	sheds       float64
	messages    float64
}

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

func fullWeight(fleet.TargetID) float64 { return 1 }

func newRun(s scenario) *run {
	r := &run{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), byID: map[fleet.TargetID]int{}, fakes: make([]fakeTarget, s.targets)}
	targets, members := fakeTargets(s.targets), fakeMembers(s.instances)
	for i := range targets {
		r.byID[targets[i].ID] = i
		if s.strategy == noZones {
			targets[i].Zone = ""
		}
	}
	policies := map[string]string{sharesOnly: "slot_share", noZones: "slot_share", oneSweep: "slot_share", pooled100: "random", pooled500: "random", replied: "random", granted: "random"}
	for i := range members {
		cfg := s.cfg
		cfg.Slots, cfg.Connections, cfg.Policy = s.slots, 300, cmp.Or(policies[s.strategy], s.strategy)
		if s.strategy == oneSweep {
			cfg.SearchTimeout = 1
		}
		b := New(cfg, s.seed+uint64(i)*1000)
		if slices.Contains([]string{pooled100, pooled500, replied}, s.strategy) {
			b.policy = hintPolicy{r, make([]int, s.targets), make([]time.Duration, s.targets)}
		}
		b.Update(time.Unix(0, 0), targets, fullWeight, NewMembers(members[i], members))
		for k := range b.Picker().set.Candidates {
			if c := &b.Picker().set.Candidates[k]; s.strategy == sharesOnly {
				c.Limit = c.HomeSlots
			}
		}
		r.balancers = append(r.balancers, b)
	}
	return r
}

// hintPolicy draws two candidates and takes the one with the lower load
// according to the hints.
type hintPolicy struct {
	r          *run
	reported   []int
	reportedAt []time.Duration
}

func (p hintPolicy) estimatedLoad(c *policy.Candidate) int {
	i := p.r.byID[c.Target.ID]
	if p.r.strategy != replied {
		return p.r.fakes[i].pooledHint + c.Load.InFlight()
	}
	if p.r.Now()-p.reportedAt[i] > 100*time.Millisecond {
		return p.r.slots / 2
	}
	return p.reported[i]
}

func (p hintPolicy) Choose(q policy.Request) int {
	a, b := q.Set.Draw(q.Set.All(), q.Rand(1)), q.Set.Draw(q.Set.All(), q.Rand(2))
	if !q.Usable(a) {
		a, b = b, a
	}
	if !q.Usable(a) {
		return q.Scan(q.Set.All(), q.Rand(3))
	}
	if q.Usable(b) && p.estimatedLoad(&q.Set.Candidates[b]) < p.estimatedLoad(&q.Set.Candidates[a]) {
		return b
	}
	return a
}

func (r *run) arrive(cum []float64, rate float64) {
	i, _ := slices.BinarySearch(cum, r.rng.Float64()*cum[len(cum)-1])
	q := &request{inst: i, arrived: r.Now()}
	q.service = time.Duration(float64(meanService) * math.Exp(0.8*r.rng.NormFloat64()-0.32))
	r.offered++
	if r.strategy == granted {
		r.messages++
		r.After(r.hop(i, 0), func() { r.grant(q) })
	} else {
		r.send(q)
	}
	r.After(time.Duration(r.rng.ExpFloat64()/rate*1e9), func() { r.arrive(cum, rate) })
}

// hop returns the one-way delay between the zones of two instances or
// targets.
func (r *run) hop(a, b int) time.Duration {
	if a%3 == b%3 {
		return r.oneWay / 10
	}
	return r.oneWay
}

func (q *request) hop(r *run) time.Duration { return r.hop(q.inst, q.target) }

// grant is run by the grant holder. It grants q a slot at the target with the
// fewest granted slots, or queues q if all slots are granted.
func (r *run) grant(q *request) {
	for i := range r.fakes {
		if r.fakes[i].granted < r.fakes[q.target].granted {
			q.target = i
		}
	}
	if r.fakes[q.target].granted >= r.slots {
		r.waiting = append(r.waiting, q)
		return
	}
	r.fakes[q.target].granted++
	r.messages++
	r.After(r.hop(0, q.inst)+q.hop(r), func() { r.deliver(q) })
}

func (r *run) release(target int) {
	r.fakes[target].granted--
	r.messages++
	for len(r.waiting) > 0 {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		if r.Now()-q.arrived < DefaultSearchTimeout {
			r.grant(q)
			return
		}
	}
}

func (r *run) send(q *request) {
	b := r.balancers[q.inst]
	p, ok := b.Picker().Pick(PickInfo{Tried: q.search.Tried, Now: time.Unix(0, int64(r.Now()))})
	if !ok {
		r.retry(q)(b.Exhausted(&q.search, r.Now()-q.arrived))
		return
	}
	q.pick, q.pickedAt, q.target = p, r.Now(), r.byID[p.Target.ID]
	r.After(q.hop(r), func() { r.deliver(q) })
}

func (r *run) retry(q *request) func(pause time.Duration, again bool) {
	return func(pause time.Duration, again bool) {
		if again {
			r.After(pause, func() { r.send(q) })
		}
	}
}

func (r *run) deliver(q *request) {
	t := &r.fakes[q.target]
	switch {
	case t.busy < r.slots:
		t.busy++
		r.After(q.service, func() { r.complete(q) })
	case len(t.queue) < r.queue:
		t.queue = append(t.queue, q)
	default:
		r.sheds++
		r.After(q.hop(r), func() { r.shed(q) })
	}
}

func (r *run) shed(q *request) {
	if r.strategy == granted {
		r.release(q.target)
		return
	}
	r.recordHint(q)
	q.pick.Done(DoneInfo{Result: fleet.TryShed, Latency: r.Now() - q.pickedAt})
	r.retry(q)(r.balancers[q.inst].Refused(&q.search, q.pick, r.Now()-q.arrived))
}

func (r *run) complete(q *request) {
	t := &r.fakes[q.target]
	t.busy--
	t.served++
	r.addedMillis = append(r.addedMillis, float64(r.Now()+q.hop(r)-q.arrived-q.service)/1e6)
	r.After(q.hop(r), func() { r.receiveResponse(q) })
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		r.After(next.service, func() { r.complete(next) })
	}
}

func (r *run) receiveResponse(q *request) {
	if r.strategy == granted {
		r.After(r.hop(q.inst, 0), func() { r.release(q.target) })
		return
	}
	r.recordHint(q)
	q.pick.Done(DoneInfo{Result: fleet.TryOK, Latency: r.Now() - q.pickedAt})
}

func (r *run) recordHint(q *request) {
	if p, ok := r.balancers[q.inst].policy.(hintPolicy); ok {
		p.reported[q.target], p.reportedAt[q.target] = r.fakes[q.target].inFlight(), r.Now()
	}
}

// poolHints publishes the in-flight counts of one period ago in each period,
// so that hints are one to two periods old.
func (r *run) poolHints(period time.Duration) {
	for i := range r.fakes {
		n := r.fakes[i].inFlight()
		r.After(period, func() { r.fakes[i].pooledHint = n })
	}
	r.messages += float64(2 * r.instances)
	r.After(period, func() { r.poolHints(period) })
}

type result struct{ goodput, p50, p99, sheds, imbalance, messages float64 }

func (s scenario) run() result {
	r := newRun(s)
	cum, sum := make([]float64, s.instances), 0.0
	for i := range cum {
		sum += math.Exp(s.loadSigma * r.rng.NormFloat64())
		cum[i] = sum
	}
	capacity := float64(s.targets*s.slots) / meanService.Seconds()
	r.After(0, func() { r.arrive(cum, capacity*s.load) })
	if period := map[string]time.Duration{pooled100: 67 * time.Millisecond, pooled500: 333 * time.Millisecond}[s.strategy]; period > 0 {
		r.poolHints(period)
	}
	r.Run(s.duration)
	slices.Sort(r.addedMillis)
	n := float64(len(r.addedMillis))
	maxServed := slices.MaxFunc(r.fakes, func(a, b fakeTarget) int { return a.served - b.served }).served
	return result{
		goodput: 100 * n / (capacity * s.duration.Seconds()), p50: r.addedMillis[int(.5*n)], p99: r.addedMillis[int(.99*n)],
		sheds: r.sheds / r.offered, messages: r.messages / r.offered, imbalance: float64(maxServed*s.targets) / n,
	}
}

var base = scenario{targets: 10, slots: 4, instances: 44, loadSigma: 0.7, oneWay: time.Millisecond, duration: 5 * time.Second, seed: 7}

var strategies = []string{"random", "round_robin", "least_load", "slot_share", noZones, oneSweep, sharesOnly, granted, pooled100, pooled500, replied}

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("prints tables; run with -measure")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight|tabwriter.Debug)
	defer w.Flush()
	for _, size := range []scenario{{targets: 10, slots: 4, oneWay: 1000}, {targets: 6, slots: 4, oneWay: 1000}, {targets: 20, slots: 2, oneWay: 1500}, {targets: 6, slots: 2, oneWay: 1500}, {targets: 29, slots: 4, oneWay: 1000, instances: 920}} {
		for _, queue := range []int{0, size.slots} {
			fmt.Fprintf(w, "\n%d instances, %d targets, %d slots, queue %d\tp50@70\tp99@30\tp99@70\tp99@90\tsheds@30\tsheds@70\tsheds@90\tsheds@110\tgood@90\tgood@110\tuneven@70\tmsgs@70\t\n",
				cmp.Or(size.instances, 44), size.targets, size.slots, queue)
			for _, strategy := range strategies {
				var m [4]result
				for i, load := range []float64{.3, .7, .9, 1.1} {
					tr := base
					tr.targets, tr.slots, tr.instances, tr.oneWay = size.targets, size.slots, cmp.Or(size.instances, 44), size.oneWay*time.Microsecond
					tr.queue, tr.strategy, tr.load = queue, strategy, load
					m[i] = tr.run()
				}
				fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t\n", strategy, m[1].p50, m[0].p99, m[1].p99, m[2].p99,
					m[0].sheds, m[1].sheds, m[2].sheds, m[3].sheds, m[2].goodput, m[3].goodput, m[1].imbalance, m[1].messages)
			}
		}
	}
}

// The default policy must shed less than the baselines and keep the goodput
// under overload close to the capacity of the slots. The seeds are fixed;
// docs/ROUTING.md lists the results.
func TestDefaultPolicyOutperformsBaselines(t *testing.T) {
	at := func(strategy string, load float64) result {
		tr := base
		tr.strategy, tr.load = strategy, load
		return tr.run()
	}
	for _, baseline := range []string{"random", "round_robin"} {
		assert.Assert(t, at("slot_share", .7).sheds < .95*at(baseline, .7).sheds, baseline)
		assert.Assert(t, at("slot_share", .3).sheds < .7*at(baseline, .3).sheds, baseline)
	}
	assert.Assert(t, at("slot_share", 1.1).goodput > 95)
}
