package mesh

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// Timeouts after which a member that sends no datagrams changes its state.
const (
	// freshTimeout is the time for which what a member last sent counts as its current state.
	freshTimeout = 1500 * time.Millisecond
	// silentTimeout is the time after which a member is reported as lost. It remains in the
	// instance count, by which budgets are shared.
	silentTimeout = 3 * time.Second
	// lapsedTimeout is the time after which a member leaves the instance count. It still gets a
	// datagram every heartbeatRetryInterval, in case a partition heals.
	lapsedTimeout = 12 * time.Second
	// removalTimeout is the time after which a member is removed.
	removalTimeout = 5 * time.Minute
	// heartbeatRetryInterval is the interval between heartbeats to a member that sends no
	// datagrams, in this zone or another.
	heartbeatRetryInterval = 2 * time.Second
	// zoneFreshTimeout is the time for which a digest counts as the current state of a zone.
	zoneFreshTimeout = 3 * time.Second
)

const (
	// peerSampleSize is the number of addresses in a heartbeat, and startupPeerSampleSize the
	// number while this instance or one that it receives from has just started: until they have all
	// discovered each other, each has to detect every unhealthy target by itself.
	peerSampleSize        = 3
	startupPeerSampleSize = 16
	// startupPeriod is the time for which a process counts as just started. Meanwhile it sends
	// heartbeats startupRateFactor times as often, including to instances that have not responded
	// yet: if all instances start at once, seeds may start last, and observations of targets are
	// shared only between instances that have discovered each other.
	startupPeriod     = 3 * time.Second
	startupRateFactor = 3
	// bridgesPerZone is the number of instances of each zone that connect it to the others.
	bridgesPerZone = 2
	// minBridgeAge is the age up to which a process leaves the role of a bridge to older ones.
	minBridgeAge = 10 * time.Second
	// dedupWindow is the number of a sender's last packets that are remembered to detect
	// duplicates.
	dedupWindow = 32
)

// Member is the state of another instance.
type Member struct {
	Addr     string
	Zone     fleet.Zone
	Boot     int64
	Leaving  bool
	Document document.Version
	Registry registry.Position
	Log      LogState
	// LogAvailability is the last span in which the store's log responded to any instance, as the
	// member reported it; zero if it reported none.
	LogAvailability registry.Span
	// LogFailure is the last span in which a call of the member had no answer from the store's log;
	// zero if it reported none.
	LogFailure registry.Span
	// DocumentsComplete and TargetsComplete are when the member, a reader of the store, last had the
	// newest document and all changes of targets; zero if it has not told.
	DocumentsComplete, TargetsComplete time.Time
	// Instances is the number of instances that the member counts; 0 if it may have discovered only
	// some of them.
	Instances int
	// Paths describes the member's paths to targets; nil if it has not reported them.
	Paths *PathReport
	// LastReceived is when the last datagram arrived from the member directly; zero if none did.
	LastReceived time.Time
}

// Reaches reports whether the member takes requests from others and has a path to targets of the
// service.
func (m *Member) Reaches(name document.ServiceName) bool {
	return m.Paths != nil && !slices.Contains(m.Paths.Lost, name)
}

// Fresh reports whether the member's state is current.
func (m *Member) Fresh(now time.Time) bool {
	return !m.LastReceived.IsZero() && now.Sub(m.LastReceived) < freshTimeout
}

// Update applies a packet that came from the member directly.
func (m *Member) Update(now time.Time, p *Packet) {
	m.meet(p)
	if p.Heartbeat {
		m.Instances = p.Instances
	}
	// Packets to other zones carry no versions.
	m.Document, m.Registry = max(m.Document, p.Document), registry.Later(m.Registry, p.Position())
	m.Log, m.LastReceived = p.Log, now
	if p.Paths != nil {
		m.Paths = p.Paths
	}
	if p.LogAvailability != nil {
		m.LogAvailability = p.LogAvailability.Span(now)
	}
	if p.LogFailure != nil {
		m.LogFailure = p.LogFailure.Span(now)
	}
	if p.Complete != nil {
		m.DocumentsComplete = timeOfAge(now, p.Complete.DocumentsMillis)
		m.TargetsComplete = timeOfAge(now, p.Complete.TargetsMillis)
	}
}

