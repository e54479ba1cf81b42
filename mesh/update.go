package mesh

import (
	"net/netip"
	"time"

	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/suspicion"
)

// SendUpdate queues the evidence, load and contents of p and sends them at once if the link's share
// allows. Other zones get only contents and evidence other than successes; successes and load are
// in the digests.
func (n *Node) SendUpdate(p Packet) {
	n.mu.Lock()
	n.versions = p.Versions
	n.outbox.addOwn(time.Now(), &p)
	n.mu.Unlock()
	n.flush()
}

// SendLoad sends the number of requests that this instance has in flight at a target to the
// neighbours whose address satisfies match, at once if the link's share allows. The others get it
// in the next heartbeat.
func (n *Node) SendLoad(l Load, match func(addr string) bool) {
	now := time.Now()
	n.mu.Lock()
	if n.outbox.linkDelay(now) > 0 {
		n.outbox.addOwn(now, &Packet{Load: []Load{l}})
		n.mu.Unlock()
		n.flush()
		return
	}
	r := *n.currentRoutes(now)
	n.mu.Unlock()
	p := n.newVersionedPacket()
	p.Load = []Load{l}
	n.send(Updates, p, r.matching(match))
}

// SendBackoff sends a target from which this instance backs off to the neighbours whose address
// satisfies match. It bypasses the outbox, since it saves more traffic than it causes.
func (n *Node) SendBackoff(t TargetBackoff, match func(addr string) bool) {
	n.mu.Lock()
	r := *n.currentRoutes(time.Now())
	n.mu.Unlock()
	p := n.newVersionedPacket()
	p.Backoffs = []TargetBackoff{t}
	n.send(Updates, p, r.matching(match))
}

// AnnounceContents sends contents that the store kept, some of them upheld, to the own zone and the
// bridges of the others at once. It bypasses the outbox, since it is called once, as a process
// starts.
func (n *Node) AnnounceContents(contents []ContentEvidence, upheld []quarantine.Fingerprint) {
	p := n.newVersionedPacket()
	p.Contents, p.Upheld = contents, upheld
	n.send(Updates, p, n.recipients(true))
}

// flush sends the queued updates as far as the link's share allows, and schedules the rest.
func (n *Node) flush() {
	for n.flushOnce() {
	}
}

// flushOnce sends one datagram of updates. It returns false if none are queued or if they have to
// wait.
func (n *Node) flushOnce() bool {
	now := time.Now()
	n.mu.Lock()
	if n.outbox.empty() {
		n.mu.Unlock()
		return false
	}
	if delay := max(n.outbox.linkDelay(now), n.outbox.batchWait(now)); delay > 0 {
		n.scheduleFlush(now, delay)
		n.mu.Unlock()
		return false
	}
	update, digest := n.outbox.next(now)
	r := *n.currentRoutes(now)
	n.mu.Unlock()
	if update != nil {
		n.sendBatch(update, r.neighbours, r.bridges)
	}
	if digest != nil {
		digest.Relayed = true
		n.send(Relayed, digest, r.neighbours)
	}
	return true
}

// scheduleFlush schedules a later flush. n.mu must be held.
func (n *Node) scheduleFlush(now time.Time, d time.Duration) {
	at := now.Add(d)
	if scheduled := n.outbox.flushAt; scheduled.After(now) && !at.Before(scheduled) {
		return
	}
	n.outbox.flushAt = at
	time.AfterFunc(d, n.flush)
}

// sendBatch sends own updates and those of other zones to the own zone, and own contents and
// evidence other than successes to the other zones.
func (n *Node) sendBatch(update *Packet, neighbours, bridges []netip.AddrPort) {
	own := len(update.Evidence)+len(update.Load)+len(update.Contents) > 0
	if !own && len(update.RelayedPackets) == 1 {
		single := update.RelayedPackets[0]
		single.Relayed = true
		n.send(Relayed, single, neighbours)
		return
	}
	q := n.newVersionedPacket()
	q.Evidence, q.Load, q.RelayedPackets, q.Contents = update.Evidence, update.Load, update.RelayedPackets, update.Contents
	kind := Updates
	if !own {
		kind = Relayed
	}
	n.send(kind, q, neighbours)
	if evidence := withoutSuccesses(update.Evidence); len(evidence)+len(update.Contents) > 0 {
		remote := n.newPacket()
		remote.Evidence, remote.Contents = evidence, update.Contents
		n.send(Updates, remote, bridges)
	}
}

func withoutSuccesses(es []Evidence) []Evidence {
	var out []Evidence
	for _, e := range es {
		if e.Observation != suspicion.Success {
			out = append(out, e)
		}
	}
	return out
}

// relay queues a packet of another zone to be relayed within the own zone.
func (n *Node) relay(now time.Time, p *Packet) {
	if p.Zone == n.cfg.Zone || p.Relayed || (len(p.Evidence)+len(p.Contents) == 0 && p.Digest == nil) {
		return
	}
	n.mu.Lock()
	n.outbox.addRelay(now, p, n.relayDelay(now))
	n.mu.Unlock()
	n.flush()
}

// relayDelay returns the time for which this instance holds packets before it relays them. n.mu
// must be held.
func (n *Node) relayDelay(now time.Time) time.Duration {
	if n.currentRoutes(now).position == 0 {
		return batchDelay
	}
	return standbyRelayDelay
}
