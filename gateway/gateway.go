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
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/reachability"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/relay"
	"github.com/clementinereel/clementinereel/retry/spending"
	"github.com/clementinereel/clementinereel/statesync"
)

const (
	// dialTimeout bounds opening a connection to a target. It takes a few milliseconds on a
	// working path, 60 to another region. A lost SYN is retransmitted only after a
	// second; by then another target has been tried.
	dialTimeout = 80 * time.Millisecond
	// tickInterval is the interval at which expired entries are dropped. Removed targets may
	// stay in use for this much longer.
	tickInterval = 100 * time.Millisecond
	// internalIdleTimeout and internalWriteTimeout bound how long the servers for other instances
	// and for the balancer and operators keep a connection without a request, and one that takes no response:
	// both may have gone silent. Other instances keep theirs for half as long.
	internalIdleTimeout  = time.Minute
	internalWriteTimeout = 5 * time.Second
	// internalHeaderBytes bounds how much of a request's header they read.
	internalHeaderBytes = 64 << 10
	// pruneInterval is the interval at which the state of removed targets is dropped while
	// the set of targets does not change, as peers may still report some of them.
	pruneInterval = 5 * time.Second
	// statsLogInterval is the interval between log lines on connections to targets and on
	// mesh traffic.
	statsLogInterval = 5 * time.Second
	// requestsMemoryFraction and responsesMemoryFraction are the fractions of MemoryBytes for callers' connections and
	// requests, and for large responses.
	requestsMemoryFraction  = 0.38
	responsesMemoryFraction = 0.25
	// heldMemoryFraction is the fraction for both together.
	heldMemoryFraction = 0.55
	// gcPercent keeps the heap small at an acceptable cost in CPU time.
	gcPercent = 100
	// memoryLimitFraction is the fraction of MemoryBytes above which the garbage collector
	// runs more often.
	memoryLimitFraction = 0.7
)

// Gateway is a proxy instance.
type Gateway struct {
	settings        Settings
	booted          time.Time
	state           *statesync.State
	follower        *statesync.Follower
	node            *mesh.Node
	knowledge       *Knowledge
	contents        *quarantine.Table
	poison          *poison.Table
	rates           *Rates
	quotas          *Quotas
	paths           *reachability.Table
	relayer         *relayer
	pathsProbedAt   time.Time
	contentSync     *contentSyncer
	pendingEvidence evidenceQueue
	client          *exchange.Client
	handler         *Handler
	waiting         *Waiting
	metrics         *Metrics
	callerServer    *callerServer
	adminListener   net.Listener
	adminServer     *http.Server
	peerListener    net.Listener
	peerServer      *http.Server
	stopping        atomic.Bool
	ready           atomic.Bool
	// prunedFor is the set of targets for which the state of others was last dropped, at
	// prunedAt.
	prunedFor *registry.View
	prunedAt  time.Time
}

// New returns an instance with open sockets. The settings must be complete.
func New(s Settings, store Store) (*Gateway, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	g := &Gateway{settings: s, booted: time.Now(), metrics: NewMetrics()}
	g.knowledge = NewKnowledge(&placement.Chooser{Weights: s.Weights, Self: fleet.InstanceID(s.PeerListen), Zone: s.Zone, Random: rand.Float64}, s.Retry, g.booted)
	g.contents = quarantine.New(logStandingChange)
	g.poison = poison.New()
	g.paths = reachability.NewTable()
	g.state = statesync.NewState(uint64(g.booted.UnixNano()), g.announceVersions)
	g.state.SetRemovalBound(s.RemovalTimeout)
	g.state.SetRenewalInterval(s.RenewalInterval)
	g.state.SetLink(s.LinkBytes)
	g.state.OnRestart(func(ids []fleet.TargetID) { g.knowledge.ResetRestarted(time.Now(), ids) })
	g.client = &exchange.Client{Cache: exchange.NewCache(dialTimeout), Headers: s.Headers, MaxResponseBytes: maxResponseBytes, OnResponseHeader: g.handleResponseHeader, Admit: g.admits}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.follower = statesync.NewFollower(statesync.Options{
		State: g.state, Store: store, Peers: g.node.View, Self: g.node.Addr(), Zone: s.Zone, OnAddresses: g.node.AddPeers, Announce: g.announceVersions,
		DocumentTimeout: s.DocumentTimeout, RemovalTimeout: s.RemovalTimeout,
	})
	g.contentSync = &contentSyncer{table: g.contents, store: store, readEpoch: g.readsStore, announce: g.announceStoredContent, booted: g.booted}
	return g, nil
}

