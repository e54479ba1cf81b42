package mesh

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// minHeartbeatInterval is the heartbeat interval in a small fleet.
	minHeartbeatInterval = 300 * time.Millisecond
	// intervalPerMember stretches the interval with the size of the zone, so that an instance sends
	// about 1/intervalPerMember datagrams per second, up to maxHeartbeatInterval: two heartbeats of
	// each member must fit into silentTimeout.
	intervalPerMember    = 24 * time.Millisecond
	maxHeartbeatInterval = 1400 * time.Millisecond
	// digestInterval is the interval at which the first bridge sends digests. Shorter intervals
	// cost bytes between zones, but up-to-date observations of targets are worth more.
	digestInterval = 300 * time.Millisecond
	// standbyDigestInterval is the interval for the other bridges, which only show that they are
	// running.
	standbyDigestInterval = time.Second
)

// Digester summarizes the own zone. If first is set, this instance is the one that reports
// successes.
type Digester func(now time.Time, first bool) *Digest

// Config configures a Node.
type Config struct {
	// Addr is the IP address and port to listen on, by which others reach and identify the
	// instance.
	Addr string
	Zone fleet.Zone
	// Boot is the start time of the process.
	Boot time.Time
	// Seeds are addresses at which instances may be running.
	Seeds []string
	// LinkBytes is the capacity of the instance's link in bytes per second. Default:
	// DefaultLinkBytes.
	LinkBytes int64
}

// Handler processes a packet of another instance.
type Handler func(now time.Time, p *Packet)

// Callbacks are the functions of the instance that a Node calls.
type Callbacks struct {
	// FillHeartbeat completes each heartbeat, and FillGreeting the first datagram to an instance
	// that was just discovered.
	FillHeartbeat, FillGreeting func(now time.Time, p *Packet)
	// Digest summarizes the own zone.
	Digest Digester
	// FillDigest, if set, adds further fields to each datagram that carries a digest.
	FillDigest func(now time.Time, p *Packet)
	// Handle processes each packet that arrives.
	Handle Handler
}

// Node is an instance's endpoint in the mesh. It is safe for concurrent use.
type Node struct {
	cfg       Config
	conn      *net.UDPConn
	callbacks Callbacks
	mu        sync.Mutex
	members   *members
	leaving   bool
	// sequence is the number of the last packet.
	sequence   uint64
	lastDigest time.Time
	meter      meter
	outbox     *outbox
	versions   Versions // as last sent by this instance
	routes     routes
	view       View
}

// Listen opens the socket and returns a Node. Run starts its operation.
func Listen(cfg Config, callbacks Callbacks) (*Node, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if addr.Port == 0 {
		cfg.Addr = conn.LocalAddr().String()
	}
	n := &Node{cfg: cfg, conn: conn, callbacks: callbacks, members: newMembers(cfg.Addr, cfg.Zone, cfg.Boot.UnixMilli()), outbox: newOutbox(cfg.LinkBytes)}
	n.members.seeds = cfg.Seeds
	n.AddPeers(cfg.Seeds)
	return n, nil
}

// Addr returns the address by which others reach and identify the instance.
func (n *Node) Addr() string { return n.cfg.Addr }

// AddPeers adds the addresses of instances that may be running.
func (n *Node) AddPeers(addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, a := range addrs {
		n.members.add(now, a, "")
	}
}

// Leave announces that the instance is stopping.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.SendHeartbeat()
}

// Stats returns the counts so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.meter.Stats
	s.Dropped = n.outbox.dropped
	return s
}

// Run sends heartbeats and handles datagrams until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.receive()
	defer n.conn.Close()
	for {
		n.SendHeartbeat()
		n.expire()
		if !n.waitForHeartbeat(ctx) {
			return
		}
	}
}

