package membership

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// maxHealth is the upper limit of Node.health. At this value an instance considers
// itself unhealthy and suspects nobody, unless it has had no answer for
// isolationFactor suspicion times.
const maxHealth = 8

// maxSuspectPings limits the number of suspects that are pinged again per interval.
const maxSuspectPings = 3

// probe is a ping from this instance that awaits its ack.
type probe struct {
	target fleet.Holder
	// indirectAt is when relays are asked; zero once that is done.
	indirectAt time.Time
	// endAt is when the probe times out.
	endAt time.Time
}

// relayedPing is a ping sent on behalf of another instance.
type relayedPing struct {
	target fleet.InstanceID
	origin Member
	seq    uint64
	endAt  time.Time
}

func (n *Node) nextSeq() uint64 {
	n.lastSeq++
	return n.lastSeq
}

// startProbes pings the next member of the round. It also pings the suspects that
// whose suspicion this instance raised, so that they can refute it in time.
func (n *Node) startProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, e := range n.ownSuspects() {
		out = append(out, n.startProbe(now, e))
	}
	if e := n.nextTarget(); e != nil {
		out = append(out, n.startProbe(now, e))
	}
	return out
}

// ownSuspects returns up to maxSuspectPings suspects whose suspicion this instance
// raised.
func (n *Node) ownSuspects() []*entry {
	var suspects []*entry
	for _, id := range n.expiringMembers() {
		e := n.table[id]
		if e.State == Suspect && e.ownSuspicion && len(suspects) < maxSuspectPings {
			suspects = append(suspects, e)
		}
	}
	return suspects
}

func (n *Node) startProbe(now time.Time, e *entry) Envelope {
	seq := n.nextSeq()
	scale := time.Duration(1 + n.health)
	indirectAt := now.Add(scale * n.settings.AckTimeout)
	n.probes[seq] = &probe{
		target:     e.Holder(),
		indirectAt: indirectAt,
		endAt:      indirectAt.Add(scale * n.settings.IndirectTimeout),
	}
	return n.ping(e, seq)
}

// nextTarget removes and returns the next member of the round that is not dead.
func (n *Node) nextTarget() *entry {
	if len(n.order) == 0 {
		n.order = n.shuffledMembers()
	}
	for len(n.order) > 0 {
		id := n.order[0]
		n.order = n.order[1:]
		if e, ok := n.table[id]; ok && e.State != Dead {
			return e
		}
	}
	return nil
}

