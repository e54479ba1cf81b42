package spending

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// way is how the requests that targets rejected are handled.
type way struct {
	name string
	// waits is set if they wait, reserved is the share of a full bucket that is kept meanwhile. A negative
	// share spends first come, first served.
	waits    bool
	reserved float64
}

var (
	noneWaits     = way{name: "none waits"}
	firstCome     = way{name: "waits, first come", waits: true, reserved: -1}
	chosen        = way{name: "waits, half of stock kept", waits: true, reserved: ReservedShare}
	threeQuarters = way{name: "waits, 0.75 of stock kept", waits: true, reserved: 0.75}
	wholeStock    = way{name: "waits, whole stock kept", waits: true, reserved: 1}
	compared      = []way{noneWaits, firstCome, chosen, threeQuarters, wholeStock}
)

// scenario is a fleet and a service that rejects attempts by chance for a time.
type scenario struct {
	instances         int
	requestsPerSecond float64 // of each instance
	slack             float64
	share             float64 // of attempts that are rejected meanwhile
	lasts             time.Duration
	// capacity is the share of the load that the service has room for meanwhile, if it rejects what is over its queue.
	capacity float64
	// restarts is the share of the instances that restart in the middle.
	restarts float64
}

const (
	modelStep  = 10 * time.Millisecond
	begin      = 12 * time.Second // after which the buckets are full
	tail       = 6 * time.Second
	usualShare = 0.03
	serviceFor = 60 * time.Millisecond
	// noticedAfter is the time after which instances notice that a rejection begins or ends; see package rejection.
	noticedAfter = 300 * time.Millisecond
	maxRefusals  = 4
	queueFor     = 100 * time.Millisecond // of the usual load, in the queue of a service with a capacity
	window       = 10 * time.Second
	ratio        = 0.2
	groupSize    = 15
	lendersAsked = 3
	loanInterval = 200 * time.Millisecond
)

var start = time.Unix(1000, 0)

// caller is a request of the model.
type caller struct {
	waitqueue.Request
	objective time.Time
}

// node is an instance of the model.
type node struct {
	budget   *pooled.Budget
	planner  *Planner
	callers  map[uint64]*caller
	loanedAt time.Time
}

// model is one run of a scenario.
type model struct {
	scenario
	way     way
	rng     *rand.Rand
	nodes   []*node
	now     time.Time
	nextID  uint64
	room    float64 // in the queue of the service
	arrived []int   // by step
	added   []int   // by step
	result  result
}

// result counts the requests that arrived while the service rejected.
type result struct {
	arrived, served, inObjective, refused int
	urgentServed, urgentArrived           int
	// addedAfter are the attempts that were added in each 100 ms after the end was noticed, as shares of the usual load.
	addedAfter []float64
	// excess is by how much attempts exceeded the bound of the budget in any window; negative if they did not.
	excess float64
}

// account is the budget of a node, for its planner.
type account struct {
	m *model
	n *node
}

func (a account) Balance(now time.Time) pooled.Balance {
	return a.n.budget.Balance(now, a.m.instances)
}

func (a account) SpendAbove(now time.Time, share float64, _ int) bool {
	if a.n.budget.SpendAbove(now, a.m.instances, share, true) {
		return true
	}
	return share == 0 && a.m.borrow(a.n) && a.n.budget.SpendAbove(now, a.m.instances, share, true)
}

// borrow asks neighbours for loans.
func (m *model) borrow(n *node) bool {
	if m.now.Sub(n.loanedAt) < loanInterval {
		return false
	}
	n.loanedAt = m.now
	n.budget.LoanRequested(m.now)
	for range lendersAsked {
		if lender := m.nodes[m.rng.IntN(min(groupSize, len(m.nodes)))]; lender != n {
			n.budget.ReceiveLoan(m.now, lender.budget.Lend(m.now, m.instances, 1))
		}
	}
	return true
}

func run(s scenario, w way, seed uint64) result {
	m := &model{scenario: s, way: w, rng: rand.New(rand.NewPCG(seed, 11))}
	for range s.instances {
		m.nodes = append(m.nodes, m.newNode(start.Add(-time.Hour)))
	}
	steps := int((begin + s.lasts + tail) / modelStep)
	for n := range steps {
		m.now = start.Add(time.Duration(n) * modelStep)
		m.arrived, m.added = append(m.arrived, 0), append(m.added, 0)
		if s.restarts > 0 && m.now.Equal(start.Add(begin+s.lasts/2)) {
			m.restart()
		}
		m.room = min(m.room+m.capacity*m.load()*modelStep.Seconds(), m.load()*queueFor.Seconds())
		for _, n := range m.nodes {
			m.decide(n)
			if m.rng.Float64() < s.requestsPerSecond*modelStep.Seconds() {
				m.request(n)
			}
		}
	}
	m.result.excess = m.maxExcess()
	m.result.addedAfter = m.addedAfter()
	return m.result
}

