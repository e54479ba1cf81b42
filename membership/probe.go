package membership

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// maxHealth bounds Node.health. At this value an instance takes itself for
// the sick one and accuses nobody.
const maxHealth = 8

// maxAccused bounds the suspects that are pinged again in one interval.
const maxAccused = 3

// probe is a ping of ours that waits for its ack.
type probe struct {
	target fleet.Holder
	// indirectAt is when third members are asked; zero once they are.
	indirectAt time.Time
	// endAt is when the probe has failed.
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

// startProbes pings the next member of the round, and again the suspects that
// this instance accused, so that they hear of it and refute in time.
func (n *Node) startProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, e := range n.accused() {
		out = append(out, n.startProbe(now, e))
	}
	if e := n.nextTarget(); e != nil {
		out = append(out, n.startProbe(now, e))
	}
	return out
}

// accused returns some of the suspects that this instance accused.
func (n *Node) accused() []*entry {
	var accused []*entry
	for _, id := range n.timed() {
		e := n.table[id]
		if e.State == Suspect && e.accused && len(accused) < maxAccused {
			accused = append(accused, e)
		}
	}
	return accused
}

func (n *Node) startProbe(now time.Time, e *entry) Envelope {
	seq := n.nextSeq()
	patience := time.Duration(1 + n.health)
	indirectAt := now.Add(patience * n.settings.AckTimeout)
	n.probes[seq] = &probe{
		target:     e.Holder(),
		indirectAt: indirectAt,
		endAt:      indirectAt.Add(patience * n.settings.IndirectTimeout),
	}
	return n.ping(e, seq)
}

// nextTarget takes the next member that is not dead from the round's order.
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
	slices.Sort(ids) // map order must not decide: same seed, same run
	n.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// ping tells a suspect of its suspicion, so that it refutes at once.
func (n *Node) ping(e *entry, seq uint64) Envelope {
	m := n.message(Ping)
	m.Seq = seq
	if e.State == Suspect {
		m.Updates = append(m.Updates, e.Member)
	}
	return n.envelope(e.Member, m)
}

// ack tells the sender what this instance holds against it, if anything.
func (n *Node) ack(ping Message) Envelope {
	m := n.message(Ack)
	m.Seq = ping.Seq
	if e, ok := n.table[ping.From.ID]; ok && e.supersedes(ping.From) {
		m.Updates = append(m.Updates, e.Member)
	}
	return n.envelope(ping.From, m)
}

// tickProbes asks third members, and ends probes that failed.
func (n *Node) tickProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, seq := range sortedKeys(n.probes) {
		p := n.probes[seq]
		switch {
		case !now.Before(p.endAt):
			delete(n.probes, seq)
			n.failed(now, p)
		case !p.indirectAt.IsZero() && !now.Before(p.indirectAt):
			p.indirectAt = time.Time{}
			out = append(out, n.askRelays(p, seq)...)
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

func (n *Node) askRelays(p *probe, seq uint64) []Envelope {
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

// failed suspects the target of a probe that nobody answered.
func (n *Node) failed(now time.Time, p *probe) {
	e, ok := n.table[p.target.Instance]
	if !ok || e.Incarnation != p.target.Incarnation || e.State >= Suspect {
		return
	}
	n.health = min(n.health+1, maxHealth)
	if n.health == maxHealth && now.Sub(n.lastContact) < aloneAfter*n.settings.suspicionTime(n.live) {
		return
	}
	suspect := e.Member
	suspect.State = Suspect
	n.merge(now, suspect, true)
	e.accused = true
}

func (n *Node) onAck(now time.Time, m Message) []Envelope {
	if r, ok := n.relayed[m.Seq]; ok && r.target == m.From.ID {
		delete(n.relayed, m.Seq)
		reply := n.message(IndirectAck)
		reply.Seq = r.seq
		reply.Target = r.target
		return []Envelope{n.envelope(r.origin, reply)}
	}
	n.answered(now, m.Seq, m.From.ID)
	return nil
}

// answered ends a probe well.
func (n *Node) answered(now time.Time, seq uint64, target fleet.InstanceID) {
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

// pick returns up to count random members, not dead, that pass a filter.
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

// seedInterval is short while no member is known.
func (n *Node) seedInterval() time.Duration {
	if n.live == 1 {
		return n.settings.Interval
	}
	return n.settings.SeedInterval
}

// pingSeeds pings listed instances that are no members: a few while none is
// known, else one.
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
