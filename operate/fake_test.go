package operate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/wait"
)

var errFault = errors.New("injected fault")

// memLog is an in-memory log with fault injection.
type memLog struct {
	mu        sync.Mutex
	streams   map[string][]logservice.Record
	first     map[string]logservice.Offset
	grown     chan struct{}
	down      bool
	loseReply bool
	latency   time.Duration
	appends   int
}

func newMemLog() *memLog {
	return &memLog{
		streams: map[string][]logservice.Record{}, first: map[string]logservice.Offset{},
		grown: make(chan struct{}),
	}
}

func (l *memLog) set(change func(l *memLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *memLog) Append(ctx context.Context, stream string, data []byte) (logservice.Offset, error) {
	l.mu.Lock()
	latency, down := l.latency, l.down
	l.mu.Unlock()
	if !wait.For(ctx, latency) {
		return 0, ctx.Err()
	}
	if down {
		return 0, errFault
	}
	var o logservice.Offset
	lost := false
	l.set(func(l *memLog) {
		l.appends++
		o = logservice.Offset(len(l.streams[stream]))
		l.streams[stream] = append(l.streams[stream], logservice.Record{Offset: o, Time: time.Now(), Data: data})
		lost = l.loseReply
	})
	if lost {
		return 0, errFault
	}
	return o, nil
}

func (l *memLog) Read(ctx context.Context, stream string, from logservice.Offset, limit int, most time.Duration) (logservice.Batch, error) {
	timeout := time.After(most)
	for {
		l.mu.Lock()
		list := l.streams[stream]
		b := logservice.Batch{First: l.first[stream], Next: logservice.Offset(len(list))}
		down, grown, latency := l.down, l.grown, l.latency
		l.mu.Unlock()
		switch {
		case down:
			return logservice.Batch{}, errFault
		case from < b.First:
			return b, logservice.ErrExpired
		case int(from) < len(list):
			b.Records = slices.Clone(list[from:min(len(list), int(from)+limit)])
			wait.For(ctx, latency)
			return b, nil
		}
		select {
		case <-grown:
		case <-timeout:
			return b, nil
		case <-ctx.Done():
			return logservice.Batch{}, ctx.Err()
		}
	}
}

// cluster is a fleet of services in one process.
type cluster struct {
	t     *testing.T
	log   *memLog
	mu    sync.Mutex
	nodes map[fleet.InstanceID]*Service
	// listed contains unreachable instances that the platform still lists.
	listed []fleet.Holder
	cut    map[[2]fleet.InstanceID]bool
	inc    atomic.Int64
	runs   map[string]int
	// behave is the target's behaviour; it may be replaced.
	behave func(ctx context.Context, req *Request) Result
	change func(c *Config)
	// runners maps names of operations to runners that replace behave and
	// receive the instance. order lists the instances for loads.
	runners  sync.Map
	handlers sync.Map
	order    []*Service
}

// runner is a target's behaviour that receives the calling instance.
type runner func(ctx context.Context, at *Service) Result

func newCluster(t *testing.T, n int, change func(c *Config)) *cluster {
	t.Helper()
	if !*measure {
		t.Parallel()
	}
	c := &cluster{
		t: t, log: newMemLog(), nodes: map[fleet.InstanceID]*Service{},
		cut: map[[2]fleet.InstanceID]bool{}, runs: map[string]int{}, change: change,
	}
	c.behave = func(_ context.Context, req *Request) Result { return c.book(req) }
	for i := range n {
		c.start(node(i))
	}
	t.Cleanup(c.stop)
	c.eventually("instances ready", func() bool {
		for i := range n {
			if !c.at(i).Ready() || !c.at(i).reading() {
				return false
			}
		}
		return true
	})
	return c
}

func node(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("i", i)) }

// reading reports whether the instance has read its partitions to the end.
func (s *Service) reading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		p.mu.Lock()
		read := p.caughtUp
		p.mu.Unlock()
		if !read {
			return false
		}
	}
	return true
}

