package lab

import (
	"math/rand/v2"
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
	targets   []*target
	instances []*instance
	known     []int
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
	r := &run{Config: c, arrivals: rand.New(rand.NewPCG(c.Seed, 1))}
	r.plan = c.Fault.Plan(s, rand.New(rand.NewPCG(c.Seed, 2)))
	for t := range s.Targets {
		r.targets = append(r.targets, newTarget(s, c.Seed, uint64(t)))
		if at, late := r.plan.Joins[t]; late {
			r.queue.push(event{at: at, kind: evJoin, n: t})
			continue
		}
		r.known = append(r.known, t)
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
	in := &instance{
		policy:  r.Policy.New(s, i, r.Seed*1000+uint64(i)),
		rng:     rand.New(rand.NewPCG(r.Seed, 2000+uint64(i))),
		open:    make([]int, s.Targets),
		weights: make([]float64, s.Targets),
		known:   r.known,
	}
	for t := range in.weights {
		in.weights[t] = 1
	}
	in.policy.SetTargets(0, r.known)
	first := time.Duration(in.rng.Int64N(int64(tickEvery)))
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
	case evTakeover:
		r.takeover()
	case evSample:
		r.watch.sample(r)
		r.queue.push(event{at: r.now + sampleEvery, kind: evSample})
	}
}

func (r *run) arrive() {
	r.queue.push(event{at: r.nextArrival(), kind: evArrival})
	i := r.arrivals.IntN(r.Service.Instances)
	in := r.instances[i]
	in.budget = min(retryBurst, in.budget+retryShare)
	r.watch.offered(r)
	r.send(&request{instance: i, start: r.now})
}

// send begins a try at a target of the instance's choice.
func (r *run) send(q *request) {
	in := r.instances[q.instance]
	t := in.choose(q.tried)
	if t < 0 {
		return
	}
	q.tries++
	q.tried = append(q.tried, t)
	in.open[t]++
	y := &try{request: q, target: t, start: r.now, result: fleet.TryOK}
	y.ticket = in.policy.Start(r.now, t)
	h := r.plan.health(r.now, t, q.instance)
	r.watch.try(r, y, h)
	r.accept(y, h)
}

// accept lets the target refuse the try, run it or put it into its backlog.
func (r *run) accept(y *try, h Health) {
	tg := r.targets[y.target]
	if refused, after := tg.receive(h); refused != 0 {
		y.result = refused
		r.queue.push(event{at: r.now + after, kind: evTryDone, try: y})
		return
	}
	left := y.request.start + r.Service.Deadline - r.now
	r.queue.push(event{at: r.now + min(r.Service.TryTimeout, left), kind: evTryTimeout, try: y})
	if !tg.free(h) {
		tg.backlog = append(tg.backlog, y)
		return
	}
	r.runTry(y, h)
}

func (r *run) runTry(y *try, h Health) {
	tg := r.targets[y.target]
	tg.running++
	y.running = true
	took := tg.serviceTime(h)
	if h.AnswerLost || tg.rng.Float64() < h.Hang {
		return
	}
	if tg.rng.Float64() < errorShare {
		y.result = fleet.TryError
	}
	r.queue.push(event{at: r.now + took, kind: evTryDone, try: y})
}

// end takes the try's result, gives the slot to the next and goes on with the
// request.
func (r *run) end(y *try, result fleet.TryResult) {
	if y.ended {
		return
	}
	y.ended = true
	in := r.instances[y.instance]
	in.open[y.target]--
	in.policy.Record(r.now, y.ticket, result, r.now-y.start)
	r.watch.result(r, y, result)
	r.watch.lookAt(r, y.instance, y.target)
	r.targets[y.target].leave(y)
	r.startWaiting(y.target)
	if result == fleet.TryOK {
		r.watch.answered(r, y.request)
		return
	}
	inTime := r.now < y.request.start+r.Service.Deadline
	if inTime && in.mayRetry(y.request, r.Service.Class, result) {
		r.watch.again(result)
		r.send(y.request)
	}
}

// startWaiting runs what waits at the target while slots are free.
func (r *run) startWaiting(t int) {
	tg := r.targets[t]
	for len(tg.backlog) > 0 {
		next := tg.backlog[0]
		h := r.plan.health(r.now, t, next.instance)
		if !tg.free(h) {
			return
		}
		tg.backlog = tg.backlog[1:]
		r.runTry(next, h)
	}
}

func (r *run) tick(i int) {
	r.queue.push(event{at: r.now + tickEvery, kind: evTick, n: i})
	r.post(r.instances[i].policy.Tick(r.now))
	r.watch.look(r, i)
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
	known := make([]int, 0, len(r.known)+1)
	for n := range r.Service.Targets {
		if n == t || contains(r.known, n) {
			known = append(known, n)
		}
	}
	r.known = known
	for _, in := range r.instances {
		in.known = known
		in.policy.SetTargets(r.now, known)
	}
	for i := range r.instances {
		r.watch.look(r, i)
	}
}
