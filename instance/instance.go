package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/platform"
	"github.com/clementinereel/clementinereel/proxy"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/route"
	"github.com/clementinereel/clementinereel/settings"
	"github.com/clementinereel/clementinereel/telemetry"
	"github.com/clementinereel/clementinereel/upstream"
)

// Instance is one running instance.
type Instance struct {
	cfg       *settings.Settings
	self      fleet.Holder
	platform  *platform.Client
	metrics   *telemetry.Registry
	services  *upstream.Set
	transport *peer.Transport
	gossip    *peer.Gossip
	routes    atomic.Pointer[route.Table]
	view      atomic.Pointer[publication.View]
	ready     atomic.Bool
	sockets   *listeners
	callers   *http.Server
	peers     *peer.Server
	admin     *http.Server
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
		platform: platform.NewClient(cfg.Platform.URL, cfg.Platform.Timeout.D()),
		metrics:  telemetry.NewRegistry(),
		services: upstream.NewSet(via, &http.Transport{MaxIdleConnsPerHost: 8}),
		sockets:  sockets,
	}
	i.routes.Store(route.Empty)
	if err := i.joinPeers(); err != nil {
		sockets.close()
		return nil, err
	}
	handler := proxy.New(proxy.Config{
		Routes: i.routes.Load, Services: i.services, Metrics: i.metrics, Via: via,
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
	i.Start(ctx)
	<-ctx.Done()
	i.stop()
	return nil
}

// Start makes the instance serve; it returns at once.
func (i *Instance) Start(ctx context.Context) {
	klog.InfoS("started", "instance", i.cfg.Instance, "zone", i.cfg.Zone,
		"listen", i.sockets.callers.Addr().String(), "admin", i.sockets.admin.Addr().String())
	go serve("callers", i.callers, i.sockets.callers)
	go serve("admin", i.admin, i.sockets.admin)
	go serve("peers", i.peers, i.sockets.peers)
	go i.gossip.Run(ctx)
	go i.tail(ctx)
}

// apply takes a new view into force.
func (i *Instance) apply(v *publication.View) {
	i.view.Store(v)
	i.services.Update(v)
	i.routes.Store(i.routes.Load().Update(v))
	i.ready.Store(true)
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
	e.GET("/metrics", echo.WrapHandler(i.metrics))
	return &http.Server{Handler: e, ReadHeaderTimeout: i.cfg.Bounds.HeaderTimeout.D()}
}

func (i *Instance) serveReady(c echo.Context) error {
	if !i.ready.Load() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

const (
	tailWait  = 10 * time.Second
	tailLimit = 500
	tailRetry = 200 * time.Millisecond
)

// tail follows the configuration stream.
func (i *Instance) tail(ctx context.Context) {
	state := publication.NewState()
	for ctx.Err() == nil {
		b, err := i.platform.Read(ctx, publication.Stream, state.Next(), tailLimit, tailWait)
		if err != nil {
			time.Sleep(tailRetry)
			continue
		}
		for _, r := range b.Records {
			state.Apply(r)
		}
		i.apply(state.View())
	}
}
