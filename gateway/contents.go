package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/suspicion"
)

// This file connects the request path and the mesh to the table of contents that may crash their
// targets. A content is what two identical requests have in common (method, host, URI and body).

// standing returns the restriction that applies to the request's content.
func (c *call) standing() quarantine.Standing {
	return c.h.Contents.Standing(time.Now(), &c.content)
}

// startTrial reports whether the request, whose content is in quarantine, is sent as a trial: it
// shows whether the content still crashes a target.
func (c *call) startTrial() bool {
	f := c.content.Fingerprint()
	if !c.h.RunsTrial(f) || !c.h.Contents.AllowTrial(time.Now(), &c.content) {
		return false
	}
	eventlog.Info(eventlog.ContentTried, "request", c.id, "content", f, "route", c.route.Name)
	return true
}

// runsTrials reports whether this instance is the one of the fleet that runs the trials of a content:
// the first of the first zone in an order derived from the fingerprint. While the views of instances
// differ there may be two.
func (g *Gateway) runsTrials(f quarantine.Fingerprint) bool {
	now, v := time.Now(), g.node.View()
	zone, self := trialRank(f, string(v.Zone)), trialRank(f, g.node.Addr())
	for i := range v.Zones {
		if v.Zones[i].Fresh(now) && trialRank(f, string(v.Zones[i].Name)) > zone {
			return false
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone == v.Zone && m.Fresh(now) && !m.Leaving && trialRank(f, m.Addr) > self {
			return false
		}
	}
	return true
}

// trialRank returns the rank of a zone or instance in a content's order; the highest comes first.
func trialRank(f quarantine.Fingerprint, name string) uint64 {
	return xxhash.Sum64(append(f[:], name...))
}

// recordContent records what an attempt's result shows about the request's content and announces new
// evidence.
func (c *call) recordContent(e attemptResult, began time.Time) {
	now := time.Now()
	process := quarantine.Process{Target: e.placed.ID, Born: e.placed.Born}
	switch {
	case e.result.Response != nil:
		c.h.Contents.RecordAnswer(now, process, began)
		if served(&e.result) {
			if evidence, changed := c.h.Contents.RecordServed(now, &c.content); changed {
				c.h.SendContent(now, evidence)
			}
		}
	case connectionLost(&e.result):
		if evidence, changed := c.h.Contents.RecordLoss(now, &c.content, quarantine.Loss{Process: process, Began: began, Ended: now}); changed {
			c.h.SendContent(now, evidence)
		}
	}
}

// served reports whether the target processed the request. A 5xx response does not count: an
// unhealthy target also fails requests that it has not begun.
func served(r *exchange.Result) bool {
	return r.Kind == exchange.Answered && r.Response.Sealed && r.Response.Status < http.StatusInternalServerError
}

// connectionLost reports whether the connection ended during an exchange, as happens when the process
// of a target crashes.
func connectionLost(r *exchange.Result) bool {
	if r.Kind != exchange.Broken {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(r.Err, cause) {
			return true
		}
	}
	return false
}

// refuseContent refuses a request that crashes its targets; it was not run. Retry-After is the time
// until the next trial or the end of the quarantine: a retry before that would be refused as well.
func (c *call) refuseContent() int {
	now := time.Now()
	proof, until, _ := c.h.Contents.Proof(&c.content)
	c.h.Metrics.ContentsRefused.Inc(1)
	wait := max(until.Sub(now), minRetryAfter).Round(time.Second)
	return c.refuseFor(problem.Quarantined, "requests like this one crash the targets that run them", wait,
		"content", c.content.Fingerprint(), "caller", c.caller(), "targets", lossTargets(proof), "proven_ms", proofAge(now, proof).Milliseconds())
}

// proofAge returns the time since the last loss of the proof.
func proofAge(now time.Time, e quarantine.Evidence) time.Duration {
	if len(e.Losses) == 0 {
		return 0
	}
	return now.Sub(e.Losses[len(e.Losses)-1].Ended)
}

// lossTargets returns the targets of the losses, separated by commas for logs.
func lossTargets(e quarantine.Evidence) string {
	names := make([]string, 0, len(e.Losses))
	for _, l := range e.Losses {
		names = append(names, string(l.Process.Target))
	}
	return strings.Join(names, ",")
}

// logStandingChange logs that a content came under restriction or left it. A single lost response is
// logged with its attempt.
func logStandingChange(c quarantine.Change) {
	if c.Before < quarantine.Restricted && c.Now < quarantine.Restricted {
		return
	}
	eventlog.Info(eventlog.ContentJudged, "content", c.Content, "before", c.Before, "now", c.Now, "by", c.From, "targets", lossTargets(c.Evidence),
		"age_ms", proofAge(time.Now(), c.Evidence).Milliseconds())
}

// evidenceQueue holds evidence that is sent with the next update.
type evidenceQueue struct {
	mu       sync.Mutex
	evidence []quarantine.Evidence
}

func (q *evidenceQueue) add(e quarantine.Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence = append(q.evidence, e)
}

func (q *evidenceQueue) drain() []quarantine.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	es := q.evidence
	q.evidence = nil
	return es
}