func (g *Gateway) listen() (err error) {
	s := &g.settings
	g.node, err = mesh.Listen(mesh.Config{Addr: s.PeerListen, Zone: s.Zone, Boot: g.booted, Seeds: s.Seeds, LinkBytes: s.LinkBytes},
		mesh.Callbacks{FillHeartbeat: g.fillHeartbeat, FillGreeting: g.fillGreeting, Digest: g.digest, FillDigest: g.fillDigest, Handle: g.handlePacket})
	if err != nil {
		return err
	}
	g.relayer = newRelayer(g.node, s.Zone)
	g.rates = NewRates(g.node, s.Zone, g.booted, g.state.Targets, g.metrics)
	g.quotas = NewQuotas(g.node, s.Zone, g.booted, s.Quota, g.state.Table, g.metrics)
	g.waiting = NewWaiting(s.Zone, s.Waiting, g.knowledge, g.state.Targets, g.node.RequestLoans, g.metrics)
	if g.peerListener, err = net.Listen("tcp4", g.node.Addr()); err != nil {
		return errors.WithStack(err)
	}
	if g.adminListener, err = listenBounded(s.ReadyListen); err != nil {
		return err
	}
	account, descriptors := newAccount(s, g.client.Cache, time.Now)
	g.handler = &Handler{
		State: g.state, Knowledge: g.knowledge, Client: g.client, SendUpdate: g.sendUpdate, SendLoad: g.node.SendLoad, RequestLoans: g.node.RequestLoans, Metrics: g.metrics,
		Contents: g.contents, SendContent: g.announceContent, RunsTrial: g.runsTrials, Poison: g.poison, Rates: g.rates,
		Paths: g.paths, PathsChanged: g.announcePaths, Relayer: g.relayer,
		Booted: g.booted, Keys: s.Keys, Quotas: g.quotas, Waiting: g.waiting, Callers: account, Descriptors: descriptors,
		Responses: NewResponses(int64(responsesMemoryFraction * float64(s.MemoryBytes))),
	}
	g.handler.Responses.ShareMemory(account)
	g.peerServer = newInternalServer(g.peerRoutes())
	g.adminServer = newAdminServer(g.adminRoutes())
	g.callerServer, err = listenForCallers(s.Listen, newPipeline(g.handler), descriptors.front)
	return err
}

// fillHeartbeat adds this instance's state to a heartbeat.
func (g *Gateway) fillHeartbeat(now time.Time, p *mesh.Packet) {
	g.fillVersions(p)
	g.knowledge.FillHeartbeat(now, p)
	g.fillQueuedEvidence(now, p)
	g.fillContents(now, p)
	g.rates.fill(now, p)
	g.fillDepartures(now, p)
	p.Paths = g.pathReport()
	g.waiting.fillHeartbeat(now, p)
}

// fillDigest adds what the own zone's instances have in common to a datagram for other zones.
func (g *Gateway) fillDigest(now time.Time, p *mesh.Packet) {
	g.waiting.fillDigest(now, p)
	if g.follower != nil {
		g.follower.FillDigest(p)
	}
}

// fillGreeting adds health estimates, contents, rates and departures to the first packet to
// a newly found instance.
func (g *Gateway) fillGreeting(now time.Time, p *mesh.Packet) {
	p.Estimates = g.knowledge.HealthEstimates(now)
	g.fillContents(now, p)
	g.rates.fill(now, p)
	g.fillDepartures(now, p)
}

// digest returns a digest of the own zone.
func (g *Gateway) digest(now time.Time, first bool) *mesh.Digest {
	return g.knowledge.Digest(now, g.node.View(), first)
}