func (m *model) newNode(started time.Time) *node {
	return &node{
		budget:  pooled.New(pooled.Config{Ratio: ratio, Slack: m.slack, Window: window}, started),
		planner: New(Config{Bounds: waitqueue.Bounds{Requests: 256, Bytes: 1 << 20}, ReservedShare: max(m.way.reserved, 0), Random: m.rng.Float64}),
		callers: make(map[uint64]*caller),
	}
}

func (m *model) restart() {
	for i := range m.nodes {
		if m.rng.Float64() < m.restarts {
			m.nodes[i] = m.newNode(m.now)
		}
	}
}

func (m *model) rejectsAt(at time.Time) bool {
	return !at.Before(start.Add(begin)) && at.Before(start.Add(begin+m.lasts))
}

// rejecting is what instances believe.
func (m *model) rejecting() bool { return m.rejectsAt(m.now.Add(-noticedAfter)) }

// load is the usual load of the fleet in requests per second.
func (m *model) load() float64 { return float64(m.instances) * m.requestsPerSecond }

func (m *model) accepts() bool {
	if m.rejectsAt(m.now) && m.capacity > 0 {
		accepted := m.room >= 1
		if accepted {
			m.room--
		}
		return accepted
	}
	if m.rejectsAt(m.now) {
		return m.rng.Float64() >= m.share
	}
	return m.rng.Float64() >= usualShare
}

func (m *model) request(n *node) {
	timeouts := []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second}
	objectives := []time.Duration{800 * time.Millisecond, time.Second, 1500 * time.Millisecond}
	m.nextID++
	c := &caller{objective: m.now.Add(objectives[m.rng.IntN(3)]), Request: waitqueue.Request{ID: m.nextID, Rank: m.rng.IntN(3), Since: m.now}}
	c.LastStart = m.now.Add(timeouts[m.rng.IntN(3)] - 2*serviceFor)
	c.ObjectiveStart = c.objective.Add(-serviceFor)
	m.arrived[len(m.arrived)-1]++
	n.budget.RecordRequest(m.now, c.Rank <= 1)
	if m.rejectsAt(m.now) {
		m.result.arrived++
		if c.Rank == 0 {
			m.result.urgentArrived++
		}
	}
	m.attempt(n, c)
}

// attempt makes attempts until the request is served, waits or is refused.
func (m *model) attempt(n *node, c *caller) {
	for range maxRefusals {
		if m.accepts() {
			m.serve(c)
			return
		}
		if m.way.waits && m.rejecting() {
			break
		}
		if !m.spend(n, c) {
			break
		}
	}
	if m.way.waits {
		n.callers[c.ID] = c
		_, out := n.planner.Join(m.now, c.Request, account{m, n})
		m.apply(n, out)
		return
	}
	m.refuse(c)
}

// spend takes a retry out of the budget as a request that does not wait.
func (m *model) spend(n *node, c *caller) bool {
	urgent := c.Rank <= 1
	ok := n.budget.Spend(m.now, m.instances, urgent) || m.borrow(n) && n.budget.Spend(m.now, m.instances, urgent)
	if ok {
		m.added[len(m.added)-1]++
	}
	return ok
}

func (m *model) decide(n *node) {
	if m.way.reserved < 0 {
		m.spendFirstCome(n)
		return
	}
	m.apply(n, n.planner.Decide(m.now, m.rejecting(), account{m, n}))
}

// spendFirstCome grants whatever the budget allows in the order of arrival.
func (m *model) spendFirstCome(n *node) {
	for n.planner.Len() > 0 {
		waiting := n.planner.Waiting(m.now)
		first := waiting[0]
		for _, r := range waiting {
			if r.ID < first.ID {
				first = r
			}
		}
		if m.now.After(first.LastStart) {
			n.planner.Leave(first.ID)
			m.apply(n, []Decision{{first, Expired}})
			continue
		}
		if !n.budget.Spend(m.now, m.instances, true) {
			return
		}
		n.planner.Leave(first.ID)
		m.apply(n, []Decision{{first, Granted}})
	}
}

func (m *model) apply(n *node, out []Decision) {
	for _, d := range out {
		c := n.callers[d.ID]
		delete(n.callers, d.ID)
		if d.Verdict != Granted {
			m.refuse(c)
			continue
		}
		m.added[len(m.added)-1]++
		m.attempt(n, c)
	}
}

func (m *model) during(c *caller) bool { return m.rejectsAt(c.Since) }

func (m *model) serve(c *caller) {
	if !m.during(c) {
		return
	}
	m.result.served++
	if c.Rank == 0 {
		m.result.urgentServed++
	}
	if !m.now.Add(serviceFor).After(c.objective) {
		m.result.inObjective++
	}
}

func (m *model) refuse(c *caller) {
	if m.during(c) {
		m.result.refused++
	}
}

func sums(xs []int) []int {
	total := make([]int, len(xs)+1)
	for i, x := range xs {
		total[i+1] = total[i] + x
	}
	return total
}

