package instance

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/allowance"
	"github.com/clementinereel/clementinereel/evidence"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/follow"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/proxy"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/route"
	"github.com/clementinereel/clementinereel/settings"
	"github.com/clementinereel/clementinereel/status"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/upstream"
)

// Instance is one running instance.
type Instance struct {
	cfg        *settings.Settings
	self       fleet.Holder
	platform   *logservice.Client
	metrics    *telemetry.Registry
	services   *upstream.Set
	pool       *pool.Set
	follower   *follow.Follower
	allowances *allowance.Client
	limiter    *allowance.Server
	limits     sync.Map      // fleet.CustomerID -> *limitsInForce
	suspect    metrics.Gauge // services for which this instance suspects itself
	operations *operate.Service
	evidence   *evidence.Table
	view       atomic.Pointer[publication.View]
	transport  *peer.Transport
	gossip     *peer.Gossip
	routes     atomic.Pointer[route.Table]
	members    atomic.Pointer[members]
	started    time.Time
	ready      atomic.Bool
	stopping   atomic.Bool
	cancel     context.CancelFunc
	systems    sync.WaitGroup
	hadPeers   bool // used by the tick alone
	known      processList
	sockets    *listeners
	callers    *http.Server
	peers      *peer.Server
	admin      *http.Server
}

// New opens an instance's sockets. Start makes it serve.
func New(cfg *settings.Settings) (*Instance, error) {
	sockets, err := listen(cfg.Listen, cfg.PeerListen, cfg.AdminListen)
	if err != nil {
		return nil, err
	}
	via := upstream.Via{Instance: cfg.Instance, Zone: cfg.Zone}
	i := &Instance{
		cfg:      cfg,
		self:     fleet.Holder{Instance: cfg.Instance, Incarnation: fleet.Incarnation(time.Now().UnixNano())},
		platform: logservice.NewClient(cfg.Platform.URL, cfg.Platform.Timeout.D()),
		metrics:  telemetry.NewRegistry(),
		pool:     pool.New(pool.Config{}),
		sockets:  sockets,
	}
	i.routes.Store(route.Empty)
	if err := i.joinPeers(); err != nil {
		sockets.close()
		return nil, err
	}
	i.followMembers()
	i.shareEvidence()
	i.services = upstream.NewSet(upstream.Env{Via: via, Pool: i.pool, Evidence: i.evidence, Seed: upstream.Seed()})
	i.followConfiguration()
	i.shareLimits()
	i.runOperations()
	handler := proxy.New(proxy.Config{
		Routes:     i.routes.Load,
		Services:   i.services,
		Limits:     i.allowances.Table(),
		Operations: i.operations,
		Metrics:    i.metrics,
	})
	i.callers = i.newCallerServer(handler)
	i.admin = i.newAdminServer()
	return i, nil
}

// Run serves until the context ends, then stops gracefully.
func Run(ctx context.Context, cfg *settings.Settings) error {
	i, err := New(cfg)
	if err != nil {
		return err
	}
	i.Start()
	<-ctx.Done()
	i.Stop()
	return nil
}

// Start makes the instance serve; it returns at once.
func (i *Instance) Start() {
	klog.InfoS("started", "instance", i.cfg.Instance, "zone", i.cfg.Zone,
		"listen", i.sockets.callers.Addr().String(), "admin", i.sockets.admin.Addr().String())
	go serve("callers", i.callers, i.sockets.callers)
	go serve("admin", i.admin, i.sockets.admin)
	go serve("peers", i.peers, i.sockets.peers)
	i.started = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, system := range []func(context.Context){
		i.gossip.Run, i.follower.Run, i.allowances.Run, i.warm, i.tidy, i.run,
	} {
		i.systems.Go(func() { system(ctx) })
	}
}

func (i *Instance) newCallerServer(h http.Handler) *http.Server {
	e := echo.New()
	e.Any("/*", echo.WrapHandler(h))
	return &http.Server{
		Handler:           e,
		MaxHeaderBytes:    i.cfg.Bounds.MaxHeader,
		ReadHeaderTimeout: i.cfg.Bounds.HeaderTimeout.D(),
		IdleTimeout:       i.cfg.Bounds.IdleTimeout.D(),
	}
}

func (i *Instance) newAdminServer() *http.Server {
	e := echo.New()
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", i.serveReady)
	e.GET(status.Path, i.serveStatus)
	e.GET("/metrics", echo.WrapHandler(i.metrics))
	return &http.Server{Handler: e, ReadHeaderTimeout: i.cfg.Bounds.HeaderTimeout.D()}
}

func (i *Instance) serveReady(c echo.Context) error {
	if !i.ready.Load() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}
