package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
)

// Phases of a graceful stop, as fractions of the grace period.
const (
	// minListenFraction is how long new connections are accepted at least: the balancer
	// checks readiness once a second and removes an instance after two failures.
	minListenFraction = 0.45
	// refuseFraction is when the instance begins to refuse requests whose deadline is after
	// its end, so that accepted requests can finish in time, but no later than maxRefuseDelay:
	// by then the balancer sends no new connections, and kept-alive connections have had a
	// response that closed them. What is accepted later and hangs would be cut off.
	refuseFraction = 0.6
	maxRefuseDelay = 2900 * time.Millisecond
	// endFraction is when the process ends, even if requests are still running.
	endFraction = 0.96
	// stopPollInterval is the interval at which stop checks for open connections.
	stopPollInterval = 25 * time.Millisecond
)

// refuseDelay returns how long after the begin of a stop requests whose deadline is after the end are refused.
func refuseDelay(grace time.Duration) time.Duration {
	return min(time.Duration(refuseFraction*float64(grace)), maxRefuseDelay)
}

// stop announces that the instance is leaving, waits for running requests and closes the
// server for callers.
func (g *Gateway) stop() {
	start := time.Now()
	at := func(part float64) time.Time { return start.Add(time.Duration(part * float64(g.settings.Grace))) }
	open, busy := g.callerServer.connCounts()
	eventlog.Info(eventlog.Stopping, "grace_ms", g.settings.Grace.Milliseconds(), "connections", open, "busy", busy)
	g.stopping.Store(true)
	g.handler.DisableKeepAlive()
	g.rates.Leave()
	g.quotas.Leave()
	g.node.Leave()
	refused := false
	for time.Now().Before(at(endFraction)) {
		time.Sleep(stopPollInterval)
		if !refused && time.Since(start) > refuseDelay(g.settings.Grace) {
			refused = true
			g.handler.RefuseDeadlinesAfter(at(endFraction))
		}
		if open, _ := g.callerServer.connCounts(); open == 0 && g.handler.relayedBusy.Load() == 0 && time.Now().After(at(minListenFraction)) {
			break
		}
	}
	g.logConnectionUses()
	open, busy = g.callerServer.connCounts()
	_ = g.callerServer.server.Close() // the process ends regardless of an error
	eventlog.Info(eventlog.Stopped, "after_ms", time.Since(start).Milliseconds(), "connections_closed", open, "busy_cut", busy)
}