// waitForHeartbeat waits until the next heartbeat is due, which is earlier if the instance becomes
// a reader meanwhile. It returns false if ctx has ended.
func (n *Node) waitForHeartbeat(ctx context.Context) bool {
	for since := time.Now(); ; {
		left := n.heartbeatInterval() - time.Since(since)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !wait.For(ctx, min(left, minHeartbeatInterval)) {
			return false
		}
	}
}

func (n *Node) heartbeatInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heartbeatIntervalLocked()
}

// heartbeatIntervalLocked returns the heartbeat interval. It does not grow with the zone for
// readers of the store and for bridges, of which each zone has only a few: others replace one that
// becomes silent. n.mu must be held.
func (n *Node) heartbeatIntervalLocked() time.Duration {
	interval := minHeartbeatInterval
	if n.versions.Log == LogUnread && n.routes.position >= bridgesPerZone {
		interval = n.members.heartbeatInterval()
	}
	if inStartup(time.Now(), n.members.boot) {
		interval /= startupRateFactor
	}
	return interval
}

// SendHeartbeat sends a heartbeat now.
func (n *Node) SendHeartbeat() {
	now := time.Now()
	p := n.newPacket()
	p.Heartbeat = true
	n.mu.Lock()
	n.outbox.dropLoads()
	n.mu.Unlock()
	n.callbacks.FillHeartbeat(now, p)
	n.mu.Lock()
	n.versions = p.Versions
	p.Peers = n.members.samplePeers(now)
	to := n.members.heartbeatRecipients(now)
	position := n.currentRoutes(now).position
	n.mu.Unlock()
	n.send(Heartbeats, p, to)
	if position < bridgesPerZone {
		n.sendDigest(now, p, position == 0)
	}
}

// sendDigest sends a digest of the own zone to the other zones if one is due.
func (n *Node) sendDigest(now time.Time, heartbeat *Packet, first bool) {
	interval := digestInterval
	if !first {
		interval = standbyDigestInterval
	}
	n.mu.Lock()
	bridges := n.currentRoutes(now).bridges
	due := now.Sub(n.lastDigest) >= interval && len(bridges) > 0
	if due {
		n.lastDigest = now
	}
	n.mu.Unlock()
	if !due {
		return
	}
	p := n.newPacket()
	p.Versions, p.Peers, p.Contents, p.LogAvailability, p.Rates = heartbeat.Versions, heartbeat.Peers, heartbeat.Contents, heartbeat.LogAvailability, heartbeat.Rates
	p.Departures, p.Upheld, p.Paths = heartbeat.Departures, heartbeat.Upheld, heartbeat.Paths
	p.Digest = n.callbacks.Digest(now, first)
	if n.callbacks.FillDigest != nil {
		n.callbacks.FillDigest(now, p)
	}
	n.send(Digests, p, bridges)
}

// Announce sends the versions that this instance has to the own zone; a bridge sends them to the
// other zones too. It bypasses the outbox.
func (n *Node) Announce(p Packet) {
	now := time.Now()
	n.mu.Lock()
	n.versions = p.Versions
	r := n.currentRoutes(now)
	to := r.neighbours
	if r.position < bridgesPerZone {
		to = slices.Concat(to, r.bridges)
	}
	n.mu.Unlock()
	q := n.newVersionedPacket()
	q.LogAvailability, q.LogFailure, q.Complete = p.LogAvailability, p.LogFailure, p.Complete
	n.send(Announcements, q, to)
}

// newPacket returns a packet with the next sequence number.
func (n *Node) newPacket() *Packet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newPacketLocked()
}

// newPacketLocked is newPacket with n.mu held.
func (n *Node) newPacketLocked() *Packet {
	n.sequence++
	return &Packet{Addr: n.cfg.Addr, Zone: n.cfg.Zone, Boot: n.cfg.Boot.UnixMilli(), Leaving: n.leaving, Sequence: n.sequence}
}

// newVersionedPacket returns a new packet with the versions that this instance last sent. A packet
// without them would report that the instance does not read the store.
func (n *Node) newVersionedPacket() *Packet {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.newPacketLocked()
	p.Versions = n.versions
	return p
}

