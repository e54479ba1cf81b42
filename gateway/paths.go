package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/reachability"
)

// pathProbeInterval is the interval at which a connection to a target of a lost service is tried.
const pathProbeInterval = 250 * time.Millisecond

// recordPath updates the estimate of this instance's paths with the result of an attempt.
func (c *call) recordPath(e attemptResult) {
	now, paths := time.Now(), c.h.Paths
	var change *reachability.Change
	switch {
	case e.result.Kind == exchange.Answered, e.result.Kind == exchange.Refused:
		change = paths.RecordContact(now, c.service)
	case failedToConnect(&e.result):
		change = paths.RecordUnreachable(now, c.service, e.placed.ID, len(c.h.State.Targets().Services[c.service]))
	}
	c.h.PathsChanged(change)
}

// failedToConnect reports whether no connection to the target could be opened.
func failedToConnect(r *exchange.Result) bool {
	var op *net.OpError
	return r.Kind == exchange.Unsent && errors.As(r.Err, &op) && op.Op == "dial" && !errors.Is(r.Err, context.Canceled)
}

// announcePaths logs a change of this instance's paths, if there is one, and sends it to the others.
func (g *Gateway) announcePaths(change *reachability.Change) {
	if change == nil {
		return
	}
	eventlog.Info(eventlog.PathsChanged, "service", change.Service, "lost", change.Lost, "unreachable", change.Unreachable, "after_ms", change.After.Milliseconds())
	g.node.AnnouncePaths(g.pathReport())
}

func (g *Gateway) pathReport() *mesh.PathReport { return &mesh.PathReport{Lost: g.paths.Lost()} }

// probePaths tries connections to targets of lost services, which takes no time of requests. A path
// that works again ends the loss.
func (g *Gateway) probePaths(now time.Time) {
	if now.Sub(g.pathsProbedAt) < pathProbeInterval {
		return
	}
	g.pathsProbedAt = now
	for _, name := range g.paths.Lost() {
		go g.probePath(name)
	}
}

func (g *Gateway) probePath(name document.ServiceName) {
	targets := g.state.Targets().Services[name]
	if len(targets) > 0 {
		t := targets[rand.IntN(len(targets))]
		if err := g.client.Cache.Probe(context.Background(), exchangeTarget(t)); err != nil {
			return // the next probe tries another target
		}
	}
	g.announcePaths(g.paths.RecordContact(time.Now(), name))
}
