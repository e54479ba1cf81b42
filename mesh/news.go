package mesh

import (
	"net/netip"
	"time"

	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/suspicion"
)

// Tell sends a packet with the given evidence and load, at once where the link
// allows. Other zones get the evidence only, without successes: those and the load are
// in the digests.
func (n *Node) Tell(p Packet) {
	n.mu.Lock()
	n.versions = p.Versions
	n.outbox.add(time.Now(), &p)
	n.mu.Unlock()
	n.flush()
}

// TellLoad tells the neighbours for which concerns is true what this instance has in flight
// at a target, at once where the link allows. The others learn it by the next heartbeat.
func (n *Node) TellLoad(l Load, concerns func(addr string) bool) {
	now := time.Now()
	n.mu.Lock()
	if n.outbox.wait(now) > 0 {
		n.outbox.add(now, &Packet{Load: []Load{l}})
		n.mu.Unlock()
		n.flush()
		return
	}
	r := *n.routesAt(now)
	n.mu.Unlock()
	p := n.stamped()
	p.Load = []Load{l}
	n.send(News, p, r.concerned(concerns))
}

// TellBackoff tells the neighbours for which concerns is true at once of a target from which this instance backs off. It
// does not wait for the link: what it spares is more than the datagram.
func (n *Node) TellBackoff(t TargetBackoff, concerns func(addr string) bool) {
	n.mu.Lock()
	r := *n.routesAt(time.Now())
	n.mu.Unlock()
	p := n.stamped()
	p.Backoffs = []TargetBackoff{t}
	n.send(News, p, r.concerned(concerns))
}

// TellContents tells the own zone and the bridges of the others at once of contents that the store kept, of which
// some are upheld. It does not wait for the link: it is done once as a process starts.
func (n *Node) TellContents(contents []ContentEvidence, upheld []quarantine.Fingerprint) {
	p := n.stamped()
	p.Contents, p.Upheld = contents, upheld
	n.send(News, p, n.neighbours(true))
}

// flush sends the news that waits, as far as the link allows, and the rest later.
func (n *Node) flush() {
	for n.flushOnce() {
	}
}

// flushOnce sends one datagram's news. It tells false if there is none, or if it must
// wait.
func (n *Node) flushOnce() bool {
	now := time.Now()
	n.mu.Lock()
	if n.outbox.empty() {
		n.mu.Unlock()
		return false
	}
	if left := max(n.outbox.wait(now), n.outbox.gathers(now)); left > 0 {
		n.flushAfter(now, left)
		n.mu.Unlock()
		return false
	}
	news, digest := n.outbox.next(now)
	r := *n.routesAt(now)
	n.mu.Unlock()
	if news != nil {
		n.sendNews(news, r.near, r.far)
	}
	if digest != nil {
		digest.Relayed = true
		n.send(Passed, digest, r.near)
	}
	return true
}

// flushAfter arranges for a later flush; the lock is held.
func (n *Node) flushAfter(now time.Time, d time.Duration) {
	at := now.Add(d)
	if armed := n.outbox.armedFor; armed.After(now) && !at.Before(armed) {
		return
	}
	n.outbox.armedFor = at
	time.AfterFunc(d, n.flush)
}

// sendNews sends own news and that of other zones to the own zone, and own evidence to
// the other zones.
func (n *Node) sendNews(news *Packet, near, far []netip.AddrPort) {
	own := len(news.Evidence)+len(news.Load)+len(news.Contents) > 0
	if !own && len(news.Passed) == 1 {
		alone := news.Passed[0]
		alone.Relayed = true
		n.send(Passed, alone, near)
		return
	}
	q := n.stamped()
	q.Evidence, q.Load, q.Passed, q.Contents = news.Evidence, news.Load, news.Passed, news.Contents
	kind := News
	if !own {
		kind = Passed
	}
	n.send(kind, q, near)
	if urgent := withoutSuccesses(news.Evidence); len(urgent)+len(news.Contents) > 0 {
		across := n.packet()
		across.Evidence, across.Contents = urgent, news.Contents
		n.send(News, across, far)
	}
}

func withoutSuccesses(es []Evidence) []Evidence {
	var out []Evidence
	for _, e := range es {
		if e.What != suspicion.Success {
			out = append(out, e)
		}
	}
	return out
}

// relay passes a packet of another zone on within the own one.
func (n *Node) relay(now time.Time, p *Packet) {
	if p.Zone == n.cfg.Zone || p.Relayed || (len(p.Evidence)+len(p.Contents) == 0 && p.Digest == nil) {
		return
	}
	n.mu.Lock()
	n.outbox.pass(now, p, n.gatherTime(now))
	n.mu.Unlock()
	n.flush()
}

// gatherTime is how long this instance keeps what it passes on; the lock is held.
func (n *Node) gatherTime(now time.Time) time.Duration {
	if n.routesAt(now).place == 0 {
		return gatherFor
	}
	return secondAfter
}