func (c *cluster) start(id fleet.InstanceID) *Service {
	self := fleet.Holder{Instance: id, Incarnation: fleet.Incarnation(c.inc.Add(1))}
	cfg := Config{
		Settings: Settings{Partitions: 2, AppendsPerSecond: 1000, ClaimTimeout: contract.Duration(time.Second), GoneAfter: contract.Duration(50 * time.Millisecond)},
		Self:     self, Log: c.log, Members: c.members,
		Peers: &http.Client{Transport: &wire{c: c, from: id}},
		Run: func(ctx context.Context, req *Request) Result {
			if r, ok := c.runners.Load(req.Key + req.Ticket); ok {
				return r.(runner)(ctx, c.byID(id))
			}
			return c.behaviour()(ctx, req)
		},
		Attempts: claim.TableConfig{HoldOff: 400 * time.Millisecond, NotRunTimeout: 300 * time.Millisecond},
	}
	if c.change != nil {
		c.change(&cfg)
	}
	s := New(cfg)
	_, h := s.Handler()
	c.handlers.Store(id, h)
	c.mu.Lock()
	c.nodes[id] = s
	c.mu.Unlock()
	s.spawn(func(ctx context.Context) {
		for wait.For(ctx, 20*time.Millisecond) {
			s.Tick(time.Now())
		}
	})
	return s
}

func (c *cluster) stop() {
	c.mu.Lock()
	nodes := c.nodes
	c.nodes = map[fleet.InstanceID]*Service{}
	c.mu.Unlock()
	for _, s := range nodes {
		s.Close()
	}
}

// crash ends an instance without a graceful stop.
func (c *cluster) crash(i int) {
	c.mu.Lock()
	s := c.nodes[node(i)]
	delete(c.nodes, node(i))
	c.mu.Unlock()
	s.Close()
}

func (c *cluster) handler(id fleet.InstanceID) http.Handler {
	h, _ := c.handlers.Load(id)
	return h.(http.Handler)
}

func (c *cluster) at(i int) *Service { return c.byID(node(i)) }

func (c *cluster) byID(id fleet.InstanceID) *Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

func (c *cluster) members() []fleet.Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.listed)
	for _, s := range c.nodes {
		list = append(list, s.cfg.Self)
	}
	slices.SortFunc(list, func(a, b fleet.Holder) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

func (c *cluster) setCut(from, to int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]fleet.InstanceID{node(from), node(to)}] = cut
}

// isolate partitions an instance from all others, in both directions.
func (c *cluster) isolate(i, n int) {
	for j := range n {
		c.setCut(i, j, i != j)
		c.setCut(j, i, i != j)
	}
}

func (c *cluster) behaviour() Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behave
}

func (c *cluster) setBehaviour(f Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behave = f
}

// book simulates a run at the target.
func (c *cluster) book(req *Request) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := req.Key + req.Ticket
	c.runs[name]++
	body := fmt.Sprintf("booked %s run %d", name, c.runs[name])
	return Result{Outcome: fleet.Completed, Target: "t1", Answer: operation.NewCompleted(201, nil, []byte(body))}
}

func (c *cluster) ran(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[name]
}

func (c *cluster) eventually(what string, cond func() bool) {
	c.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(limit) {
			c.t.Fatalf("not met within 20 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// wire delivers calls between instances in memory.
type wire struct {
	c    *cluster
	from fleet.InstanceID
}

func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	to := fleet.InstanceID(strings.TrimSuffix(r.URL.Hostname(), ".peer"))
	w.c.mu.Lock()
	s := w.c.nodes[to]
	cut := w.c.cut[[2]fleet.InstanceID{w.from, to}]
	w.c.mu.Unlock()
	if s == nil || cut {
		return nil, errFault
	}
	h := w.c.handler(to)
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(rec, r)
	}()
	select {
	case <-done:
		return rec.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-s.ctx.Done():
		return nil, errFault
	}
}

func keyed(key, body string) *Request {
	return &Request{
		Customer: "daugava", Route: "confirm", Service: "daugava/quotes", Key: key, ID: "r-" + key,
		Method: http.MethodPost, Path: "/confirm", Body: []byte(body),
		Window: time.Hour, Deadline: time.Now().Add(5 * time.Second),
	}
}

// send sends a request to an instance and marks the answer as delivered.
func (c *cluster) send(i int, req *Request) operation.Answer {
	a := c.at(i).Do(context.Background(), req, nil)
	a.Delivered()
	return a.Answer
}

func (c *cluster) wantOutcome(a operation.Answer, want fleet.Outcome) {
	c.t.Helper()
	assert.Equal(c.t, a.Outcome, want, "%d %s", a.Status, a.Body)
}