func (g *Gateway) fillVersions(p *mesh.Packet) {
	if g.follower != nil {
		g.follower.Fill(p)
	}
}

// readsStore returns the store's epoch and whether this instance reads the store for its
// zone.
func (g *Gateway) readsStore() (registry.Epoch, bool) {
	_, position := g.state.Versions()
	log := g.follower.LogState()
	return position.Epoch, log == mesh.LogAvailable || log == mesh.LogLate
}

// sendUpdate sends an update to the other instances at once.
func (g *Gateway) sendUpdate(p mesh.Packet) {
	g.fillVersions(&p)
	g.fillQueuedEvidence(time.Now(), &p)
	g.node.SendUpdate(p)
}

// announceVersions announces the versions of this instance's state to the other instances.
func (g *Gateway) announceVersions() {
	var p mesh.Packet
	g.fillVersions(&p)
	g.node.Announce(p)
}

// handlePacket handles a packet of another instance.
func (g *Gateway) handlePacket(now time.Time, p *mesh.Packet) {
	g.knowledge.HandlePacket(now, p)
	g.handleContents(now, p)
	g.rates.handlePacket(now, p)
	g.quotas.handlePacket(now, p)
	g.waiting.handlePacket(now, p)
	g.handleDepartures(p)
	if len(p.LoanRequests) > 0 {
		g.lendBudget(now, p)
	}
	if g.state.Behind(now, p.Document, p.Position()) {
		g.follower.NotifyAhead()
	}
	if p.Zone == g.settings.Zone && p.Log.Doubtful() {
		g.follower.NotifyDoubt()
	}
}

// lendBudget responds to loan requests of an instance of the own zone.
func (g *Gateway) lendBudget(now time.Time, p *mesh.Packet) {
	if loans := g.knowledge.Lend(now, p.Addr, p.LoanRequests); len(loans) > 0 {
		g.node.SendLoans(p.Addr, loans)
	}
}

// Run serves until ctx ends, then stops gracefully within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	s := &g.settings
	eventlog.Info(eventlog.Started, "instance", s.Instance, "zone", s.Zone, "listen", s.Listen, "peer", g.node.Addr(), "seeds", len(s.Seeds))
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.node.Run(background)
	go g.follower.Run(background)
	go g.contentSync.run(background)
	go g.runTicker(background)
	failed := make(chan error, 3)
	go g.serve(failed, g.callerServer.listener, g.callerServer.server)
	go g.serve(failed, callerListener{g.adminListener, g.handler.Descriptors.ready}, g.adminServer)
	go g.serve(failed, g.peerListener, g.peerServer)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop()
	return nil
}

// newInternalServer returns a server for other instances.
func newInternalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: internalHeaderBytes, IdleTimeout: internalIdleTimeout, WriteTimeout: internalWriteTimeout,
	}
}

func (g *Gateway) serve(failed chan<- error, ln net.Listener, s *http.Server) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.WithStack(err)
	}
}

