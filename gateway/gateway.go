package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/advice"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/poison"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/statesync"
)

const (
	// dialTimeout bounds the opening of a connection to a target. A path that
	// works takes a few milliseconds, 60 to another region; an opening packet
	// that was lost is sent again only after a second, and by then another
	// target has been tried.
	dialTimeout = 80 * time.Millisecond
	// tick is how often tables are looked through for what is over. Targets that
	// are gone may be in use for longer by it.
	tick = 100 * time.Millisecond
	// tidyEvery is how often what is known of targets that are gone is dropped while the
	// targets stay the same: peers may still tell of some.
	tidyEvery = 5 * time.Second
	// usesEvery is the time between lines on the use of connections to targets.
	usesEvery = 5 * time.Second
	// bodiesShare is the part of the memory for bodies of requests.
	bodiesShare = 0.35
	// gcPercent keeps the heap of an instance small, at a bearable part of its processor time.
	gcPercent = 100
	// memoryShare is the part of the memory from which the collector runs
	// harder.
	memoryShare = 0.7
)

// Gateway is one instance.
type Gateway struct {
	settings  Settings
	booted    time.Time
	state     *statesync.State
	follower  *statesync.Follower
	node      *mesh.Node
	knowledge *Knowledge
	contents  *quarantine.Table
	poison    *poison.Table
	rates     *Rates
	keeper    *keeper
	untold    untold
	client    *exchange.Client
	handler   *Handler
	metrics   *Metrics
	front     *front
	readyLn   net.Listener
	peerLn    net.Listener
	leaving   atomic.Bool
	ready     atomic.Bool
	// tidied are the targets for which what is known of others was last dropped.
	tidied   *registry.View
	tidiedAt time.Time
}

// New opens the instance's sockets. The settings are complete.
func New(s Settings, store Store) (*Gateway, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, booted: time.Now(), metrics: NewMetrics()}
	g.knowledge = NewKnowledge(&placement.Chooser{Weights: s.Weights, Self: fleet.InstanceID(s.PeerListen), Zone: s.Zone, Random: rand.Float64}, s.Retry, g.booted)
	g.contents = quarantine.New(logContent)
	g.poison = poison.New()
	g.state = statesync.NewState(uint64(g.booted.UnixNano()), g.announce)
	g.state.LeaveWithin(s.LeaveWithin)
	g.state.OnRestart(func(ids []fleet.TargetID) { g.knowledge.Restarted(time.Now(), ids) })
	g.client = &exchange.Client{Cache: exchange.NewCache(dialTimeout), Headers: s.Headers, MaxAnswer: maxAnswer, OnHead: g.heard, Admit: g.admits}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.follower = statesync.NewFollower(statesync.Options{
		State: g.state, Store: store, Peers: g.node.View, Self: g.node.Addr(), Zone: s.Zone, Know: g.node.AddPeers, Tell: g.announce,
	})
	g.keeper = &keeper{table: g.contents, store: store, reads: g.readsStore, tell: g.tellKept, booted: g.booted}
	return g, nil
}

func (g *Gateway) listen() (err error) {
	s := &g.settings
	g.node, err = mesh.Listen(mesh.Config{Addr: s.PeerListen, Zone: s.Zone, Boot: g.booted, Seeds: s.Seeds, LinkBytes: s.LinkBytes},
		mesh.Callbacks{FillHeartbeat: g.fill, FillGreeting: g.greet, Digest: g.digest, Handle: g.take})
	if err != nil {
		return err
	}
	g.rates = NewRates(g.node, s.Zone, g.booted, g.state.Targets, g.metrics)
	if g.peerLn, err = net.Listen("tcp4", g.node.Addr()); err != nil {
		return errors.WithStack(err)
	}
	if g.readyLn, err = net.Listen("tcp4", s.ReadyListen); err != nil {
		return errors.WithStack(err)
	}
	g.handler = &Handler{
		State: g.state, Knowledge: g.knowledge, Client: g.client, Tell: g.tell, TellLoad: g.node.SendLoad, AskForLoans: g.node.RequestLoans, Metrics: g.metrics,
		Contents: g.contents, TellContent: g.tellContent, TriesHere: g.triesHere, Poison: g.poison, Rates: g.rates,
		Booted: g.booted, Bodies: &Bodies{Bound: int64(bodiesShare * float64(s.MemoryBytes))},
	}
	g.front, err = listenFront(s.Listen, g.handler)
	return err
}

