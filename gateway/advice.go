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

// This file takes in what targets say of themselves in the heads of their answers, and what other instances
// were told.

const (
	// leavingValue is what a target that leaves sets its field to.
	leavingValue = "1"
	// departuresInPacket bounds the departures in one heartbeat, about 30 bytes each; which ones changes
	// from one to the next.
	departuresInPacket = 8
)

// heard takes in what the head of an answer says of its target.
func (g *Gateway) heard(t exchange.Target, request string, h exchange.Head) {
	g.heardLeaving(t, request, h)
	g.heardRetryAfter(t, request, h)
}

// heardLeaving takes in whether the target says that it leaves. An answer that does not name the request may
// be another target's.
func (g *Gateway) heardLeaving(t exchange.Target, request string, h exchange.Head) {
	name := g.settings.Headers.Leaving
	fields := h.Header.Values(name)
	switch {
	case len(fields) == 0 || !h.Named:
	case leaves(fields):
		g.depart(registry.Departure{ID: t.ID, Born: t.Born})
	default:
		g.refuseAdvice(t, request, name, fields)
	}
}

// heardRetryAfter takes in for how long a target that turns the request away wants no others.
func (g *Gateway) heardRetryAfter(t exchange.Target, request string, h exchange.Head) {
	if h.Status != http.StatusServiceUnavailable && h.Status != http.StatusTooManyRequests {
		return
	}
	lasts, err := header.ParseRetryAfter(h.Header, time.Now(), longestBackoff)
	if err != nil {
		g.refuseAdvice(t, request, header.RetryAfter, h.Header.Values(header.RetryAfter))
		return
	}
	if lasts > 0 {
		g.backOff(t, lasts)
	}
}

// backOff backs off from a target that turned this instance away, and tells the others of the zone that mostly use
// it: each of them would have to be turned away too to learn it.
func (g *Gateway) backOff(t exchange.Target, lasts time.Duration) {
	targets := g.state.Targets()
	rt := targets.Target(t.ID)
	if rt == nil || at(rt) != t || !g.knowledge.TurnedAway(time.Now(), rt.Service, t.ID, lasts) {
		return
	}
	concerned := func(addr string) bool { return g.knowledge.ConcernedBy(addr, rt, targets.Services[rt.Service]) }
	g.node.SendBackoff(mesh.TargetBackoff{Target: t.ID, RemainingMillis: lasts.Milliseconds()}, concerned)
}

// refuseAdvice notes a field by which a target says something of itself, and that says nothing.
func (g *Gateway) refuseAdvice(t exchange.Target, request, name string, fields []string) {
	g.metrics.CountAdviceRefused(name)
	eventlog.Info(eventlog.AdviceRefused, "request", request, "target", t.ID, "field", name, "values", len(fields))
}

// leaves tells whether the fields by which a target says that it leaves say so.
func leaves(fields []string) bool {
	return !slices.ContainsFunc(fields, func(f string) bool { return f != leavingValue })
}

// depart takes a target out of use that said to this instance that it leaves, before its answer goes on to
// the caller, and tells the others.
func (g *Gateway) depart(d registry.Departure) { g.takeAndTell(d, fromSelf) }

// takeAndTell takes in that a target leaves, or that this was lifted, and tells the others. It tells false if it
// is no news.
func (g *Gateway) takeAndTell(d registry.Departure, from string) bool {
	news := g.state.Depart([]registry.Departure{d}, from)
	if len(news) == 0 {
		return false
	}
	g.node.AnnounceDepartures(news, true)
	return true
}

// takeDepartures takes in what another instance tells of targets that leave. What is news from another zone
// is passed on to the own one.
func (g *Gateway) takeDepartures(p *mesh.Packet) {
	if len(p.Departures) == 0 {
		return
	}
	news := g.state.Depart(p.Departures, p.Addr)
	if len(news) > 0 && p.Zone != g.settings.Zone && !p.Relayed {
		g.node.AnnounceDepartures(news, false)
	}
}

// fillDepartures puts into a packet some of the targets that leave of which others may not know.
func (g *Gateway) fillDepartures(now time.Time, p *mesh.Packet) {
	ds := g.state.DeparturesToTell(now)
	rand.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
	p.Departures = ds[:min(len(ds), departuresInPacket)]
}

// admits tells whether a target may still get a request: it may have left, started again, moved or turned another request away
// since it was chosen.
func (g *Gateway) admits(t exchange.Target) bool {
	rt := g.state.Targets().Target(t.ID)
	return rt != nil && at(rt) == t && !g.knowledge.BacksOff(time.Now(), t.ID)
}