// announceContent sends the evidence on a content to the other instances, and repeats evidence that
// must not be lost. A single loss is queued for the update on its target that follows: this halves
// the datagrams when many connections break at once.
func (g *Gateway) announceContent(now time.Time, e quarantine.Evidence) {
	if len(e.Losses) == 1 {
		g.pendingEvidence.add(e)
		return
	}
	g.sendContent(now, e)
	for _, after := range e.ResendDelays() {
		time.AfterFunc(after, func() { g.sendContent(time.Now(), e) })
	}
}

func (g *Gateway) sendContent(now time.Time, e quarantine.Evidence) {
	g.sendUpdate(mesh.Packet{Contents: []mesh.ContentEvidence{encodeContent(now, &e)}})
}

// announceStoredContent sends a content that the store kept to the other instances, and repeats it.
func (g *Gateway) announceStoredContent(now time.Time, e quarantine.Evidence) {
	g.sendStoredContent(now, e)
	for _, after := range e.ResendDelays() {
		time.AfterFunc(after, func() { g.sendStoredContent(time.Now(), e) })
	}
}

func (g *Gateway) sendStoredContent(now time.Time, e quarantine.Evidence) {
	var p mesh.Packet
	appendContent(now, &p, &e)
	g.node.AnnounceContents(p.Contents, p.Upheld)
}

// appendContent adds the evidence on a content to a packet.
func appendContent(now time.Time, p *mesh.Packet, e *quarantine.Evidence) {
	p.Contents = append(p.Contents, encodeContent(now, e))
	if e.Upheld {
		p.Upheld = append(p.Upheld, e.Content)
	}
}

// fillQueuedEvidence adds the queued evidence to a packet.
func (g *Gateway) fillQueuedEvidence(now time.Time, p *mesh.Packet) {
	for _, e := range g.pendingEvidence.drain() {
		p.Contents = append(p.Contents, encodeContent(now, &e))
	}
}

// fillContents adds contents under restriction, and recently cleared ones, to a packet.
func (g *Gateway) fillContents(now time.Time, p *mesh.Packet) {
	for _, e := range g.contents.HeartbeatEvidence() {
		appendContent(now, p, &e)
	}
}

// handleContents applies the evidence on contents in a packet, and its reports of targets that
// responded.
func (g *Gateway) handleContents(now time.Time, p *mesh.Packet) {
	for i := range p.Contents {
		e := decodeContent(now, &p.Contents[i])
		e.Upheld = slices.Contains(p.Upheld, e.Content)
		g.contents.Merge(now, e, p.Addr)
	}
	for _, e := range p.Evidence {
		if e.Observation == suspicion.Success {
			g.recordTargetResponse(now, e.Target, e.AgeMillis)
		}
	}
	if p.Digest == nil {
		return
	}
	for _, s := range p.Digest.Successes {
		g.recordTargetResponse(now, s.Target, s.AgeMillis)
	}
}

// recordTargetResponse records that a target responded to an attempt that began ageMillis ago: its
// current process is alive.
func (g *Gateway) recordTargetResponse(now time.Time, id fleet.TargetID, ageMillis int64) {
	g.poison.RecordTargetSuccess(now, id)
	if t := g.state.Targets().Target(id); t != nil {
		g.contents.RecordAnswer(now, quarantine.Process{Target: id, Born: t.Born}, now.Add(-millis(ageMillis)))
	}
}

func encodeContent(now time.Time, e *quarantine.Evidence) mesh.ContentEvidence {
	out := mesh.ContentEvidence{Content: e.Content}
	if !e.Served.IsZero() {
		out.Served, out.ServedAgeMillis = true, now.Sub(e.Served).Milliseconds()
	}
	for _, l := range e.Losses {
		out.Losses = append(out.Losses, mesh.ContentLoss{
			Target: l.Process.Target, ProcessStartMillis: l.Process.Born,
			EndAgeMillis: now.Sub(l.Ended).Milliseconds(), DurationMillis: l.Ended.Sub(l.Began).Milliseconds(),
		})
	}
	return out
}

func decodeContent(now time.Time, c *mesh.ContentEvidence) quarantine.Evidence {
	out := quarantine.Evidence{Content: c.Content}
	if c.Served {
		out.Served = now.Add(-millis(c.ServedAgeMillis))
	}
	for _, l := range c.Losses {
		at := now.Add(-millis(l.EndAgeMillis))
		out.Losses = append(out.Losses, quarantine.Loss{
			Process: quarantine.Process{Target: l.Target, Born: l.ProcessStartMillis}, Began: at.Add(-millis(l.DurationMillis)), Ended: at,
		})
	}
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