// fill completes a heartbeat.
func (g *Gateway) fill(now time.Time, p *mesh.Packet) {
	g.versions(p)
	g.knowledge.Fill(now, p)
	g.fillUntold(now, p)
	g.fillContents(now, p)
	g.rates.fill(now, p)
	g.fillDepartures(now, p)
}

// greet tells an instance that was just found what this one believes of targets and contents.
func (g *Gateway) greet(now time.Time, p *mesh.Packet) {
	p.Estimates = g.knowledge.Beliefs(now)
	g.fillContents(now, p)
	g.rates.fill(now, p)
	g.fillDepartures(now, p)
}

// digest sums up the own zone.
func (g *Gateway) digest(now time.Time, first bool) *mesh.Digest {
	return g.knowledge.Digest(now, g.node.View(), first)
}

func (g *Gateway) versions(p *mesh.Packet) {
	if g.follower != nil {
		g.follower.Fill(p)
	}
}

// readsStore tells whether this instance reads the store for its zone, and the store's epoch.
func (g *Gateway) readsStore() (registry.Epoch, bool) {
	_, position := g.state.Versions()
	return position.Epoch, g.follower.Log() == mesh.LogAvailable
}

// tell sends news at once.
func (g *Gateway) tell(p mesh.Packet) {
	g.versions(&p)
	g.fillUntold(time.Now(), &p)
	g.node.SendUpdate(p)
}

// announce tells the others that this instance's state has moved on.
func (g *Gateway) announce() {
	var p mesh.Packet
	g.versions(&p)
	g.node.Announce(p)
}

// take takes in a packet.
func (g *Gateway) take(now time.Time, p *mesh.Packet) {
	g.knowledge.Take(now, p)
	g.takeContents(now, p)
	g.rates.take(now, p)
	g.takeDepartures(p)
	if len(p.LoanRequests) > 0 {
		g.lend(now, p)
	}
	if g.state.Behind(now, p.Document, p.Position()) {
		g.follower.Ahead()
	}
}

// lend answers an instance of the zone that is short of a retry budget.
func (g *Gateway) lend(now time.Time, p *mesh.Packet) {
	if loans := g.knowledge.Lend(now, p.Addr, p.LoanRequests); len(loans) > 0 {
		g.node.SendLoans(p.Addr, loans)
	}
}

// Run serves until ctx ends, then stops without cutting a request.
func (g *Gateway) Run(ctx context.Context) error {
	s := &g.settings
	eventlog.Info(eventlog.Started, "instance", s.Instance, "zone", s.Zone, "listen", s.Listen, "peer", g.node.Addr(), "seeds", len(s.Seeds))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.node.Run(background)
	go g.follower.Run(background)
	go g.keeper.run(background)
	go g.tick(background)
	failed := make(chan error, 3)
	go g.serve(failed, g.front.listener, g.front.server)
	go g.serve(failed, g.readyLn, &http.Server{Handler: g.operatorRoutes(), ReadHeaderTimeout: headerTimeout})
	go g.serve(failed, g.peerLn, &http.Server{Handler: g.peerRoutes(), ReadHeaderTimeout: headerTimeout})
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop()
	return nil
}

func (g *Gateway) serve(failed chan<- error, ln net.Listener, s *http.Server) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.WithStack(err)
	}
}

