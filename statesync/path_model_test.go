package statesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// The path of a change in the store to every instance of a fleet, with real Followers on a clock of
// the test: their store, their datagrams and their pulls are models. It runs in a bubble of
// testing/synctest.

// Times of the modelled platform and network.
const (
	storeLatency = 3 * time.Millisecond
	peerLatency  = time.Millisecond
	// renewEvery and lapseAfter are how often targets renew their entries, and when one that
	// is not renewed lapses.
	renewEvery = 1500 * time.Millisecond
	lapseAfter = 3 * renewEvery
	// backWithin bounds how long after the store's return living targets have registered anew.
	backWithin = 1900 * time.Millisecond
	// lostShare is the part of the datagrams that are lost, hangShare that of pulls that hang.
	lostShare = 0.1
	hangShare = 0.1
	// digestPeriod is the time between digests of bridges, relayDelay what a bridge may hold one back.
	digestPeriod = 300 * time.Millisecond
	relayDelay   = 40 * time.Millisecond
	tickEvery    = 100 * time.Millisecond
)

// storeModel is the platform's store.
type storeModel struct {
	mu      sync.Mutex
	records []Record
	wake    chan struct{}
	// down: no call is answered, or each is refused at once.
	down, refuses bool
	// generation counts the times at which connections were lost: reads on earlier ones stay silent.
	generation int
}

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

// setDown makes the store answer nobody, or come back. Silent connections of before stay silent if
// broken is set.
func (s *storeModel) setDown(down, refuses, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.refuses = down, refuses
	if broken {
		s.generation++
	}
	s.wakeAll()
}

// storeClient is one instance's way to the store.
type storeClient struct {
	store *storeModel
	mu    sync.Mutex
	// silenced counts the times at which the instance's open connections went silent; refused is
	// until when the store turns the instance away.
	silenced int
	refused  time.Time
}

var errTurnedAway = errors.New("503")

// ready waits until the store answers the instance, and tells the records then.
func (c *storeClient) ready(ctx context.Context, from int) ([]Record, chan struct{}, error) {
	c.mu.Lock()
	refused := time.Now().Before(c.refused)
	c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if refused || c.store.down && c.store.refuses {
		return nil, nil, errTurnedAway
	}
	if c.store.down {
		return nil, c.store.wake, nil
	}
	return c.store.records[min(from, len(c.store.records)):], c.store.wake, nil
}

// connection identifies what a call depends on to be answered.
func (c *storeClient) connection() [2]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return [2]int{c.silenced, c.store.generation}
}

func (c *storeClient) isDown() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.down
}

// Read implements Store.
func (c *storeClient) Read(ctx context.Context, s Stream, from registry.Offset, wait time.Duration) (Batch, error) {
	conn := c.connection()
	time.Sleep(storeLatency)
	over := time.After(wait)
	for {
		records, wake, err := c.ready(ctx, int(from))
		if err != nil {
			return Batch{}, err
		}
		if c.connection() != conn { // it went silent
			<-ctx.Done()
			return Batch{}, ctx.Err()
		}
		if s == Documents {
			records = nil
		}
		if len(records) > 0 {
			return Batch{Next: from + registry.Offset(len(records)), Records: slices.Clone(records)}, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-over:
			if !c.isDown() && c.connection() == conn {
				return Batch{Next: from}, nil
			}
			over = nil // answered when the store is back, if the connection lives
		}
		if over == nil && !c.isDown() && c.connection() == conn {
			records, _, err := c.ready(ctx, int(from))
			return Batch{Next: from + registry.Offset(len(records)), Records: slices.Clone(records)}, err
		}
	}
}

