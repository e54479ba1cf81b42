package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/clementinereel/clementinereel/fleet"
)

// side is one way that requests take: through the fleet or directly.
type side struct {
	name     Route
	direct   bool
	host     string
	client   *http.Client
	balancer *balancer
}

// run is a load run under way.
type run struct {
	opts     Options
	sides    []*side
	prefix   string
	pool     []byte
	inFlight chan struct{}
	left     sync.WaitGroup

	mu      sync.Mutex
	tallies map[tallyKey]*tally
	ops     map[string]outcome
	started int
}

type tallyKey struct {
	side  Route
	class fleet.Class
}

// poolBytes is how much random data the bodies are drawn from.
const poolBytes = 1 << 20

// Run sends the load and returns what came of it. The context stops new
// operations; those under way finish.
func Run(ctx context.Context, o Options) (*Report, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	r := newRun(o)
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	r.watch(watching)
	start := time.Now()
	r.send(ctx, start)
	r.left.Wait()
	rep := r.report(time.Since(start))
	return rep, r.audit(rep)
}

func newRun(o Options) *run {
	r := &run{
		opts:     o,
		prefix:   uuid.NewString()[:8],
		pool:     make([]byte, poolBytes),
		inFlight: make(chan struct{}, o.MaxInFlight),
		tallies:  map[tallyKey]*tally{},
		ops:      map[string]outcome{},
	}
	gen := rand.NewChaCha8([32]byte{byte(o.Seed)})
	_, _ = gen.Read(r.pool)
	if o.Route != Direct {
		r.sides = append(r.sides, newSide(ThroughFleet, o, newBalancer(o.Instances, o.Weights)))
	}
	if o.Route != ThroughFleet {
		r.sides = append(r.sides, newSide(Direct, o, newBalancer(o.Targets, nil)))
	}
	return r
}

func newSide(name Route, o Options, b *balancer) *side {
	return &side{
		name:     name,
		direct:   name == Direct,
		host:     o.Host,
		client:   newClient(o.MaxInFlight),
		balancer: b,
	}
}

func newClient(idle int) *http.Client {
	tr := &http.Transport{
		MaxIdleConnsPerHost: idle,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// watch follows readiness, if it is known, on connections of its own.
func (r *run) watch(ctx context.Context) {
	if r.opts.Route == Direct || len(r.opts.Ready) == 0 {
		return
	}
	r.sides[0].balancer.watch(ctx, newClient(1), r.opts.Ready)
}

// send begins the operations of all streams at their times.
func (r *run) send(ctx context.Context, start time.Time) {
	ctx, cancel := context.WithDeadline(ctx, start.Add(r.opts.Duration))
	defer cancel()
	var wg sync.WaitGroup
	for i, s := range r.opts.Mix {
		gen := rand.New(rand.NewPCG(r.opts.Seed, uint64(i)+1))
		wg.Go(func() { r.sendStream(ctx, start, i, s, gen) })
	}
	wg.Wait()
}

func (r *run) sendStream(ctx context.Context, start time.Time, index int, s Stream, gen *rand.Rand) {
	mean := float64(time.Second) / s.Rate
	at := time.Duration(gen.Float64() * mean)
	for n := 0; at < r.opts.Duration; n++ {
		if !sleepUntil(ctx, start.Add(at)) || !r.admit() {
			return
		}
		op := r.newOperation(start.Add(at), s, gen)
		op.nonce = fmt.Sprintf("%s-%d-%d", r.prefix, index, n)
		r.begin(op)
		at += gap(mean, r.opts.Poisson, gen)
	}
}

func gap(mean float64, poisson bool, gen *rand.Rand) time.Duration {
	if poisson {
		mean *= gen.ExpFloat64()
	}
	return time.Duration(mean)
}

// admit counts an operation against the run's bound.
func (r *run) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started >= r.opts.MaxOperations {
		return false
	}
	r.started++
	return true
}

func (r *run) newOperation(intended time.Time, s Stream, gen *rand.Rand) *operation {
	return &operation{
		side:     r.sides[gen.IntN(len(r.sides))],
		stream:   s,
		intended: intended,
		rand:     rand.New(rand.NewPCG(gen.Uint64(), gen.Uint64())),
	}
}

// begin starts an operation, or counts it as not sent if too many are under
// way.
func (r *run) begin(op *operation) {
	select {
	case r.inFlight <- struct{}{}:
		r.left.Go(func() { r.perform(op) })
	default:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tally(op).notSent++
	}
}

func (r *run) perform(op *operation) {
	defer func() { <-r.inFlight }()
	op.prepare(r.pool)
	o := op.run(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally(op).add(o)
	if op.key != "" {
		r.ops[op.key] = o
	}
}

// tally returns the tally of an operation's side and class; r.mu is held.
func (r *run) tally(op *operation) *tally {
	key := tallyKey{op.side.name, op.stream.Class}
	t := r.tallies[key]
	if t == nil {
		t = newTally()
		r.tallies[key] = t
	}
	return t
}

// audit asks the targets what they ran, if they are known.
func (r *run) audit(rep *Report) error {
	if len(r.opts.Targets) == 0 {
		return nil
	}
	runs, err := targetRuns(context.Background(), newClient(1), r.opts.Targets)
	if err != nil {
		return err
	}
	a := audit(r.ops, runs)
	rep.Audit = &a
	return nil
}

// sleepUntil reports false if the context ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