// maxExcess returns by how much the added attempts exceed the bound in any window, for requests of the
// same or the previous window.
func (m *model) maxExcess() float64 {
	length := int(window / modelStep)
	requests, added := sums(m.arrived), sums(m.added)
	excess := -m.slack
	for end := length; end < len(added); end++ {
		most := requests[end] - requests[end-length]
		if end >= 2*length {
			most = max(most, requests[end-length]-requests[end-2*length])
		}
		excess = max(excess, float64(added[end]-added[end-length])-ratio*float64(most)-m.slack)
	}
	return excess
}

// addedAfter returns the attempts that were added in each 100 ms once the end was noticed, as shares of the usual load.
func (m *model) addedAfter() (shares []float64) {
	const per = int(100 * time.Millisecond / modelStep)
	usual := m.load() * 0.1
	added := sums(m.added)
	for begin := int((begin + m.lasts + noticedAfter) / modelStep); begin+per < len(added); begin += per {
		shares = append(shares, float64(added[begin+per]-added[begin])/usual)
	}
	return shares
}

// largestMean returns the largest of the means over runs of what was added in each 100 ms.
func largestMean(runs [][]float64) float64 {
	largest := 0.0
	for i := range runs[0] {
		sum := 0.0
		for _, r := range runs {
			sum += r[i]
		}
		largest = max(largest, sum/float64(len(runs)))
	}
	return largest
}

// fleets are those of the patterns: 540 and 605 requests per second.
var fleets = []scenario{
	{instances: 45, requestsPerSecond: 12, slack: 190, share: 0.55},
	{instances: 121, requestsPerSecond: 5, slack: 190, share: 0.55},
}

// TestBoundHoldsAcrossRestarts: instances that restart while a service rejects have no stock, and no window has more
// attempts than the budget allows.
func TestBoundHoldsAcrossRestarts(t *testing.T) {
	for seed := range uint64(6) {
		s := fleets[seed%2]
		s.lasts, s.restarts = 4*time.Second, 0.3
		r := run(s, chosen, seed)
		assert.Assert(t, r.excess <= 0, "seed %d: %v", seed, r.excess)
	}
}

// TestRejectsWhatIsOverItsQueue names the pattern: a service has room for 0.7 of the load for 8 s and rejects what is over its
// queue. As much as before is served meanwhile, and more afterwards.
func TestRejectsWhatIsOverItsQueue(t *testing.T) {
	for _, s := range fleets {
		s.lasts, s.capacity = 8*time.Second, 0.7
		none, waits := run(s, noneWaits, 1), run(s, chosen, 1)
		share := func(r result) float64 { return float64(r.served) / float64(r.arrived) }
		t.Logf("%d instances: served %.3f if none waits, %.3f if some do", s.instances, share(none), share(waits))
		assert.Assert(t, share(waits) >= share(none))
		assert.Assert(t, waits.excess <= 0 && largestMean([][]float64{waits.addedAfter}) < 1)
	}
}

// TestRejectsHalfOfAll names the pattern: a service rejects 0.55 of all attempts for 1, 8 and 30 s, whatever the load, and recovers at
// once. More callers are served than if none waits or if those that wait are served first come, and what is added afterwards is
// on average no more than half of the usual load in any 100 ms.
func TestRejectsHalfOfAll(t *testing.T) {
	for _, fleet := range fleets {
		for _, lasts := range []time.Duration{time.Second, 8 * time.Second, 30 * time.Second} {
			served := make(map[string]float64)
			for _, w := range compared {
				s := fleet
				s.lasts = lasts
				var sum result
				var after [][]float64
				seeds := uint64(2)
				if w == chosen {
					seeds = 8
				}
				for seed := range seeds {
					r := run(s, w, seed)
					sum.arrived += r.arrived
					sum.served += r.served
					sum.inObjective += r.inObjective
					sum.refused += r.refused
					sum.urgentArrived += r.urgentArrived
					sum.urgentServed += r.urgentServed
					after = append(after, r.addedAfter)
					assert.Equal(t, r.served+r.refused, r.arrived, "each request is served or refused, once")
					assert.Assert(t, r.excess <= 0, "%v", r.excess)
				}
				share := func(n, of int) string { return fmt.Sprintf("%.3f", float64(n)/float64(of)) }
				served[w.name] = float64(sum.served) / float64(sum.arrived)
				t.Logf("%d instances, %v, %-25s: served %s, within objective %s, refused %s; rank 0 served %s; most added in 0.1 s afterwards %.2f of load", s.instances, lasts, w.name,
					share(sum.served, sum.arrived), share(sum.inObjective, sum.arrived), share(sum.refused, sum.arrived), share(sum.urgentServed, sum.urgentArrived), largestMean(after))
				if w == chosen {
					// Recovers at once: those that wait do not come back as a herd.
					assert.Assert(t, largestMean(after) <= 0.5)
				}
			}
			assert.Assert(t, served[chosen.name] > served[noneWaits.name] && served[chosen.name] > served[firstCome.name], "%v: %v", lasts, served)
		}
	}
}
