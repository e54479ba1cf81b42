package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// entry is a row of the table: a member's record and its timers.
type entry struct {
	Member
	// until ends the suspicion of a suspect, or the tombstone of a dead member.
	until time.Time
	// since is when the record was folded.
	since time.Time
	// accused tells that the suspicion is this instance's own.
	accused bool
	// spread is how often the record will still be passed on.
	spread int
}

// Seed is an instance that the platform's list names.
type Seed struct {
	ID   fleet.InstanceID
	Addr string
}

// Node is one instance's table and the protocol's state.
type Node struct {
	settings Settings
	rand     *rand.Rand
	self     Member
	table    map[fleet.InstanceID]*entry
	live     int // members that are not dead, self included
	seeds    []Seed

	probes    map[uint64]*probe
	relayed   map[uint64]relayedPing
	order     []fleet.InstanceID // members still to be probed in this round
	lastSeq   uint64
	health    int // failed probes in excess of answered ones, 0 to maxHealth
	spreading []*entry
	selfLeft  int // how often the own record will still be passed on

	lastTick, nextProbe, nextSync, nextSeed time.Time

	lastContact time.Time // when a peer last answered
	lastPinged  time.Time // when a peer last pinged this instance
	expireAt    time.Time // no timer of the table ends before
	maxOffset   int64     // the highest configuration offset seen
	superseded  bool
	epoch       uint64
	view        *View
}

// New returns the node of an instance that starts now. The record's state is
// set to Alive. Settings must have passed their Check.
func New(self Member, settings Settings, r *rand.Rand) *Node {
	self.State = Alive
	self.Version = max(self.Version, 1)
	n := &Node{
		settings: settings.withDefaults(),
		rand:     r,
		self:     self,
		table:    map[fleet.InstanceID]*entry{},
		live:     1,
		probes:   map[uint64]*probe{},
		relayed:  map[uint64]relayedPing{},
	}
	n.lastSeq = r.Uint64() >> 1
	n.announce()
	return n
}

// SetListed replaces the instances that the platform's list names.
func (n *Node) SetListed(seeds []Seed) {
	n.seeds = slices.Clone(seeds)
}

// SetOffset tells peers, as messages go, which configuration offset this
// instance has applied. A lower offset than before is ignored.
func (n *Node) SetOffset(offset int64) {
	if offset > n.self.Offset {
		n.self.Offset = offset
		n.view = nil
	}
}

// SetReady announces whether this instance takes work.
func (n *Node) SetReady(ready bool) {
	if ready != n.self.Ready {
		n.self.Ready = ready
		n.announce()
	}
}

// Leave announces that this instance will stop soon.
func (n *Node) Leave() {
	if n.self.State == Alive {
		n.self.State = Leaving
		n.announce()
	}
}

// Goodbye returns messages that tell a few members that this instance has
// stopped. The node must not be used afterwards.
func (n *Node) Goodbye() []Envelope {
	n.self.State = Dead
	n.announce()
	var out []Envelope
	for _, m := range n.pick(n.settings.Relays, func(m Member) bool { return m.State == Alive }) {
		out = append(out, n.envelope(m, n.message(SyncPush)))
	}
	return out
}

// Superseded tells whether a later process runs under this instance's ID.
func (n *Node) Superseded() bool { return n.superseded }

// announce raises the own version and passes the record on.
func (n *Node) announce() {
	n.self.Version++
	n.selfLeft = n.settings.spreadCount(n.live)
	n.changed()
}

func (n *Node) changed() {
	n.epoch++
	n.view = nil
}

// View returns the current snapshot. It is the same one while nothing changes.
func (n *Node) View() *View {
	if n.view == nil {
		n.view = n.newView()
	}
	if n.view.LastContact != n.lastContact {
		v := *n.view // the members are shared
		v.LastContact = n.lastContact
		n.view = &v
	}
	return n.view
}

func (n *Node) newView() *View {
	members := append(make([]Member, 0, n.live), n.self)
	for _, e := range n.table {
		if e.State != Dead {
			members = append(members, e.Member)
		}
	}
	v := NewView(n.self.ID, members)
	v.Epoch = n.epoch
	return v
}

// Tick moves the node's time on and returns the messages to send.
func (n *Node) Tick(now time.Time) []Envelope {
	n.forgivePause(now)
	n.lastTick = now
	n.expire(now)
	out := n.tickProbes(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.settings.Interval)
		out = append(out, n.startProbes(now)...)
	}
	if !now.Before(n.nextSeed) {
		n.nextSeed = now.Add(n.seedInterval())
		out = append(out, n.pingSeeds()...)
	}
	if !now.Before(n.nextSync) {
		out = append(out, n.startSync(now)...)
	}
	return out
}

// forgivePause handles a process that was stopped for a while: acks that it
// could not read accuse nobody, and suspects get their full time.
func (n *Node) forgivePause(now time.Time) {
	if n.lastTick.IsZero() {
		n.lastPinged = now
		return
	}
	gap := now.Sub(n.lastTick)
	if gap < 2*n.settings.Interval {
		return
	}
	n.lastPinged = now
	clear(n.probes)
	clear(n.relayed)
	for _, e := range n.table {
		if e.State == Suspect {
			e.until = e.until.Add(gap)
		}
	}
}

// Receive folds a message and returns the answers to it. A malformed message
// has no effect and gives ErrMalformed.
func (n *Node) Receive(now time.Time, m Message) ([]Envelope, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	spread := m.Kind != SyncReply && m.Kind != SyncPush
	n.merge(now, m.From, true)
	for _, u := range m.Updates {
		n.merge(now, u, spread)
	}
	if m.From.ID == n.self.ID {
		return nil, nil
	}
	switch m.Kind {
	case Ping:
		n.lastPinged = now
		return []Envelope{n.ack(m)}, nil
	case Ack:
		return n.onAck(now, m), nil
	case PingRequest:
		return n.onPingRequest(now, m), nil
	case IndirectAck:
		n.answered(now, m.Seq, m.Target)
	case SyncRequest:
		return []Envelope{n.syncReply(m)}, nil
	case SyncReply:
		n.lastContact = now
		return n.onSyncReply(m), nil
	}
	return nil, nil
}
