package statesync

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// This file models the path of a change from the store to every instance of a fleet. The States and
// Followers are real; the store, the datagrams and the pulls are simulated. The model runs in a
// testing/synctest bubble.

// Times and rates of the simulated platform and network.
const (
	storeLatency = 3 * time.Millisecond
	peerLatency  = time.Millisecond
	// renewInterval is the interval at which targets renew their entries; an entry that is not
	// renewed expires after entryTTL.
	renewInterval = 1500 * time.Millisecond
	entryTTL      = 3 * renewInterval
	// maxReregisterDelay is the longest time after the store's return until a live target has
	// registered again.
	maxReregisterDelay = 1900 * time.Millisecond
	// packetLossRate is the fraction of datagrams that are lost, and pullHangRate that of pulls
	// that hang.
	packetLossRate = 0.1
	pullHangRate   = 0.1
	// digestInterval is the interval between the digests of a bridge; maxRelayDelay is the longest
	// time for which a bridge may delay one that it relays.
	digestInterval = 300 * time.Millisecond
	maxRelayDelay  = 40 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
)

// storeModel simulates the platform's store.
type storeModel struct {
	mu sync.Mutex
	// records are those of the targets, documents those of the documents.
	records, documents []Record
	wake               chan struct{}
	// down makes the store unavailable: calls hang, or fail at once if rejects is set.
	down, rejects bool
	// generation counts how often all connections were broken; reads started in an earlier
	// generation never get a response.
	generation int
	// egress carries the newest records to all instances. pageKeys is the number of keys in a page of them; 0
	// if one page holds all.
	egress   linkModel
	pageKeys int
	// foreignPages is the number of pages of entries of other writers before those of the targets, each of
	// foreignPageBytes.
	foreignPages int
}

// foreignPageBytes is the size of a page of the newest records, in base64.
const foreignPageBytes = 4 << 20 / 3

func newStoreModel() *storeModel { return &storeModel{wake: make(chan struct{})} }

func (s *storeModel) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// put writes an entry, or removes it if e is nil.
func (s *storeModel) put(id fleet.TargetID, e *registry.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, Record{Offset: registry.Offset(len(s.records)), ID: id, Entry: e})
	s.wakeAll()
}

// putDocument writes a document.
func (s *storeModel) putDocument(d *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents = append(s.documents, Record{Offset: registry.Offset(len(s.documents)), Document: d})
	s.wakeAll()
}

// recordsOf returns the records of a stream. The caller holds s.mu.
func (s *storeModel) recordsOf(stream Stream) []Record {
	if stream == Documents {
		return s.documents
	}
	return s.records
}

// setDown makes the store unavailable or available again. If broken is set, reads that are open
// now never get a response.
func (s *storeModel) setDown(down, rejects, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.rejects = down, rejects
	if broken {
		s.generation++
	}
	s.wakeAll()
}

// storeClient is one instance's client of the store. Calls reuse the connection of the call that
// ended last.
type storeClient struct {
	store *storeModel
	down  *linkModel // of the instance
	mu    sync.Mutex
	// silenced counts how often the instance's open connections went silent; the store rejects the
	// instance's calls until rejectedUntil.
	silenced      int
	rejectedUntil time.Time
	// unansweredUntil is the time until which the instance's calls get no response.
	unansweredUntil time.Time
	idle            []connectionID
}

// connectionID identifies when a connection was opened, by how often the connections of the
// instance and of all instances had been broken then.
type connectionID struct{ silenced, generation int }

// connect returns an idle connection or a new one.
func (c *storeClient) connect() connectionID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn
	}
	return c.newest()
}

// release keeps the connection of a call that got a response.
func (c *storeClient) release(conn connectionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// CloseIdleConnections implements Store.
func (c *storeClient) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = nil
}

// hang waits until a call without a response ends. If it ends by its timeout, the idle connections
// are closed.
func (c *storeClient) hang(ctx context.Context) error {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), transfer.ErrNoProgress) {
		c.CloseIdleConnections()
	}
	return ctx.Err()
}