// meet records which process a packet is from. What an earlier process told of itself does not hold for a new
// one, which has no state yet.
func (m *Member) meet(p *Packet) {
	if p.Boot > m.Boot {
		*m = Member{Addr: m.Addr, LastReceived: m.LastReceived}
	}
	m.Zone, m.Boot, m.Leaving = p.Zone, p.Boot, p.Leaving
}

// timeOfAge converts an age in a packet that has just arrived to a time. It returns zero if the age is
// invalid.
func timeOfAge(now time.Time, ageMillis int64) time.Time {
	if ageMillis < 0 || ageMillis > maxAgeMillis {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

type member struct {
	Member
	addr   netip.AddrPort
	rank   rankedAddr
	added  time.Time
	sentAt time.Time
	silent bool
	// lastDigest is when a digest of its zone last arrived from it, directly or relayed.
	lastDigest time.Time
	seen       [dedupWindow]uint64
	seenNext   int
}

// isDuplicate reports whether the packet has arrived before, and records it.
func (m *member) isDuplicate(sequence uint64) bool {
	if slices.Contains(m.seen[:], sequence) {
		return true
	}
	m.seen[m.seenNext%dedupWindow] = sequence
	m.seenNext++
	return false
}

// lastContact returns when a datagram last arrived from the member or, if none did, when it was
// discovered.
func (m *member) lastContact() time.Time {
	if m.LastReceived.IsZero() {
		return m.added
	}
	return m.LastReceived
}

// zone is the state of another zone.
type zone struct {
	instances       int
	log             LogState
	lastDigest      time.Time
	logAvailability registry.Span
	logFailure      registry.Span
}

// members is the table of other instances and zones.
type members struct {
	self  rankedAddr
	zone  fleet.Zone
	boot  int64
	table map[string]*member
	zones map[fleet.Zone]*zone
	seeds []string
	// versionsChanged is set when a member reports other versions or another log state.
	versionsChanged bool
}

func newMembers(self string, z fleet.Zone, boot int64) *members {
	return &members{self: newRankedAddr(self), zone: z, boot: boot, table: make(map[string]*member), zones: make(map[fleet.Zone]*zone)}
}

// add adds an instance if it is not in the table. The zone may be empty.
func (ms *members) add(now time.Time, addr string, z fleet.Zone) {
	if addr == ms.self.addr {
		return
	}
	if m := ms.table[addr]; m != nil {
		if m.Zone == "" {
			m.Zone = z
		}
		return
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return
	}
	ms.table[addr] = &member{Member: Member{Addr: addr, Zone: z}, addr: ap, rank: newRankedAddr(addr), added: now}
}

// receiveResult classifies a packet that has just arrived.
type receiveResult uint8

const (
	memberKnown receiveResult = iota
	// memberNew means that the packet is the first of a process.
	memberNew
	// memberReturned means that the member was silent before.
	memberReturned
	// packetIgnored means that the packet is a duplicate or from an earlier process at the address.
	packetIgnored
)

func (ms *members) receive(now time.Time, p *Packet) (*member, receiveResult) {
	ms.add(now, p.Addr, p.Zone)
	m := ms.table[p.Addr]
	if m == nil || p.Boot < m.Boot {
		return m, packetIgnored
	}
	restarted := p.Boot > m.Boot
	if restarted {
		m.seen, m.seenNext = [dedupWindow]uint64{}, 0
	}
	m.meet(p)
	s := ms.receiveDirect(now, m, p, restarted)
	if m.isDuplicate(p.Sequence) {
		return m, packetIgnored
	}
	if p.Digest != nil && p.Zone != ms.zone {
		m.lastDigest, m.Paths = now, p.Paths
		ms.zones[p.Zone] = &zone{instances: p.Digest.Instances, log: p.Log, lastDigest: now, logAvailability: p.LogAvailability.Span(now), logFailure: p.LogFailure.Span(now)}
	}
	return m, s
}

// receiveDirect records a packet that came from its sender directly.
func (ms *members) receiveDirect(now time.Time, m *member, p *Packet, restarted bool) receiveResult {
	if p.Relayed {
		return memberKnown
	}
	s := memberKnown
	switch {
	case m.LastReceived.IsZero() || restarted:
		s = memberNew
	case m.silent:
		s = memberReturned
	}
	m.silent = false
	if m.changesVersions(p) {
		ms.versionsChanged = true
	}
	m.Update(now, p)
	return s
}

// changesVersions reports whether the packet changes the versions or the log state of its sender.
func (m *member) changesVersions(p *Packet) bool {
	return p.Document > m.Document || p.Position().After(m.Registry) || p.Log != m.Log
}

// heartbeatRecipients returns the members that a heartbeat goes to: all of the own zone, and members
// of other zones that have never sent a datagram, unless digests of their zone arrive. Lapsed members
// and those that have never sent a datagram get one only every heartbeatRetryInterval.
func (ms *members) heartbeatRecipients(now time.Time) []netip.AddrPort {
	var to []netip.AddrPort
	retryInterval := heartbeatRetryInterval
	if inStartup(now, ms.boot) {
		retryInterval = 0
	}
	for _, m := range ms.table {
		unresponsive := now.Sub(m.lastContact()) > lapsedTimeout || m.LastReceived.IsZero()
		switch {
		case m.Zone != ms.zone && (!m.LastReceived.IsZero() || ms.hasFreshDigest(now, m.Zone)):
			continue
		case unresponsive && now.Sub(m.sentAt) < retryInterval:
			continue
		}
		m.sentAt = now
		to = append(to, m.addr)
	}
	return to
}

// heartbeatInterval returns the heartbeat interval of members that are neither readers nor bridges.
func (ms *members) heartbeatInterval() time.Duration {
	return min(max(minHeartbeatInterval, time.Duration(ms.zoneSize())*intervalPerMember), maxHeartbeatInterval)
}

// hasFreshDigest reports whether digests of another zone arrive.
func (ms *members) hasFreshDigest(now time.Time, name fleet.Zone) bool {
	z := ms.zones[name]
	return z != nil && now.Sub(z.lastDigest) < zoneFreshTimeout
}

// neighbours returns the members of the own zone that updates go to, as address strings and, in the
// same order, as parsed addresses.
func (ms *members) neighbours(now time.Time) (addrs []string, to []netip.AddrPort) {
	for _, m := range ms.table {
		if m.Zone == ms.zone && !m.LastReceived.IsZero() && now.Sub(m.LastReceived) < silentTimeout {
			addrs = append(addrs, m.Addr)
			to = append(to, m.addr)
		}
	}
	return addrs, to
}

// zoneSize returns the number of members that may be in the own zone.
func (ms *members) zoneSize() int {
	n := 0
	for _, m := range ms.table {
		if m.Zone == ms.zone || m.Zone == "" {
			n++
		}
	}
	return n
}

// bridges returns the instances of other zones that updates go to.
func (ms *members) bridges(now time.Time) []netip.AddrPort {
	byZone := make(map[fleet.Zone][]*member)
	for _, m := range ms.table {
		if m.Zone != ms.zone && m.Zone != "" && !m.Leaving {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	var to []netip.AddrPort
	for _, ms := range byZone {
		for _, m := range selectBridges(now, ms) {
			to = append(to, m.addr)
		}
	}
	return to
}

// selectBridges sorts a zone's members by whether they have acted as bridges recently and by rank,
// and returns the first ones.
func selectBridges(now time.Time, ms []*member) []*member {
	slices.SortFunc(ms, func(a, b *member) int {
		if x, y := now.Sub(a.lastDigest) < zoneFreshTimeout, now.Sub(b.lastDigest) < zoneFreshTimeout; x != y {
			if x {
				return -1
			}
			return 1
		}
		return a.rank.compare(b.rank)
	})
	return ms[:min(len(ms), bridgesPerZone)]
}

// position returns this instance's position in its zone's order of ranks, from 0. The first ones
// are the bridges.
func (ms *members) position(now time.Time) int {
	before := 0
	young := ms.belowBridgeAge(now, ms.boot)
	for _, m := range ms.table {
		if m.Zone != ms.zone || m.Leaving || !m.Fresh(now) {
			continue
		}
		otherYoung := ms.belowBridgeAge(now, m.Boot)
		if (young && !otherYoung) || (young == otherYoung && m.rank.compare(ms.self) < 0) {
			before++
		}
	}
	return before
}

// belowBridgeAge reports whether a process started so recently that it may not have received all
// that its zone reported within a budget's window.
func (ms *members) belowBridgeAge(now time.Time, boot int64) bool {
	return now.UnixMilli()-boot < minBridgeAge.Milliseconds()
}

// rankedAddr is the address of an instance with its rank. The rank is stored because a fleet is
// sorted by it several times per second.
type rankedAddr struct {
	addr string
	rank uint64
}

func newRankedAddr(addr string) rankedAddr { return rankedAddr{addr, Rank(addr)} }

// compare orders instances by rank and, if equal, by address.
func (r rankedAddr) compare(other rankedAddr) int {
	if r.rank != other.rank {
		return cmp.Compare(r.rank, other.rank)
	}
	return strings.Compare(r.addr, other.addr)
}

// Rank determines the order in which roles are assigned to instances; the lowest comes first. It is
// a hash of the address, so that the order is the same everywhere and independent of that of the
// addresses.
func Rank(addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr)) // writing to a hash never fails
	x := h.Sum64()
	x ^= x >> 33
	return x * 0xff51afd7ed558ccd
}

// expire removes members after removalTimeout and returns those that have just become silent.
func (ms *members) expire(now time.Time) []string {
	var lost []string
	for addr, m := range ms.table {
		switch {
		case m.Zone != ms.zone && !m.LastReceived.IsZero():
			continue // members of other zones send no heartbeats to this instance
		case now.Sub(m.lastContact()) > removalTimeout:
			delete(ms.table, addr)
		case !m.LastReceived.IsZero() && !m.silent && now.Sub(m.LastReceived) > silentTimeout:
			m.silent = true
			lost = append(lost, addr)
		}
	}
	return lost
}

// joined reports whether the instance has joined the fleet that it was started in: it has received
// a datagram from one of its seeds, to which all other instances announce themselves too, or a
// digest of another zone.
func (ms *members) joined() bool {
	others := 0
	for _, addr := range ms.seeds {
		if addr == ms.self.addr {
			continue
		}
		others++
		if m := ms.table[addr]; m != nil && !m.LastReceived.IsZero() {
			return true
		}
	}
	return others == 0 || len(ms.zones) > 0
}

// view returns a snapshot of the table.
func (ms *members) view(now time.Time) View {
	v := View{At: now, Zone: ms.zone, PeerCount: len(ms.table), Joined: ms.joined()}
	for _, m := range ms.table {
		if m.LastReceived.IsZero() || now.Sub(m.LastReceived) > lapsedTimeout {
			continue
		}
		v.Members = append(v.Members, m.Member)
		if m.Fresh(now) {
			v.MaxReportedInstances = max(v.MaxReportedInstances, m.Instances)
		}
	}
	for name, z := range ms.zones {
		if now.Sub(z.lastDigest) < lapsedTimeout {
			v.Zones = append(v.Zones, Zone{Name: name, Instances: z.instances, Log: z.log, LastDigest: z.lastDigest, LogAvailability: z.logAvailability, LogFailure: z.logFailure})
		}
	}
	sort.Slice(v.Members, func(a, b int) bool { return v.Members[a].Addr < v.Members[b].Addr })
	return v
}

// inOtherZones returns the members of other zones whose digests arrive, in no order.
func (ms *members) inOtherZones(now time.Time) []*member {
	var all []*member
	for _, m := range ms.table {
		if m.Zone != "" && m.Zone != ms.zone && !m.Leaving && ms.hasFreshDigest(now, m.Zone) {
			all = append(all, m)
		}
	}
	return all
}

// contacts returns the addresses of up to n members of other zones, which rarely change and differ between
// instances.
func (ms *members) contacts(now time.Time, n int) []string {
	all := ms.inOtherZones(now)
	distance := func(m *member) uint64 { return m.rank.rank ^ ms.self.rank }
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(distance(a), distance(b)) })
	addrs := make([]string, min(len(all), n))
	for i := range addrs {
		addrs[i] = all[i].Addr
	}
	return addrs
}

