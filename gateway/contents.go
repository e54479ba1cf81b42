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
// targets.

// standing is what may be done with the request now.
func (c *call) standing() quarantine.Standing {
	return c.h.Contents.Standing(time.Now(), &c.content)
}

// onTrial tells whether the request, whose content is in quarantine, is to show whether it still
// crashes a target.
func (c *call) onTrial() bool {
	f := c.content.Fingerprint()
	if !c.h.RunsTrial(f) || !c.h.Contents.Trial(time.Now(), &c.content) {
		return false
	}
	eventlog.Info(eventlog.ContentTried, "request", c.id, "content", f, "route", c.route.Name)
	return true
}

// triesHere tells whether this instance is the one of the fleet that tries a content in quarantine
// again: the first of the first zone, in an order of the content's own. Where views differ for a moment two may be.
func (g *Gateway) triesHere(f quarantine.Fingerprint) bool {
	now, v := time.Now(), g.node.View()
	zone, self := rankOf(f, string(v.Zone)), rankOf(f, g.node.Addr())
	for i := range v.Zones {
		if v.Zones[i].Fresh(now) && rankOf(f, string(v.Zones[i].Name)) > zone {
			return false
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone == v.Zone && m.Fresh(now) && !m.Leaving && rankOf(f, m.Addr) > self {
			return false
		}
	}
	return true
}

// rankOf is the place of a name in a content's order.
func rankOf(f quarantine.Fingerprint, name string) uint64 {
	return xxhash.Sum64(append(f[:], name...))
}

// learnContent takes in what an attempt's end says of the request's content and tells the others.
func (c *call) learnContent(e attemptResult, began time.Time) {
	now := time.Now()
	process := quarantine.Process{Target: e.placed.ID, Born: e.placed.Born}
	switch {
	case e.result.Answer != nil:
		c.h.Contents.Answered(now, process, began)
		if served(&e.result) {
			if told, news := c.h.Contents.Served(now, &c.content); news {
				c.h.SendContent(now, told)
			}
		}
	case connectionLost(&e.result):
		if told, news := c.h.Contents.Lost(now, &c.content, quarantine.Loss{Process: process, Began: began, Ended: now}); news {
			c.h.SendContent(now, told)
		}
	}
}

// served tells whether the target dealt with the request. One that is sick fails requests that it has not
// begun.
func served(r *exchange.Result) bool {
	return r.Kind == exchange.Answered && r.Answer.Sealed && r.Answer.Status < http.StatusInternalServerError
}

// connectionLost tells whether the connection ended in the midst of an exchange, as those of
// a process that crashes do.
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

// refuseContent answers a request that crashes its targets. It was not run, and is not until it is
// tried again or the quarantine ends: to come back sooner is of no use.
func (c *call) refuseContent() int {
	now := time.Now()
	proof, until, _ := c.h.Contents.Proof(&c.content)
	c.h.Metrics.ContentsRefused.Inc(1)
	comeBackIn := max(until.Sub(now), minRetryAfter).Round(time.Second)
	return c.refuseFor(problem.Quarantined, "requests like this one crash the targets that run them", comeBackIn,
		"content", c.content.Fingerprint(), "caller", c.caller(), "targets", targetsOf(proof), "proven_ms", provenFor(now, proof).Milliseconds())
}

// provenFor is how long ago the last loss of the proof was.
func provenFor(now time.Time, e quarantine.Evidence) time.Duration {
	if len(e.Losses) == 0 {
		return 0
	}
	return now.Sub(e.Losses[len(e.Losses)-1].Ended)
}

// targetsOf names the targets of the evidence, as logs write them.
func targetsOf(e quarantine.Evidence) string {
	names := make([]string, 0, len(e.Losses))
	for _, l := range e.Losses {
		names = append(names, string(l.Process.Target))
	}
	return strings.Join(names, ",")
}

// logContent writes a line where a content comes under restriction or leaves it. What a
// single lost answer says stands in the line of its attempt.
func logContent(c quarantine.Change) {
	if c.Before < quarantine.Restricted && c.Now < quarantine.Restricted {
		return
	}
	eventlog.Info(eventlog.ContentJudged, "content", c.Content, "before", c.Before, "now", c.Now, "by", c.From, "targets", targetsOf(c.Evidence),
		"age_ms", provenFor(time.Now(), c.Evidence).Milliseconds())
}

// untold is evidence that waits for the next news.
type untold struct {
	mu       sync.Mutex
	evidence []quarantine.Evidence
}

func (u *untold) add(e quarantine.Evidence) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.evidence = append(u.evidence, e)
}