// newest returns the ID of a connection that is opened now. The caller holds c.mu.
func (c *storeClient) newest() connectionID {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return connectionID{c.silenced, c.store.generation}
}

// isSilent reports whether the connection has gone silent.
func (c *storeClient) isSilent(conn connectionID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest() != conn || time.Now().Before(c.unansweredUntil)
}

var errRejected = errors.New("503")

// readFrom returns the records of a stream from an offset on, or none while the store hangs, and a channel
// that is closed at the next change. It fails if the store rejects the instance's calls.
func (c *storeClient) readFrom(s Stream, from int) ([]Record, chan struct{}, error) {
	c.mu.Lock()
	rejected := time.Now().Before(c.rejectedUntil)
	c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if rejected || c.store.down && c.store.rejects {
		return nil, nil, errRejected
	}
	if c.store.down {
		return nil, c.store.wake, nil
	}
	records := c.store.recordsOf(s)
	return records[min(from, len(records)):], c.store.wake, nil
}

func (c *storeClient) isDown() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.down
}

// Read implements Store.
func (c *storeClient) Read(ctx context.Context, s Stream, from registry.Offset, wait time.Duration) (Batch, error) {
	conn := c.connect()
	time.Sleep(storeLatency)
	timeout := time.After(wait)
	for {
		records, wake, err := c.readFrom(s, int(from))
		if err != nil {
			return Batch{}, err
		}
		if c.isSilent(conn) {
			return Batch{}, c.hang(ctx)
		}
		if len(records) > 0 {
			c.release(conn)
			return c.deliver(ctx, Batch{Next: from + registry.Offset(len(records)), Records: slices.Clone(records)})
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return Batch{}, c.hang(ctx)
		case <-timeout:
			if !c.isDown() && !c.isSilent(conn) {
				c.release(conn)
				return Batch{Next: from}, nil
			}
			timeout = nil // respond when the store is available again, if the connection is intact
		}
		if timeout == nil && !c.isDown() && !c.isSilent(conn) {
			records, _, err := c.readFrom(s, int(from))
			if err != nil {
				return Batch{}, err
			}
			c.release(conn)
			return c.deliver(ctx, Batch{Next: from + registry.Offset(len(records)), Records: slices.Clone(records)})
		}
	}
}

// Snapshot implements Store.
func (c *storeClient) Snapshot(s Stream) SnapshotReader {
	return &snapshotModel{client: c, stream: s, end: -1}
}

// snapshotModel reads the newest records of a stream page by page.
type snapshotModel struct {
	client *storeClient
	stream Stream
	pages  int
	end    registry.Offset
}

// Next implements SnapshotReader.
func (m *snapshotModel) Next(ctx context.Context) (part Batch, last bool, err error) {
	c := m.client
	conn := c.connect()
	time.Sleep(storeLatency)
	records, _, err := c.readFrom(m.stream, 0)
	if err != nil {
		return Batch{}, false, err
	}
	if c.isDown() || c.isSilent(conn) {
		return Batch{}, false, c.hang(ctx)
	}
	if m.end < 0 {
		m.end = registry.Offset(len(records))
	}
	part = Batch{Next: m.end}
	foreign := 0
	if m.stream == Targets {
		foreign = c.store.foreignPages
	}
	if m.pages < foreign {
		if err := c.receivePage(ctx); err != nil {
			return Batch{}, false, err
		}
	} else {
		part.Records, last = c.store.page(m.stream, records, m.pages-foreign)
	}
	m.pages++
	c.release(conn)
	part, err = c.deliver(ctx, part)
	return part, last, err
}

// receivePage waits until the store has sent a page of entries of other writers, which it does even if the caller
// has left.
func (c *storeClient) receivePage(ctx context.Context) error {
	sent := make(chan struct{})
	go func() {
		c.store.egress.transfer(foreignPageBytes)
		close(sent)
	}()
	select {
	case <-ctx.Done():
		return c.hang(ctx)
	case <-sent:
		transfer.Progress(ctx)
		return nil
	}
}