// distant returns up to n random members of other zones whose digests arrive. The last report of paths
// of those that are no bridges is unknown.
func (ms *members) distant(now time.Time, n int) []Member {
	all := ms.inOtherZones(now)
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	sample := make([]Member, min(len(all), n))
	for i := range sample {
		sample[i] = all[i].Member
	}
	return sample
}

func (ms *members) samplePeers(now time.Time) []Peer {
	var fresh []Peer
	for _, m := range ms.table {
		if m.Fresh(now) || now.Sub(m.lastDigest) < zoneFreshTimeout {
			fresh = append(fresh, Peer{Addr: m.Addr, Zone: m.Zone})
		}
	}
	rand.Shuffle(len(fresh), func(a, b int) { fresh[a], fresh[b] = fresh[b], fresh[a] })
	n := peerSampleSize
	if ms.startupUnderway(now) {
		n = startupPeerSampleSize
	}
	return fresh[:min(len(fresh), n)]
}

// startupUnderway reports whether this instance or one that it receives from has just started.
func (ms *members) startupUnderway(now time.Time) bool {
	if inStartup(now, ms.boot) {
		return true
	}
	for _, m := range ms.table {
		if m.Fresh(now) && inStartup(now, m.Boot) {
			return true
		}
	}
	return false
}