// adminRoutes returns the routes for readiness checks, metrics, listing quotas and requests that wait, and listing and lifting
// quarantines and advice of targets.
func (g *Gateway) adminRoutes() http.Handler {
	e := echo.New()
	e.GET(g.settings.ReadyPath, func(c echo.Context) error {
		if !g.ready.Load() || g.stopping.Load() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", func(c echo.Context) error {
		g.metrics.updateGauges(g)
		g.metrics.Registry.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	e.GET(quarantine.ReportPath, func(c echo.Context) error { return c.JSON(http.StatusOK, g.contents.Reports()) })
	e.DELETE(quarantine.ReportPath+"/:content", g.liftContent)
	e.GET(quota.Path, func(c echo.Context) error { return c.JSON(http.StatusOK, g.quotas.reports(time.Now())) })
	e.GET(spending.ReportPath, func(c echo.Context) error { return c.JSON(http.StatusOK, g.waiting.Reports(time.Now())) })
	e.GET(advice.Path, g.listAdvice)
	e.DELETE(advice.Path+"/:target", g.liftAdvice)
	return e
}

// liftContent ends a quarantine on all instances, on request of an operator.
func (g *Gateway) liftContent(c echo.Context) error {
	f, err := quarantine.ParseFingerprint(c.Param("content"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	now := time.Now()
	evidence, found := g.contents.Lift(now, f)
	if !found {
		return c.String(http.StatusNotFound, "nothing is held against this content here")
	}
	g.announceContent(now, evidence)
	return c.NoContent(http.StatusNoContent)
}

// peerRoutes returns the routes for other instances.
func (g *Gateway) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(statesync.Path, g.state)
	mux.Handle(statesync.DocumentPath, g.state)
	mux.HandleFunc(relay.Path, g.handler.serveRelayed)
	return mux
}

// runTicker drops expired entries and logs statistics at fixed intervals until ctx ends.
func (g *Gateway) runTicker(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	stats := time.NewTicker(statsLogInterval)
	defer stats.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.tick(now)
		case <-stats.C:
			g.logConnectionUses()
			g.logMeshTraffic()
		}
	}
}

// logMeshTraffic logs what this instance has sent to others since the start, in KB by kind,
// and the peak KB within one second: more than the link's bandwidth delays all other traffic.
func (g *Gateway) logMeshTraffic() {
	const kb = 1024
	s := g.node.Stats()
	pairs := []any{"received", s.Received, "dropped", s.Dropped, "most_kb_s", s.MaxBytesPerSecond / kb}
	for _, k := range mesh.Kinds() {
		pairs = append(pairs, k.String()+"_kb", s.SentBytes[k]/kb)
	}
	eventlog.Info(eventlog.MeshTraffic, pairs...)
}

// logConnectionUses logs how connections to targets were used since the last such line.
func (g *Gateway) logConnectionUses() {
	u := g.client.Cache.TakeStats()
	if u == (exchange.Stats{}) {
		return
	}
	eventlog.Info(eventlog.ConnectionStats, "reused", u.Reused, "opened_first", u.OpenedFirst, "opened_busy", u.OpenedBusy,
		"aged", u.Expired, "bounded", u.IdleTooLong, "broken", u.Broken, "ended", u.NotReusable, "surplus", u.Surplus, "same_request", u.SameRequest)
}

func (g *Gateway) tick(now time.Time) {
	view := g.node.View()
	g.follower.Tick(now, view)
	targets := g.state.Targets()
	// Until the targets are available, peers' reports about them are kept.
	noTargets := targets.Len() == 0
	g.knowledge.UpdateInstanceCount(now, view)
	g.knowledge.Tick(now)
	g.contents.Tick(now)
	g.rates.tick(now)
	g.waiting.rejections.Tick(now)
	g.handler.Callers.Tick()
	g.quotas.tick(now, view, g.knowledge.MaxInstances(now, view))
	g.probePaths(now)
	g.relayer.tick(now)
	if targets != g.prunedFor || now.Sub(g.prunedAt) > pruneInterval {
		g.prunedFor, g.prunedAt = targets, now
		g.poison.Expire(now)
		inUse := func(id fleet.TargetID) bool { return noTargets || targets.Target(id) != nil }
		g.knowledge.Forget(inUse)
		g.rates.table.Prune(now, inUse)
	}
	g.client.Cache.Sweep(now, func(t exchange.Target) bool {
		rt := targets.Target(t.ID)
		return noTargets || (rt != nil && exchangeTarget(rt) == t)
	})
	if t := g.state.Table(); t != nil && !g.stopping.Load() {
		g.callerServer.closeIdle(t.Document.Limits.IdleTimeout)
	}
	g.updateReady()
}

// updateReady makes the readiness check succeed while there are a configuration and a target.
func (g *Gateway) updateReady() {
	ready := g.state.Table() != nil && g.state.Targets().Len() > 0
	if g.ready.Swap(ready) != ready {
		version, position := g.state.Versions()
		eventlog.Info(eventlog.ReadyChanged, "ready", ready, "document", version, "epoch", position.Epoch, "registry", position.Offset,
			"targets", g.state.Targets().Len(), "after_ms", time.Since(g.booted).Milliseconds())
	}
}
