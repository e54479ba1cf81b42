package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// This file handles advice: what targets announce about themselves in response headers, and what
// other instances report of it.

const (
	// leavingValue is the value of the header by which a target announces that it leaves.
	leavingValue = "1"
	// maxDeparturesPerPacket bounds the departures in one heartbeat, about 30 bytes each. Each
	// heartbeat has a random selection.
	maxDeparturesPerPacket = 8
)

// handleResponseHeader handles the advice in a response header.
func (g *Gateway) handleResponseHeader(t exchange.Target, request string, h exchange.ResponseHeader) {
	g.handleLeaving(t, request, h)
	g.handleRetryAfter(t, request, h)
}

// handleLeaving handles the header by which a target announces that it leaves. A response that does
// not name the request is ignored, since it may come from another target.
func (g *Gateway) handleLeaving(t exchange.Target, request string, h exchange.ResponseHeader) {
	name := g.settings.Headers.Leaving
	fields := h.Header.Values(name)
	switch {
	case len(fields) == 0 || !h.HasRequestID:
	case isLeaving(fields):
		g.markLeaving(registry.Departure{ID: t.ID, Born: t.Born})
	default:
		g.rejectAdvice(t, request, name, fields)
	}
}

// handleRetryAfter starts a backoff if a target rejected the request with a Retry-After.
func (g *Gateway) handleRetryAfter(t exchange.Target, request string, h exchange.ResponseHeader) {
	if h.Status != http.StatusServiceUnavailable && h.Status != http.StatusTooManyRequests {
		return
	}
	duration, err := header.ParseRetryAfter(h.Header, time.Now(), maxBackoff)
	if err != nil {
		g.rejectAdvice(t, request, header.RetryAfter, h.Header.Values(header.RetryAfter))
		return
	}
	if duration > 0 {
		g.backOff(t, duration)
	}
}

// backOff starts a backoff from a target that rejected a request of this instance, and reports it to
// the instances of the zone that mostly use the target: each of them would otherwise have to be
// rejected first.
func (g *Gateway) backOff(t exchange.Target, duration time.Duration) {
	targets := g.state.Targets()
	rt := targets.Target(t.ID)
	if rt == nil || exchangeTarget(rt) != t || !g.knowledge.RecordBackoff(time.Now(), rt.Service, t.ID, duration) {
		return
	}
	uses := func(addr string) bool { return g.knowledge.PrefersTarget(addr, rt, targets.Services[rt.Service]) }
	g.node.SendBackoff(mesh.TargetBackoff{Target: t.ID, RemainingMillis: duration.Milliseconds()}, uses)
}

// rejectAdvice counts and logs an invalid advice header.
func (g *Gateway) rejectAdvice(t exchange.Target, request, name string, fields []string) {
	g.metrics.CountAdviceRefused(name)
	eventlog.Info(eventlog.AdviceRefused, "request", request, "target", t.ID, "field", name, "values", len(fields))
}

// isLeaving reports whether all values of the header announce that the target leaves.
func isLeaving(fields []string) bool {
	return !slices.ContainsFunc(fields, func(f string) bool { return f != leavingValue })
}

// markLeaving takes a target out of use that announced to this instance that it leaves, before its
// response is passed to the caller, and announces the departure.
func (g *Gateway) markLeaving(d registry.Departure) { g.applyDeparture(d, sourceSelf) }

// applyDeparture applies and announces that a target leaves, or that its departure was lifted. It
// returns false if nothing changed.
func (g *Gateway) applyDeparture(d registry.Departure, from string) bool {
	changes := g.state.RecordDepartures([]registry.Departure{d}, from)
	if len(changes) == 0 {
		return false
	}
	g.node.AnnounceDepartures(changes, true)
	return true
}

// handleDepartures applies the departures that another instance reported. Changes from another zone
// are forwarded within this one.
func (g *Gateway) handleDepartures(p *mesh.Packet) {
	if len(p.Departures) == 0 {
		return
	}
	changes := g.state.RecordDepartures(p.Departures, p.Addr)
	if len(changes) > 0 && p.Zone != g.settings.Zone && !p.Relayed {
		g.node.AnnounceDepartures(changes, false)
	}
}

// fillDepartures adds some of the departures that other instances may not have received to a packet.
func (g *Gateway) fillDepartures(now time.Time, p *mesh.Packet) {
	ds := g.state.DeparturesToAnnounce(now)
	rand.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
	p.Departures = ds[:min(len(ds), maxDeparturesPerPacket)]
}

// admits reports whether a target may still get a request: since it was chosen it may have left,
// restarted, moved or rejected another request.
func (g *Gateway) admits(t exchange.Target) bool {
	rt := g.state.Targets().Target(t.ID)
	return rt != nil && exchangeTarget(rt) == t && !g.knowledge.InBackoff(time.Now(), t.ID)
}
