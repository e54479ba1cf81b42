package gateway

import (
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/pipeline"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/statesync"
	"github.com/clementinereel/clementinereel/targetrate"
	"github.com/clementinereel/clementinereel/telemetry"
)

// Metrics are the metrics of an instance.
type Metrics struct {
	Registry *telemetry.Registry
	// BudgetRefused counts attempts that the retry budget did not allow.
	BudgetRefused metrics.Counter
	// ContentsRefused counts requests that were refused because they crash their targets.
	ContentsRefused metrics.Counter
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	r := telemetry.NewRegistry()
	return &Metrics{Registry: r, BudgetRefused: r.Counter("gateway.budget.refused"), ContentsRefused: r.Counter("gateway.contents.refused")}
}

// CountRequest records a finished request; status 0 means that the caller disconnected.
func (m *Metrics) CountRequest(c *call, status int, took time.Duration) {
	m.Registry.Request("", c.class(), status, took)
	m.Registry.Counter("gateway.requests", telemetry.Label{Key: "service", Value: string(c.service)},
		telemetry.Label{Key: "class", Value: c.class().String()}, telemetry.Label{Key: "status", Value: strconv.Itoa(status)}).Inc(1)
}

// CountAttempt counts a finished attempt.
func (m *Metrics) CountAttempt(s document.ServiceName, k exchange.Kind) {
	m.Registry.Counter("gateway.attempts", telemetry.Label{Key: "service", Value: string(s)},
		telemetry.Label{Key: "kind", Value: k.String()}).Inc(1)
}

// CountRateRefused counts a rate header field of a target that is not a valid rate.
func (m *Metrics) CountRateRefused(c targetrate.Cause) {
	m.Registry.Counter("gateway.rates.refused", telemetry.Label{Key: "cause", Value: string(c)}).Inc(1)
}

// CountAdviceRefused counts an invalid header field by which a target reports its own state.
func (m *Metrics) CountAdviceRefused(field string) {
	m.Registry.Counter("gateway.advice.refused", telemetry.Label{Key: "field", Value: field}).Inc(1)
}

// CountRelayed counts a request that was sent to another instance, by what became of it there.
func (m *Metrics) CountRelayed(s document.ServiceName, k exchange.Kind) {
	m.Registry.Counter("gateway.relayed", telemetry.Label{Key: "service", Value: string(s)}, telemetry.Label{Key: "kind", Value: k.String()}).Inc(1)
}

// CountToken counts a request for a target with a rate, by whether the rate allowed it.
func (m *Metrics) CountToken(granted bool) {
	m.Registry.Counter("gateway.rates.tokens", telemetry.Label{Key: "granted", Value: strconv.FormatBool(granted)}).Inc(1)
}

// CountQuota counts a decision about a request of a tenant with a quota, by its rank.
func (m *Metrics) CountQuota(d quota.Decision, rank quota.Rank) {
	m.Registry.Counter("gateway.quotas",
		telemetry.Label{Key: "granted", Value: strconv.FormatBool(d.Granted)},
		telemetry.Label{Key: "source", Value: string(d.Source)},
		telemetry.Label{Key: "rank", Value: rank.String()},
	).Inc(1)
}

// CountWaited counts a request that waited for a later attempt, by what became of it.
func (m *Metrics) CountWaited(s document.ServiceName, outcome string) {
	m.Registry.Counter("gateway.waited", telemetry.Label{Key: "service", Value: string(s)}, telemetry.Label{Key: "outcome", Value: outcome}).Inc(1)
}

// CountStartedEarly counts a request that was started before its turn on its connection.
func (m *Metrics) CountStartedEarly(o pipeline.Outcome) {
	m.Registry.Counter("gateway.pipeline", telemetry.Label{Key: "outcome", Value: string(o)}).Inc(1)
}