// page returns a page of the newest records of a stream, and whether it is the last one.
func (s *storeModel) page(stream Stream, records []Record, n int) ([]Record, bool) {
	if stream == Documents {
		return records[max(len(records)-1, 0):], true
	}
	byID := make(map[fleet.TargetID]Record)
	for _, r := range records {
		byID[r.ID] = r
	}
	var newest []Record
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		if r := byID[id]; r.Entry != nil {
			newest = append(newest, r)
		}
	}
	if s.pageKeys == 0 {
		return newest, true
	}
	first := min(n*s.pageKeys, len(newest))
	end := min(first+s.pageKeys, len(newest))
	return newest[first:end], end == len(newest)
}

// deliver returns the batch once its documents have crossed the instance's link.
func (c *storeClient) deliver(ctx context.Context, b Batch) (Batch, error) {
	left := 0
	for _, r := range b.Records {
		if r.Document != nil {
			left += storedRouteBytes * len(r.Document.Routes)
		}
	}
	for left > 0 && ctx.Err() == nil {
		c.down.transfer(min(left, segmentBytes))
		transfer.Progress(ctx)
		left -= segmentBytes
	}
	return b, ctx.Err()
}

// Addresses implements Store.
func (c *storeClient) Addresses(context.Context) ([]string, error) { return nil, nil }

// Announce implements Store.
func (c *storeClient) Announce(context.Context, string) (registry.Epoch, error) { return 0, nil }

// instanceModel is one instance with a real State and Follower.
type instanceModel struct {
	fleet    *fleetModel
	addr     string
	zone     fleet.Zone
	store    *storeClient
	state    *State
	follower *Follower
	stop     context.CancelFunc
	// rank is its rank in its zone by mesh.Rank.
	rank int
	// extraLatency is added to the latency of all packets sent to the instance.
	extraLatency time.Duration
	// up and down are the directions of the instance's link.
	up, down linkModel

	mu sync.Mutex
	// killed is set while no process runs, and boot numbers the processes.
	killed bool
	boot   int64
	// pullConns are the kept connections to peers, and pullsSilenced counts how often the open ones
	// went silent.
	pullConns     map[string]int
	pullsSilenced int

	peers map[string]mesh.Member
	zones map[fleet.Zone]mesh.Zone
	// calmSince is the time since which no fault affects the instance.
	calmSince time.Time
}

// fleetModel is a fleet of instances and their store.
type fleetModel struct {
	random       *rand.Rand
	mu           sync.Mutex // guards random
	store        *storeModel
	zones        []fleet.Zone
	members      []*instanceModel
	byAddr       map[string]*instanceModel
	interval     time.Duration
	removalBound time.Duration
	// packetLoss is the fraction of datagrams that are lost.
	packetLoss float64
	// pullsHang makes a fraction of the pulls hang.
	pullsHang bool
}

func (f *fleetModel) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *fleetModel) randomDuration(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

// newFleetModel returns a fleet of size instances in three zones, or five if it is large. The
// instances are not started.
func newFleetModel(seed uint64, size int, bound time.Duration) *fleetModel {
	const small = 60
	zones := 5
	if size < small {
		zones = 3
	}
	perZone := size / zones
	const perMember, least, most = 24 * time.Millisecond, 300 * time.Millisecond, 1400 * time.Millisecond
	f := &fleetModel{
		random: rand.New(rand.NewPCG(seed, 1)), store: newStoreModel(), byAddr: make(map[string]*instanceModel), removalBound: bound, packetLoss: packetLossRate, pullsHang: true,
		interval: min(max(time.Duration(perZone)*perMember, least), most),
	}
	for z := range zones {
		f.zones = append(f.zones, fleet.Zone(fmt.Sprint("z", z)))
		for n := range perZone {
			m := &instanceModel{fleet: f, addr: fmt.Sprintf("10.%d.%d.%d:1", z, n/200, n%200+1), zone: f.zones[z]}
			m.store = &storeClient{store: f.store, down: &m.down}
			f.members = append(f.members, m)
			f.byAddr[m.addr] = m
		}
	}
	for _, m := range f.members {
		for _, o := range f.members {
			if o.zone == m.zone && mesh.Rank(o.addr) < mesh.Rank(m.addr) {
				m.rank++
			}
		}
	}
	return f
}

// start starts a new process of the instance, with empty state.
func (m *instanceModel) start(ctx context.Context) {
	ctx, m.stop = context.WithCancel(ctx)
	m.mu.Lock()
	m.killed = false
	m.boot++
	m.pullConns = make(map[string]int)
	m.peers, m.zones = make(map[string]mesh.Member), make(map[fleet.Zone]mesh.Zone)
	m.calmSince = time.Now()
	m.mu.Unlock()
	m.state = NewState(1, m.announce)
	m.state.SetRemovalBound(m.fleet.removalBound)
	m.state.SetRenewalInterval(renewInterval)
	m.follower = NewFollower(Options{
		State: m.state, Store: m.store, Peers: m.view, Self: m.addr, Zone: m.zone, OnAddresses: func([]string) {}, Announce: m.announce,
		DocumentTimeout: m.fleet.removalBound, RemovalTimeout: m.fleet.removalBound,
	})
	m.follower.puller.kept.Transport = &pullModel{m, true}
	m.follower.puller.fresh.Transport = &pullModel{m, false}
	go m.follower.Run(ctx)
	go m.sendHeartbeats(ctx)
	go m.tick(ctx)
}

// kill ends the instance's process.
func (m *instanceModel) kill() {
	m.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killed = true
}

func (m *instanceModel) isKilled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed
}

