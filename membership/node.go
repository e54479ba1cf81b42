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
	// until is when the suspicion of a suspect or the tombstone of a dead
	// member expires; zero for other states.
	until time.Time
	// since is when the record was applied.
	since time.Time
	// ownSuspicion reports whether this instance itself raised the suspicion.
	ownSuspicion bool
	// sendsLeft is the number of transmissions left for the record.
	sendsLeft int
}

// Seed is an instance named in the platform's list.
type Seed struct {
	ID   fleet.InstanceID
	Addr string
}

// Node holds the member table and protocol state of one instance.
type Node struct {
	settings Settings
	rand     *rand.Rand
	self     Member
	table    map[fleet.InstanceID]*entry
	live     int // members that are not dead, including self
	seeds    []Seed

	probes        map[uint64]*probe
	relayed       map[uint64]relayedPing
	order         []fleet.InstanceID // members left to probe in this round
	lastSeq       uint64
	health        int // failed minus answered probes, limited to 0..maxHealth; 0 is healthy
	gossipQueue   []*entry
	selfSendsLeft int // transmissions left for this instance's own record

	lastTick, nextProbe, nextSync, nextSeed time.Time

	lastContact time.Time // when a peer last answered
	lastPinged  time.Time // when a peer last pinged this instance
	expireAt    time.Time // lower bound of all timers in the table
	maxOffset   int64     // the highest configuration offset seen
	superseded  bool
	epoch       uint64
	view        *View
}

// New returns the node of a starting instance. It sets the state of the record
// to Alive. The settings must have passed Settings.Check.
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

// SetListed replaces the seeds, the instances named in the platform's list.
func (n *Node) SetListed(seeds []Seed) {
	n.seeds = slices.Clone(seeds)
}

// SetOffset sets the configuration offset that this instance has applied. Peers
// receive it with the next messages. A lower offset than before is ignored.
func (n *Node) SetOffset(offset int64) {
	if offset > n.self.Offset {
		n.self.Offset = offset
		n.view = nil
	}
}

// SetReady announces whether this instance accepts requests.
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

// Goodbye returns messages that announce to a few members that this instance has
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

// Superseded reports whether a later process runs under this instance's ID.
func (n *Node) Superseded() bool { return n.superseded }

// announce raises the version of this instance's record and queues it for gossip.
func (n *Node) announce() {
	n.self.Version++
	n.selfSendsLeft = n.settings.spreadCount(n.live)
	n.markChanged()
}

func (n *Node) markChanged() {
	n.epoch++
	n.view = nil
}

// View returns the current snapshot. It returns the same pointer until something
// changes.
func (n *Node) View() *View {
	if n.view == nil {
		n.view = n.newView()
	}
	if n.view.LastContact != n.lastContact {
		v := *n.view // shares the member slice
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

// Tick runs the timers that are due and returns the messages to send.
func (n *Node) Tick(now time.Time) []Envelope {
	n.handlePause(now)
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

// handlePause resets timers after the process was paused: it drops pending probes,
// whose acks could not be read, and extends suspicions by the length of the pause.
func (n *Node) handlePause(now time.Time) {
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

// Receive applies a message and returns the replies to send. A malformed message
// has no effect and returns ErrMalformed.
func (n *Node) Receive(now time.Time, m Message) ([]Envelope, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	gossip := m.Kind != SyncReply && m.Kind != SyncPush
	n.merge(now, m.From, true)
	for _, u := range m.Updates {
		n.merge(now, u, gossip)
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
		n.probeAnswered(now, m.Seq, m.Target)
	case SyncRequest:
		return []Envelope{n.syncReply(m)}, nil
	case SyncReply:
		n.lastContact = now
		return n.onSyncReply(m), nil
	}
	return nil, nil
}