// updateGauges updates all gauges.
func (m *Metrics) updateGauges(g *Gateway) {
	version, position := g.state.Versions()
	gauge := func(name string, v int64) { m.Registry.Gauge(name).Update(v) }
	gauge("gateway.document.version", int64(version))
	gauge("gateway.registry.offset", int64(position.Offset))
	gauge("gateway.registry.epoch", int64(position.Epoch))
	restores, kept := g.state.Restores()
	gauge("gateway.store.restores", restores)
	gauge("gateway.store.kept-on-trust", kept)
	gauge("gateway.targets", int64(g.state.Targets().Len()))
	gauge("gateway.peers", int64(len(g.node.View().Members)))
	gauge("gateway.store.calls", g.follower.Calls())
	gauge("gateway.store.state", int64(g.follower.LogState()))
	for _, s := range statesync.Streams() {
		stream := telemetry.Label{Key: "stream", Value: s.String()}
		m.Registry.Gauge("gateway.store.unanswered-ms", stream).Update(g.follower.Unanswered(s).Milliseconds())
		if at := g.state.CompleteAt(s); !at.IsZero() {
			m.Registry.Gauge("gateway.state.age-ms", stream).Update(time.Since(at).Milliseconds())
		}
	}
	gauge("gateway.connections.opened", g.client.Cache.Opened())
	gauge("gateway.responses.held-bytes", g.handler.Responses.memory.heldBytes.Load())
	gauge("gateway.callers.held-bytes", g.handler.Callers.Held())
	gauge("gateway.callers.connections", int64(g.handler.Descriptors.front.Len()))
	gauge("gateway.connections.active", int64(g.client.Cache.Active()))
	for reason, n := range g.handler.Callers.Evicted() {
		m.Registry.Gauge("gateway.callers.evicted", telemetry.Label{Key: "why", Value: string(reason)}).Update(n)
	}
	gauge("gateway.log.dropped", eventlog.Dropped())
	transfers := g.state.Transfers()
	gauge("gateway.transfers.active", int64(transfers.Active))
	gauge("gateway.transfers.started", transfers.Started)
	gauge("gateway.transfers.declined", transfers.Declined)
	stats := g.node.Stats()
	gauge("gateway.mesh.sent", stats.Sent)
	gauge("gateway.mesh.received", stats.Received)
	gauge("gateway.mesh.bytes", stats.Bytes)
	gauge("gateway.mesh.bytes.most", stats.MaxBytesPerSecond)
	gauge("gateway.mesh.dropped", stats.Dropped)
	for _, k := range mesh.Kinds() {
		m.Registry.Gauge("gateway.mesh.bytes.sent", telemetry.Label{Key: "kind", Value: k.String()}).Update(stats.SentBytes[k])
	}
	for cause, n := range g.state.RefusedRecords() {
		m.Registry.Gauge("gateway.records.refused", telemetry.Label{Key: "cause", Value: string(cause)}).Update(n)
	}
	gauge("gateway.paths.lost", int64(len(g.paths.Lost())))
	gauge("gateway.relayed.serving", g.handler.relayedBusy.Load())
	gauge("gateway.targets.departed", int64(len(g.state.Departures())))
	gauge("gateway.targets.backoff", int64(len(g.knowledge.activeBackoffs(time.Now()))))
	gauge("gateway.targets.rated", int64(g.rates.table.Len()))
	for _, c := range g.waiting.counts() {
		m.Registry.Gauge("gateway.waiting", telemetry.Label{Key: "service", Value: string(c.service)}, telemetry.Label{Key: "rank", Value: strconv.Itoa(c.rank)}).Update(int64(c.waiting))
	}
	for s, n := range g.contents.Counts() {
		m.Registry.Gauge("gateway.contents", telemetry.Label{Key: "standing", Value: s.String()}).Update(int64(n))
	}
	for name, n := range g.knowledge.SuspectCounts() {
		m.Registry.Gauge("gateway.targets.suspected", telemetry.Label{Key: "service", Value: string(name)}).Update(int64(n))
	}
}