func inStartup(now time.Time, boot int64) bool {
	return now.UnixMilli()-boot < startupPeriod.Milliseconds()
}

// View is a snapshot of the other instances, sorted by address, and of the other zones.
type View struct {
	At      time.Time
	Zone    fleet.Zone
	Members []Member
	Zones   []Zone
	// PeerCount is the number of other instances in the table, including those that have never sent
	// a datagram.
	PeerCount int
	// Joined is set if this instance has received from a seed or another zone, or has no seeds.
	// Otherwise it may have discovered only a few of many instances.
	Joined bool
	// MaxReportedInstances is the largest instance count that a member reports; 0 if none is
	// certain of its count.
	MaxReportedInstances int
	// Interval is the heartbeat interval of members that are neither readers nor bridges.
	Interval time.Duration
}

// Zone is the state of another zone as its bridges last reported it.
type Zone struct {
	Name       fleet.Zone
	Instances  int
	Log        LogState
	LastDigest time.Time
	// LogAvailability is the last span in which the store's log responded to any instance, as the
	// bridges reported it; LogFailure is the last one in which a call of one of the zone's
	// instances had no answer.
	LogAvailability, LogFailure registry.Span
}

// Fresh reports whether digests of the zone arrive.
func (z *Zone) Fresh(now time.Time) bool { return now.Sub(z.LastDigest) < zoneFreshTimeout }