// send encodes and sends the packet, split into as many datagrams as its evidence needs.
func (n *Node) send(k Kind, p *Packet, to []netip.AddrPort) {
	b, err := encode(p)
	if err != nil {
		eventlog.Error(eventlog.PacketRefused, err)
		return
	}
	if len(b) > maxPacketBytes && len(p.Evidence) > 1 {
		half := len(p.Evidence) / 2
		first, rest := *p, n.newPacket()
		rest.Versions = p.Versions
		first.Evidence, rest.Evidence = p.Evidence[:half], p.Evidence[half:]
		n.send(k, &first, to)
		n.send(k, rest, to)
		return
	}
	n.write(k, b, to)
}

func (n *Node) write(k Kind, b []byte, to []netip.AddrPort) {
	for _, a := range to {
		// A datagram that cannot be sent counts as lost.
		_, _ = n.conn.WriteToUDPAddrPort(b, a)
	}
	n.mu.Lock()
	now := time.Now()
	n.meter.sent(now, k, len(to), len(b))
	n.outbox.charge(now, len(to), len(b))
	n.mu.Unlock()
}

// readBufferBytes is the size of the largest UDP datagram.
const readBufferBytes = 64 << 10

func (n *Node) receive() {
	buf := make([]byte, readBufferBytes)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example, an earlier datagram was sent to a closed port.
			continue
		}
		n.HandleDatagram(buf[:size])
	}
}

// HandleDatagram decodes and handles a datagram.
func (n *Node) HandleDatagram(b []byte) {
	p, err := decode(b)
	if err != nil {
		n.mu.Lock()
		n.meter.Malformed++
		n.mu.Unlock()
		eventlog.Error(eventlog.PacketRefused, err)
		return
	}
	now := time.Now()
	n.mu.Lock()
	n.meter.received(len(b))
	n.mu.Unlock()
	n.handlePacket(now, p)
	for _, q := range p.RelayedPackets {
		q.Relayed = true
		n.handlePacket(now, q)
	}
}

func (n *Node) handlePacket(now time.Time, p *Packet) {
	n.mu.Lock()
	if p.Relayed {
		n.outbox.dropRelay(p)
	}
	m, result := n.members.receive(now, p)
	if result == memberNew || result == memberReturned || p.Leaving {
		n.invalidate()
	}
	if n.members.versionsChanged {
		n.members.versionsChanged = false
		n.view.At = time.Time{}
	}
	for _, peer := range p.Peers {
		n.members.add(now, peer.Addr, peer.Zone)
	}
	n.mu.Unlock()
	if result == packetIgnored {
		return
	}
	n.relay(now, p)
	if result == memberNew {
		n.greet(now, m.addr)
	}
	if result != memberKnown {
		eventlog.Info(eventlog.PeerFound, "peer", m.Addr, "zone", p.Zone, "boot", p.Boot, "again", result == memberReturned)
	}
	n.callbacks.Handle(now, p)
}

// greet replies to the first datagram of an instance at once, with addresses of others, so that the
// instances of a starting fleet discover each other within one or two heartbeats, and with this
// instance's health estimates.
func (n *Node) greet(now time.Time, to netip.AddrPort) {
	p := n.newVersionedPacket()
	n.mu.Lock()
	p.Peers = n.members.samplePeers(now)
	n.mu.Unlock()
	n.callbacks.FillGreeting(now, p)
	n.send(Greetings, p, []netip.AddrPort{to})
}

func (n *Node) expire() {
	n.mu.Lock()
	lost := n.members.expire(time.Now())
	if len(lost) > 0 {
		n.invalidate()
	}
	n.mu.Unlock()
	for _, addr := range lost {
		eventlog.Info(eventlog.PeerLost, "peer", addr, "silent_ms", silentTimeout.Milliseconds())
	}
}