// Snapshot implements Store.
func (c *storeClient) Snapshot(ctx context.Context, s Stream) (Batch, error) {
	time.Sleep(storeLatency)
	records, _, err := c.ready(ctx, 0)
	if err != nil {
		return Batch{}, err
	}
	if c.isDown() {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	if s == Documents {
		return Batch{Next: 1}, nil
	}
	last := make(map[fleet.TargetID]Record)
	for _, r := range records {
		last[r.ID] = r
	}
	b := Batch{Next: registry.Offset(len(records))}
	for _, r := range last {
		if r.Entry != nil {
			b.Records = append(b.Records, r)
		}
	}
	return b, nil
}

// Addresses implements Store.
func (c *storeClient) Addresses(context.Context) ([]string, error) { return nil, nil }

// Announce implements Store.
func (c *storeClient) Announce(context.Context, string) (registry.Epoch, error) { return 0, nil }

// instanceModel is one instance: a real State and Follower.
type instanceModel struct {
	fleet    *fleetModel
	addr     string
	zone     fleet.Zone
	store    *storeClient
	state    *State
	follower *Follower
	stop     context.CancelFunc
	// place is its place in the order of its zone's ranks.
	place int
	// late is by how much everything that others tell arrives later.
	late time.Duration

	mu    sync.Mutex
	heard map[string]mesh.Member
	zones map[fleet.Zone]mesh.Zone
	// calmFrom is since when nothing disturbs the instance.
	calmFrom time.Time
}

// fleetModel is all instances and their store.
type fleetModel struct {
	random   *rand.Rand
	mu       sync.Mutex // guards random
	store    *storeModel
	zones    []fleet.Zone
	members  []*instanceModel
	byAddr   map[string]*instanceModel
	interval time.Duration
	bound    time.Duration
	// hangs tells that pulls may hang.
	hangs bool
}

func (f *fleetModel) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *fleetModel) upTo(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

// newFleetModel makes a fleet of so many instances, in three zones or, if it is large, in five; none runs
// yet.
func newFleetModel(seed uint64, size int, bound time.Duration) *fleetModel {
	const small = 60
	zones := 5
	if size < small {
		zones = 3
	}
	perZone := size / zones
	const perMember, least, most = 24 * time.Millisecond, 300 * time.Millisecond, 1400 * time.Millisecond
	f := &fleetModel{
		random: rand.New(rand.NewPCG(seed, 1)), store: newStoreModel(), byAddr: make(map[string]*instanceModel), bound: bound, hangs: true,
		interval: min(max(time.Duration(perZone)*perMember, least), most),
	}
	for z := range zones {
		f.zones = append(f.zones, fleet.Zone(fmt.Sprint("z", z)))
		for n := range perZone {
			m := &instanceModel{fleet: f, addr: fmt.Sprintf("10.%d.%d.%d:1", z, n/200, n%200+1), zone: f.zones[z], store: &storeClient{store: f.store}}
			f.members = append(f.members, m)
			f.byAddr[m.addr] = m
		}
	}
	for _, m := range f.members {
		for _, o := range f.members {
			if o.zone == m.zone && mesh.Rank(o.addr) < mesh.Rank(m.addr) {
				m.place++
			}
		}
	}
	return f
}

// start begins a process of the instance that knows nothing.
func (m *instanceModel) start(ctx context.Context) {
	ctx, m.stop = context.WithCancel(ctx)
	m.mu.Lock()
	m.heard, m.zones = make(map[string]mesh.Member), make(map[fleet.Zone]mesh.Zone)
	m.calmFrom = time.Now()
	m.mu.Unlock()
	m.state = NewState(1, m.announce)
	m.state.SetRemovalBound(m.fleet.bound)
	m.follower = NewFollower(Options{
		State: m.state, Store: m.store, Peers: m.view, Self: m.addr, Zone: m.zone, Know: func([]string) {}, Tell: m.announce,
	})
	m.follower.puller.http.Transport = &pullModel{m.fleet}
	go m.follower.Run(ctx)
	go m.beat(ctx)
	go m.tick(ctx)
}

func (m *instanceModel) view() mesh.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := mesh.View{At: time.Now(), Zone: m.zone, Interval: m.fleet.interval}
	for _, p := range m.heard {
		v.Members = append(v.Members, p)
	}
	for _, z := range m.zones {
		v.Zones = append(v.Zones, z)
	}
	return v
}

func (m *instanceModel) tick(ctx context.Context) {
	time.Sleep(m.fleet.upTo(tickEvery))
	for ctx.Err() == nil {
		m.follower.Tick(time.Now(), m.view())
		time.Sleep(tickEvery)
	}
}

// beat sends heartbeats, and digests to other zones if the instance is a bridge.
func (m *instanceModel) beat(ctx context.Context) {
	var digestAt time.Time
	for ctx.Err() == nil {
		p := m.packet()
		p.Heartbeat = true
		m.tell(p)
		if m.bridges() && time.Since(digestAt) >= digestPeriod {
			digestAt = time.Now()
			m.tellZones(p)
		}
		every := m.fleet.interval
		if m.follower.Log() != mesh.LogUnread || m.bridges() {
			every = min(every, 300*time.Millisecond)
		}
		time.Sleep(every)
	}
}