// Instances returns the maximum number of instances in the fleet, including this one. Those that
// have never sent a datagram count too, since they may be on the other side of a network partition.
func (v View) Instances() int {
	n := v.ZoneInstances()
	for i := range v.Zones {
		n += v.Zones[i].Instances
	}
	return max(n, v.PeerCount+1)
}

// Timeouts for a member whose role the others depend on: minResponsiveTimeout for a reader of the
// store, which sends heartbeats every minHeartbeatInterval in a fleet of any size, and at least
// responsiveIntervals heartbeat intervals for others. A silent reader is thus replaced soon enough
// for a change to be in force everywhere within 2 s.
const (
	minResponsiveTimeout = responsiveIntervals * minHeartbeatInterval
	responsiveIntervals  = 3
	// ReaderTimeout is the time after which a reader of the store that sends no datagrams is replaced.
	ReaderTimeout = minResponsiveTimeout
)

// Responsive reports whether a datagram from the member arrived so recently that the others may
// depend on its role.
func (v View) Responsive(m *Member) bool {
	within := minResponsiveTimeout
	if m.Log == LogUnread {
		within = max(minResponsiveTimeout, responsiveIntervals*v.Interval)
	}
	return !m.LastReceived.IsZero() && v.At.Sub(m.LastReceived) < within
}

// ZoneInstances returns the number of instances in the own zone, including this one.
func (v View) ZoneInstances() int {
	n := 1
	for i := range v.Members {
		if v.Members[i].Zone == v.Zone {
			n++
		}
	}
	return n
}
