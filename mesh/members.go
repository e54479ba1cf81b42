package mesh

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// Times after which a member that is not heard changes its standing.
const (
	// freshFor is how long what a member told counts as its present state.
	freshFor = 1500 * time.Millisecond
	// silentAfter is when a member is reported as lost. It stays in the count of
	// instances that share a budget.
	silentAfter = 3 * time.Second
	// lapsedAfter is when a member leaves the count. It is still sent a
	// datagram now and then, in case a partition heals.
	lapsedAfter = 12 * time.Second
	// forgottenAfter is when a member that was not heard is dropped.
	forgottenAfter = 5 * time.Minute
	// lapsedEvery is the time between datagrams to a lapsed member.
	lapsedEvery = 2 * time.Second
	// knownSample is how many addresses a heartbeat names.
	knownSample = 4
	// completeShare is the part of the members that must be fresh for the
	// view to count as complete.
	completeShare = 0.85
)

// Member is what is known of another instance.
type Member struct {
	Addr     string
	Zone     fleet.Zone
	Boot     int64
	Leaving  bool
	Document document.Version
	Registry registry.Offset
	Log      LogState
	// Heard is when the last datagram came; zero if none did.
	Heard time.Time
}

// Fresh tells whether the member was heard a moment ago.
func (m *Member) Fresh(now time.Time) bool {
	return !m.Heard.IsZero() && now.Sub(m.Heard) < freshFor
}

type member struct {
	Member
	addr   netip.AddrPort
	added  time.Time
	sentAt time.Time
	silent bool
}

// members is the table of other instances.
type members struct {
	self  string
	table map[string]*member
}

func newMembers(self string) *members {
	return &members{self: self, table: make(map[string]*member)}
}

// add makes an address known. It tells whether it was new.
func (ms *members) add(now time.Time, addr string) bool {
	if addr == ms.self || ms.table[addr] != nil {
		return false
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	ms.table[addr] = &member{Member: Member{Addr: addr}, addr: ap, added: now}
	return true
}

// Standing of a member after a datagram.
type standing uint8

const (
	heardBefore standing = iota
	heardFirst
	heardAgain
	// outdated: the datagram is from an earlier process at the address.
	outdated
)

func (ms *members) heard(now time.Time, p *Packet) (*member, standing) {
	ms.add(now, p.Addr)
	m := ms.table[p.Addr]
	if m == nil {
		return nil, outdated
	}
	if p.Boot < m.Boot {
		return m, outdated
	}
	s := heardBefore
	switch {
	case m.Heard.IsZero() || p.Boot > m.Boot:
		s = heardFirst
	case m.silent:
		s = heardAgain
	}
	m.silent = false
	m.Zone, m.Boot, m.Leaving, m.Log = p.Zone, p.Boot, p.Leaving, p.Log
	m.Document, m.Registry = p.Document, p.Registry
	m.Heard = now
	return m, s
}

// due returns the members that a heartbeat goes to.
func (ms *members) due(now time.Time) []netip.AddrPort {
	var to []netip.AddrPort
	for _, m := range ms.table {
		if now.Sub(m.last()) > lapsedAfter && now.Sub(m.sentAt) < lapsedEvery {
			continue
		}
		m.sentAt = now
		to = append(to, m.addr)
	}
	return to
}

// last is when the member was heard, or else made known.
func (m *member) last() time.Time {
	if m.Heard.IsZero() {
		return m.added
	}
	return m.Heard
}

// present returns the members that news goes to.
func (ms *members) present(now time.Time) []netip.AddrPort {
	var to []netip.AddrPort
	for _, m := range ms.table {
		if !m.Heard.IsZero() && now.Sub(m.Heard) < silentAfter {
			to = append(to, m.addr)
		}
	}
	return to
}

// expire returns the members that have just become silent.
func (ms *members) expire(now time.Time) []string {
	var lost []string
	for addr, m := range ms.table {
		switch {
		case now.Sub(m.last()) > forgottenAfter:
			delete(ms.table, addr)
		case !m.Heard.IsZero() && !m.silent && now.Sub(m.Heard) > silentAfter:
			m.silent = true
			lost = append(lost, addr)
		}
	}
	return lost
}

// view copies the members that count.
func (ms *members) view(now time.Time) View {
	v := View{At: now}
	for _, m := range ms.table {
		if m.Heard.IsZero() || now.Sub(m.Heard) > lapsedAfter {
			continue
		}
		v.Members = append(v.Members, m.Member)
	}
	sort.Slice(v.Members, func(a, b int) bool { return v.Members[a].Addr < v.Members[b].Addr })
	return v
}

func (ms *members) sample(now time.Time) []string {
	var fresh []string
	for addr, m := range ms.table {
		if m.Fresh(now) {
			fresh = append(fresh, addr)
		}
	}
	rand.Shuffle(len(fresh), func(a, b int) { fresh[a], fresh[b] = fresh[b], fresh[a] })
	return fresh[:min(len(fresh), knownSample)]
}

// View is a snapshot of the other instances, sorted by address.
type View struct {
	At      time.Time
	Members []Member
}

// Complete tells whether nearly all members were heard a moment ago. One that is
// leaving is not missed.
func (v View) Complete() bool {
	present, fresh := 0, 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.Leaving {
			continue
		}
		present++
		if m.Fresh(v.At) {
			fresh++
		}
	}
	return float64(fresh) >= completeShare*float64(present)
}