func (u *untold) take() []quarantine.Evidence {
	u.mu.Lock()
	defer u.mu.Unlock()
	es := u.evidence
	u.evidence = nil
	return es
}

// tellContent tells the others what is known of a content, and again soon where much depends on it. A
// single loss goes with what the attempt says of its target, which is told next: where many connections break at
// once that halves the datagrams.
func (g *Gateway) tellContent(now time.Time, e quarantine.Evidence) {
	if len(e.Losses) == 1 {
		g.pendingEvidence.add(e)
		return
	}
	g.tellContentNow(now, e)
	for _, after := range e.RepeatAfter() {
		time.AfterFunc(after, func() { g.tellContentNow(time.Now(), e) })
	}
}

func (g *Gateway) tellContentNow(now time.Time, e quarantine.Evidence) {
	g.sendUpdate(mesh.Packet{Contents: []mesh.ContentEvidence{encodeContent(now, &e)}})
}

// tellKept tells the others at once of a content that the store kept, and again soon.
func (g *Gateway) tellKept(now time.Time, e quarantine.Evidence) {
	g.tellKeptNow(now, e)
	for _, after := range e.RepeatAfter() {
		time.AfterFunc(after, func() { g.tellKeptNow(time.Now(), e) })
	}
}

func (g *Gateway) tellKeptNow(now time.Time, e quarantine.Evidence) {
	var p mesh.Packet
	addContent(now, &p, &e)
	g.node.AnnounceContents(p.Contents, p.Upheld)
}

// addContent adds what is known of a content to a packet.
func addContent(now time.Time, p *mesh.Packet, e *quarantine.Evidence) {
	p.Contents = append(p.Contents, encodeContent(now, e))
	if e.Upheld {
		p.Upheld = append(p.Upheld, e.Content)
	}
}

// fillUntold adds evidence that waits to news.
func (g *Gateway) fillUntold(now time.Time, p *mesh.Packet) {
	for _, e := range g.pendingEvidence.take() {
		p.Contents = append(p.Contents, encodeContent(now, &e))
	}
}

// fillContents adds contents under restriction to a packet.
func (g *Gateway) fillContents(now time.Time, p *mesh.Packet) {
	for _, e := range g.contents.Repeat() {
		addContent(now, p, &e)
	}
}

// takeContents takes in what a packet says of contents, and of targets that go on answering.
func (g *Gateway) takeContents(now time.Time, p *mesh.Packet) {
	for i := range p.Contents {
		e := decodeContent(now, &p.Contents[i])
		e.Upheld = slices.Contains(p.Upheld, e.Content)
		g.contents.Take(now, e, p.Addr)
	}
	for _, e := range p.Evidence {
		if e.Observation == suspicion.Success {
			g.targetAnswered(now, e.Target, e.AgeMillis)
		}
	}
	if p.Digest == nil {
		return
	}
	for _, s := range p.Digest.Successes {
		g.targetAnswered(now, s.Target, s.AgeMillis)
	}
}

// targetAnswered takes in that a target answered an attempt that began so long ago: its process
// in use is alive.
func (g *Gateway) targetAnswered(now time.Time, id fleet.TargetID, agedMillis int64) {
	g.poison.RecordTargetSuccess(now, id)
	if t := g.state.Targets().Target(id); t != nil {
		g.contents.Answered(now, quarantine.Process{Target: id, Born: t.Born}, now.Add(-millis(agedMillis)))
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