func (m *instanceModel) view() mesh.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := mesh.View{At: time.Now(), Zone: m.zone, Interval: m.fleet.interval}
	for _, p := range m.peers {
		v.Members = append(v.Members, p)
	}
	for _, z := range m.zones {
		v.Zones = append(v.Zones, z)
	}
	return v
}

func (m *instanceModel) tick(ctx context.Context) {
	time.Sleep(m.fleet.randomDuration(tickInterval))
	for ctx.Err() == nil {
		m.follower.Tick(time.Now(), m.view())
		time.Sleep(tickInterval)
	}
}

// sendHeartbeats sends heartbeats, and digests to other zones if the instance is a bridge.
func (m *instanceModel) sendHeartbeats(ctx context.Context) {
	var digestAt time.Time
	for ctx.Err() == nil {
		p := m.packet()
		p.Heartbeat = true
		m.sendToZone(p)
		if m.isBridge() && time.Since(digestAt) >= digestInterval {
			digestAt = time.Now()
			m.follower.FillDigest(p)
			m.sendToZones(p)
		}
		interval := m.fleet.interval
		if m.follower.LogState() != mesh.LogUnread || m.isBridge() {
			interval = min(interval, 300*time.Millisecond)
		}
		time.Sleep(interval)
	}
}

// isBridge reports whether the instance relays packets between its zone and the others.
func (m *instanceModel) isBridge() bool { return m.rank < 2 }

func (m *instanceModel) packet() *mesh.Packet {
	m.mu.Lock()
	p := &mesh.Packet{Addr: m.addr, Zone: m.zone, Boot: m.boot}
	m.mu.Unlock()
	m.follower.Fill(p)
	p.Departures = m.state.DeparturesToAnnounce(time.Now())
	return p
}

// announce sends the instance's state to its zone at once, and if it is a bridge, to the bridges
// of the other zones.
func (m *instanceModel) announce() {
	p := m.packet()
	m.sendToZone(p)
	if !m.isBridge() {
		return
	}
	for _, o := range m.fleet.members {
		if o.zone != m.zone && o.isBridge() && !m.fleet.chance(m.fleet.packetLoss) {
			time.AfterFunc(peerLatency+o.extraLatency, func() { o.receive(p) })
		}
	}
}

// sendToZone sends a datagram to each other instance of the zone.
func (m *instanceModel) sendToZone(p *mesh.Packet) {
	for _, o := range m.fleet.members {
		if o.zone == m.zone && o != m && !m.fleet.chance(m.fleet.packetLoss) {
			time.AfterFunc(peerLatency+o.extraLatency, func() { o.receive(p) })
		}
	}
}

