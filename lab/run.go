package lab

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// tickEvery is the time between two ticks of an instance.
	tickEvery = 100 * time.Millisecond
	// sampleEvery is the time between two looks at the whole fleet.
	sampleEvery = 100 * time.Millisecond
	// warmup is left out of the counts of requests.
	warmup = 5 * time.Second
	// holder is the instance that pools the evidence, heir the one that takes
	// the role over.
	holder, heir = 0, 1
)

// Config is all that a run depends on.
type Config struct {
	Service Service
	Fault   Fault
	Policy  Maker
	// Load is the share of all slots that the callers' requests need.
	Load float64
	Seed uint64
}

// run is the state of one run.
type run struct {
	Config
	plan      Plan
	now       time.Duration
	queue     events
	arrivals  *rand.Rand
	jitter    *rand.Rand
	targets   []*target
	instances []*instance
	known     []fleet.Target
	watch     *watch
}

// Run makes one run and returns its measures.
func Run(c Config) Measures {
	r := newRun(c)
	for len(r.queue.heap) > 0 {
		e := r.queue.pop()
		if e.at >= c.Service.Length {
			break
		}
		r.now = e.at
		r.handle(e)
	}
	return r.watch.finish(r)
}

func newRun(c Config) *run {
	s := c.Service
	r := &run{Config: c, arrivals: rand.New(rand.NewPCG(c.Seed, 1)), jitter: rand.New(rand.NewPCG(c.Seed, 3))}
	r.plan = c.Fault.Plan(s, rand.New(rand.NewPCG(c.Seed, 2)))
	for t := range s.Targets {
		r.targets = append(r.targets, newTarget(s, c.Seed, uint64(t)))
		if at, late := r.plan.Joins[t]; late {
			r.queue.push(event{at: at, kind: evJoin, n: t})
			continue
		}
		r.known = append(r.known, s.target(t, never))
	}
	for t, at := range r.plan.Leaves {
		r.queue.push(event{at: at, kind: evLeave, n: t})
	}
	for i := range s.Instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	if r.plan.Takeover > 0 {
		r.queue.push(event{at: r.plan.Takeover, kind: evTakeover})
	}
	r.watch = newWatch(r)
	r.queue.push(event{at: r.nextArrival(), kind: evArrival})
	r.queue.push(event{at: sampleEvery, kind: evSample})
	return r
}

func (r *run) newInstance(i int) *instance {
	s := r.Service
	in := newInstance(s, i, r.Policy.New(s, i), r.Seed*1000+uint64(i))
	in.announce(0, r.known)
	in.rebalance(0)
	first := tickEvery * time.Duration(i) / time.Duration(s.Instances)
	r.queue.push(event{at: first, kind: evTick, n: i})
	return in
}

func (r *run) nextArrival() time.Duration {
	gap := r.arrivals.ExpFloat64() / r.Service.rate(r.Load)
	return r.now + time.Duration(gap*float64(time.Second))
}

func (r *run) handle(e event) {
	switch e.kind {
	case evArrival:
		r.arrive()
	case evSearch:
		r.search(e.req)
	case evRetry:
		r.addTry(e.req)
	case evTryDone:
		r.end(e.try, e.try.result)
	case evTryTimeout:
		r.end(e.try, fleet.TryTimeout)
	case evTick:
		r.tick(e.n)
	case evMessage:
		r.post(r.instances[e.msg.To].policy.Receive(r.now, *e.msg))
		r.watch.look(r, e.msg.To)
	case evJoin:
		r.join(e.n)
	case evLeave:
		r.announceLeaving(e.n)
	case evTakeover:
		r.takeover()
	case evSample:
		r.watch.sample(r)
		r.queue.push(event{at: r.now + sampleEvery, kind: evSample})
	}
}

func (r *run) tick(i int) {
	r.queue.push(event{at: r.now + tickEvery, kind: evTick, n: i})
	in := r.instances[i]
	r.post(in.policy.Tick(r.now))
	r.watch.look(r, i)
	r.settle(in, in.gate.Tick(epoch.Add(r.now)))
}

// post sends messages on their way, or loses them.
func (r *run) post(messages []Message) {
	for _, m := range messages {
		r.watch.message(m)
		if delay, ok := r.link(m.From, m.To); ok {
			r.queue.push(event{at: r.now + delay, kind: evMessage, msg: &m})
		}
	}
}

func (r *run) link(from, to int) (time.Duration, bool) {
	if r.plan.Link == nil {
		return r.Service.delay(from, to), true
	}
	return r.plan.Link(r.now, from, to)
}

// delay is the one-way time between two instances.
func (s Service) delay(from, to int) time.Duration {
	if s.Zone(from) == s.Zone(to) {
		return s.Hop / 4
	}
	return s.Hop
}

// takeover moves the role for all but the old holder, who hears of nothing.
func (r *run) takeover() {
	for i, in := range r.instances {
		if i != holder {
			in.policy.SetHolder(r.now, heir)
		}
	}
}

func (r *run) join(t int) {
	r.known = append(slices.Clone(r.known), r.Service.target(t, r.now))
	slices.SortFunc(r.known, func(a, b fleet.Target) int { return numberOf(a.ID) - numberOf(b.ID) })
	r.announce()
}

func (r *run) announceLeaving(t int) {
	r.known = slices.Clone(r.known)
	for i := range r.known {
		if numberOf(r.known[i].ID) == t {
			r.known[i].State = fleet.Leaving
		}
	}
	r.watch.left(r, t)
	r.announce()
}

func (r *run) announce() {
	for i, in := range r.instances {
		in.announce(r.now, r.known)
		r.watch.look(r, i)
		in.rebalance(r.now)
	}
}