// bridges tells whether the instance stands between its zone and the others.
func (m *instanceModel) bridges() bool { return m.place < 2 }

func (m *instanceModel) packet() *mesh.Packet {
	p := &mesh.Packet{Addr: m.addr, Zone: m.zone}
	m.follower.Fill(p)
	p.Departures = m.state.DeparturesToTell(time.Now())
	return p
}

// announce tells the zone at once that the state has moved on, and a bridge tells those of the
// other zones.
func (m *instanceModel) announce() {
	p := m.packet()
	m.tell(p)
	if !m.bridges() {
		return
	}
	for _, o := range m.fleet.members {
		if o.zone != m.zone && o.bridges() && !m.fleet.chance(lostShare) {
			time.AfterFunc(peerLatency+o.late, func() { o.hear(p) })
		}
	}
}

// tell sends a datagram to each other instance of the zone.
func (m *instanceModel) tell(p *mesh.Packet) {
	for _, o := range m.fleet.members {
		if o.zone == m.zone && o != m && !m.fleet.chance(lostShare) {
			time.AfterFunc(peerLatency+o.late, func() { o.hear(p) })
		}
	}
}

// tellZones sends a digest to the bridges of the other zones, which pass it on.
func (m *instanceModel) tellZones(p *mesh.Packet) {
	for _, z := range m.fleet.zones {
		if z == m.zone || m.fleet.chance(lostShare) {
			continue
		}
		after := peerLatency + m.fleet.upTo(relayDelay)
		for _, o := range m.fleet.members {
			if o.zone != z || m.fleet.chance(lostShare) {
				continue
			}
			if o.bridges() {
				time.AfterFunc(peerLatency+o.late, func() { o.hear(p) })
			}
			time.AfterFunc(after+o.late, func() { o.hearZone(p, after) })
		}
	}
}

func (m *instanceModel) hear(p *mesh.Packet) {
	now := time.Now()
	m.mu.Lock()
	o := m.heard[p.Addr]
	o.Addr, o.Zone = p.Addr, p.Zone
	o.Update(now, p)
	m.heard[p.Addr] = o
	m.mu.Unlock()
	m.takeDepartures(p, p.Zone != m.zone)
	if m.state.Behind(now, p.Document, p.Position()) {
		m.follower.Ahead()
	}
}

// takeDepartures takes in which targets leave, and passes on what is news from another zone.
func (m *instanceModel) takeDepartures(p *mesh.Packet, pass bool) {
	if news := m.state.Depart(p.Departures, p.Addr); pass && len(news) > 0 {
		m.tellDepartures(news, false)
	}
}

// hearZone takes in a digest that was on its way for some time.
func (m *instanceModel) hearZone(p *mesh.Packet, waited time.Duration) {
	now := time.Now()
	m.mu.Lock()
	m.zones[p.Zone] = mesh.Zone{Name: p.Zone, Instances: 1, Log: p.Log, LastDigest: now, LogAvailability: p.LogAvailability.Span(now.Add(-waited))}
	m.mu.Unlock()
	m.takeDepartures(p, false)
	if m.state.Behind(now, p.Document, p.Position()) {
		m.follower.Ahead()
	}
}

// pullModel carries pulls between instances.
type pullModel struct{ fleet *fleetModel }

// RoundTrip implements http.RoundTripper.
func (t *pullModel) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(2 * peerLatency)
	if t.fleet.hangs && t.fleet.chance(hangShare) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	t.fleet.byAddr[r.URL.Host].state.ServeHTTP(w, r)
	return w.Result(), nil
}

// uses tells whether the instance would send work to a target.
func (m *instanceModel) uses(id fleet.TargetID) bool { return m.state.Targets().Target(id) != nil }

// inTouch tells whether nothing has disturbed the instance for the given time.
func (m *instanceModel) inTouch(within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.calmFrom) >= within
}

// disturbed notes that something disturbs the instance until a time.
func (m *instanceModel) disturbed(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calmFrom = until
}

// waitsFrom is the offset from which the stream's read waits for changes.
func (f *Follower) waitsFrom(s Stream) registry.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hanging[s].from.Offset
}