// sendToZones sends a digest to the bridges of the other zones, which relay it.
func (m *instanceModel) sendToZones(p *mesh.Packet) {
	for _, z := range m.fleet.zones {
		if z == m.zone || m.fleet.chance(m.fleet.packetLoss) {
			continue
		}
		delay := peerLatency + m.fleet.randomDuration(maxRelayDelay)
		for _, o := range m.fleet.members {
			if o.zone != z || m.fleet.chance(m.fleet.packetLoss) {
				continue
			}
			if o.isBridge() {
				time.AfterFunc(peerLatency+o.extraLatency, func() { o.receive(p) })
			}
			time.AfterFunc(delay+o.extraLatency, func() { o.receiveZone(p, delay) })
		}
	}
}

func (m *instanceModel) receive(p *mesh.Packet) {
	now := time.Now()
	m.mu.Lock()
	o := m.peers[p.Addr]
	o.Addr = p.Addr
	if m.killed || p.Boot < o.Boot {
		m.mu.Unlock()
		return
	}
	o.Update(now, p)
	m.peers[p.Addr] = o
	m.mu.Unlock()
	m.handleDepartures(p, p.Zone != m.zone)
	if m.state.Behind(now, p.Document, p.Position()) {
		m.follower.NotifyAhead()
	}
	if p.Zone == m.zone && p.Log.Doubtful() {
		m.follower.NotifyDoubt()
	}
}

// handleDepartures records departures, and forwards the new ones to the own zone if forward is
// set.
func (m *instanceModel) handleDepartures(p *mesh.Packet, forward bool) {
	if added := m.state.RecordDepartures(p.Departures, p.Addr); forward && len(added) > 0 {
		m.sendDepartures(added, false)
	}
}

// receiveZone handles a digest that was in transit for the given time.
func (m *instanceModel) receiveZone(p *mesh.Packet, transit time.Duration) {
	now := time.Now()
	m.mu.Lock()
	m.zones[p.Zone] = mesh.Zone{Name: p.Zone, Instances: 1, Log: p.Log, LastDigest: now, LogAvailability: p.LogAvailability.Span(now.Add(-transit)), LogFailure: p.LogFailure.Span(now.Add(-transit))}
	m.mu.Unlock()
	m.handleDepartures(p, false)
	if m.state.Behind(now, p.Document, p.Position()) {
		m.follower.NotifyAhead()
	}
}

// pullModel simulates the transport of an instance's pulls from others; it reuses connections if
// keeps is set.
type pullModel struct {
	from  *instanceModel
	keeps bool
}

// RoundTrip implements http.RoundTripper.
func (t *pullModel) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(2 * peerLatency)
	f := t.from.fleet
	if t.keeps && !t.from.reusePullConn(r.URL.Host) || f.pullsHang && f.chance(pullHangRate) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	peer := f.byAddr[r.URL.Host]
	if peer.isKilled() {
		return nil, errors.New("connection refused")
	}
	return serveOver(pathModel{&peer.up, &t.from.down}, peer.state, r)
}

// reusePullConn uses the kept connection to a peer, or opens one. It returns false if that went
// silent, and drops it.
func (m *instanceModel) reusePullConn(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	opened, kept := m.pullConns[addr]
	if kept && opened != m.pullsSilenced {
		delete(m.pullConns, addr)
		return false
	}
	m.pullConns[addr] = m.pullsSilenced
	return true
}

// silencePulls makes the instance's kept connections to peers silent.
func (m *instanceModel) silencePulls() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pullsSilenced++
}

// uses reports whether the instance may choose the target.
func (m *instanceModel) uses(id fleet.TargetID) bool { return m.state.Targets().Target(id) != nil }

// undisturbedFor reports whether no fault has affected the instance for the given time.
func (m *instanceModel) undisturbedFor(within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.calmSince) >= within
}

// markDisturbed records that a fault affects the instance until the given time.
func (m *instanceModel) markDisturbed(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calmSince = until
}

// reads reports whether the instance is a reader of the store.
func (f *Follower) reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role.Reads
}

// pendingReadOffset returns the offset from which the stream's pending read waits for changes.
func (f *Follower) pendingReadOffset(s Stream) registry.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pendingReads[s].from.Offset
}