func (n *Node) shuffledMembers() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(n.table))
	for id, e := range n.table {
		if e.State != Dead {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // map order is random; the same seed must give the same run
	n.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// ping returns a ping to e. A ping to a suspect includes its record, so that it
// can refute the suspicion immediately.
func (n *Node) ping(e *entry, seq uint64) Envelope {
	m := n.message(Ping)
	m.Seq = seq
	if e.State == Suspect {
		m.Updates = append(m.Updates, e.Member)
	}
	return n.envelope(e.Member, m)
}

// ack returns the ack of a ping. If this instance has a record that supersedes the
// sender's own, such as a suspicion, the ack includes it.
func (n *Node) ack(ping Message) Envelope {
	m := n.message(Ack)
	m.Seq = ping.Seq
	if e, ok := n.table[ping.From.ID]; ok && e.supersedes(ping.From) {
		m.Updates = append(m.Updates, e.Member)
	}
	return n.envelope(ping.From, m)
}

// tickProbes asks relays for overdue probes and ends probes that timed out.
func (n *Node) tickProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, seq := range sortedKeys(n.probes) {
		p := n.probes[seq]
		switch {
		case !now.Before(p.endAt):
			delete(n.probes, seq)
			n.probeFailed(now, p)
		case !p.indirectAt.IsZero() && !now.Before(p.indirectAt):
			p.indirectAt = time.Time{}
			out = append(out, n.sendPingRequests(p, seq)...)
		}
	}
	for seq, r := range n.relayed {
		if !now.Before(r.endAt) {
			delete(n.relayed, seq)
		}
	}
	return out
}

func sortedKeys(probes map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for seq := range probes {
		keys = append(keys, seq)
	}
	slices.Sort(keys)
	return keys
}

func (n *Node) sendPingRequests(p *probe, seq uint64) []Envelope {
	var out []Envelope
	relays := n.pick(n.settings.Relays, func(m Member) bool {
		return m.State != Suspect && m.ID != p.target.Instance
	})
	for _, r := range relays {
		m := n.message(PingRequest)
		m.Seq = seq
		m.Target = p.target.Instance
		if e, ok := n.table[m.Target]; ok && e.State == Suspect {
			m.Updates = append(m.Updates, e.Member)
		}
		out = append(out, n.envelope(r, m))
	}
	return out
}

// probeFailed marks the target of an unanswered probe as suspect.
func (n *Node) probeFailed(now time.Time, p *probe) {
	e, ok := n.table[p.target.Instance]
	if !ok || e.Incarnation != p.target.Incarnation || e.State >= Suspect {
		return
	}
	n.health = min(n.health+1, maxHealth)
	if n.health == maxHealth && now.Sub(n.lastContact) < isolationFactor*n.settings.suspicionTime(n.live) {
		return
	}
	suspect := e.Member
	suspect.State = Suspect
	n.merge(now, suspect, true)
	e.ownSuspicion = true
}

func (n *Node) onAck(now time.Time, m Message) []Envelope {
	if r, ok := n.relayed[m.Seq]; ok && r.target == m.From.ID {
		delete(n.relayed, m.Seq)
		reply := n.message(IndirectAck)
		reply.Seq = r.seq
		reply.Target = r.target
		return []Envelope{n.envelope(r.origin, reply)}
	}
	n.probeAnswered(now, m.Seq, m.From.ID)
	return nil
}

// probeAnswered completes a probe as successful.
func (n *Node) probeAnswered(now time.Time, seq uint64, target fleet.InstanceID) {
	n.lastContact = now
	p, ok := n.probes[seq]
	if !ok || p.target.Instance != target {
		return
	}
	delete(n.probes, seq)
	n.health = max(n.health-1, 0)
}

func (n *Node) onPingRequest(now time.Time, m Message) []Envelope {
	e, ok := n.table[m.Target]
	if !ok {
		return nil
	}
	seq := n.nextSeq()
	n.relayed[seq] = relayedPing{
		target: m.Target,
		origin: m.From,
		seq:    m.Seq,
		endAt:  now.Add(n.settings.IndirectTimeout),
	}
	return []Envelope{n.ping(e, seq)}
}

// pick returns up to count random members that are not dead and for which ok
// returns true.
func (n *Node) pick(count int, ok func(Member) bool) []Member {
	var picked []Member
	for _, id := range n.shuffledMembers() {
		if len(picked) == count {
			break
		}
		if m := n.table[id].Member; ok(m) {
			picked = append(picked, m)
		}
	}
	return picked
}

// seedInterval returns the time between two pings of seeds, which is shorter while
// the table has no other live member.
func (n *Node) seedInterval() time.Duration {
	if n.live == 1 {
		return n.settings.Interval
	}
	return n.settings.SeedInterval
}

// pingSeeds pings listed instances that are not live members: up to Relays of them
// while the table has no other live member, otherwise one.
func (n *Node) pingSeeds() []Envelope {
	count := 1
	if n.live == 1 {
		count = n.settings.Relays
	}
	var out []Envelope
	for _, i := range n.rand.Perm(len(n.seeds)) {
		if len(out) == count {
			break
		}
		s := n.seeds[i]
		if e, ok := n.table[s.ID]; s.ID == n.self.ID || ok && e.State != Dead {
			continue
		}
		m := n.message(Ping)
		m.Seq = n.nextSeq()
		out = append(out, n.envelope(Member{ID: s.ID, Addr: s.Addr}, m))
	}
	return out
}