// operatorRoutes answers the balancer's checks, serves metrics, and lists and lifts what is held against contents
// and what targets say of themselves.
func (g *Gateway) operatorRoutes() http.Handler {
	e := echo.New()
	e.GET(g.settings.ReadyPath, func(c echo.Context) error {
		if !g.ready.Load() || g.leaving.Load() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", func(c echo.Context) error {
		g.metrics.set(g)
		g.metrics.Registry.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	e.GET(quarantine.ReportPath, func(c echo.Context) error { return c.JSON(http.StatusOK, g.contents.Reports()) })
	e.DELETE(quarantine.ReportPath+"/:content", g.liftContent)
	e.GET(advice.Path, g.listAdvice)
	e.DELETE(advice.Path+"/:target", g.liftAdvice)
	return e
}

// liftContent ends a quarantine everywhere, at an operator's word.
func (g *Gateway) liftContent(c echo.Context) error {
	f, err := quarantine.ParseFingerprint(c.Param("content"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	now := time.Now()
	told, known := g.contents.Lift(now, f)
	if !known {
		return c.String(http.StatusNotFound, "nothing is held against this content here")
	}
	g.tellContent(now, told)
	return c.NoContent(http.StatusNoContent)
}

// peerRoutes answers other instances.
func (g *Gateway) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(statesync.Path, g.state)
	return mux
}

// tick drops what is over, again and again.
func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	uses := time.NewTicker(usesEvery)
	defer uses.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.tickOnce(now)
		case <-uses.C:
			g.logUses()
			g.logTraffic()
		}
	}
}

// logTraffic tells what this instance sent to others since the start, in KB, by kind,
// and the most within one second: more than its link takes holds up everything else.
func (g *Gateway) logTraffic() {
	const kb = 1024
	s := g.node.Stats()
	pairs := []any{"received", s.Received, "dropped", s.Dropped, "most_kb_s", s.MaxBytesPerSecond / kb}
	for _, k := range mesh.Kinds() {
		pairs = append(pairs, k.String()+"_kb", s.SentBytes[k]/kb)
	}
	eventlog.Info(eventlog.MeshTraffic, pairs...)
}

// logUses tells what became of connections to targets since the last such line.
func (g *Gateway) logUses() {
	u := g.client.Cache.TakeUses()
	if u == (exchange.Uses{}) {
		return
	}
	eventlog.Info(eventlog.ConnectionsUsed, "reused", u.Reused, "opened_first", u.OpenedFirst, "opened_busy", u.OpenedBusy,
		"aged", u.Aged, "bounded", u.Bounded, "broken", u.Broken, "ended", u.Ended, "surplus", u.Surplus)
}

func (g *Gateway) tickOnce(now time.Time) {
	view := g.node.View()
	g.follower.Tick(now, view)
	targets := g.state.Targets()
	// Before the targets are known, what others told of them is kept.
	unknown := targets.Len() == 0
	g.knowledge.Count(now, view)
	g.knowledge.Tick(now)
	g.contents.Tick(now)
	g.rates.tick(now)
	if targets != g.tidied || now.Sub(g.tidiedAt) > tidyEvery {
		g.tidied, g.tidiedAt = targets, now
		g.poison.Expire(now)
		inUse := func(id fleet.TargetID) bool { return unknown || targets.Target(id) != nil }
		g.knowledge.Forget(inUse)
		g.rates.table.Prune(now, inUse)
	}
	g.client.Cache.Sweep(now, func(t exchange.Target) bool {
		rt := targets.Target(t.ID)
		return unknown || (rt != nil && at(rt) == t)
	})
	if t := g.state.Table(); t != nil && !g.leaving.Load() {
		g.front.closeIdle(t.Document.Limits.IdleTimeout)
	}
	g.setReady()
}

// setReady tells the balancer to send callers once there is a configuration and a
// target.
func (g *Gateway) setReady() {
	ready := g.state.Table() != nil && g.state.Targets().Len() > 0
	if g.ready.Swap(ready) != ready {
		version, position := g.state.Versions()
		eventlog.Info(eventlog.ReadyChanged, "ready", ready, "document", version, "epoch", position.Epoch, "registry", position.Offset,
			"targets", g.state.Targets().Len(), "after_ms", time.Since(g.booted).Milliseconds())
	}
}
