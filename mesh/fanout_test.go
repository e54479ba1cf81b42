package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// wideLink carries all that a test sends, so that only gathering bounds the datagrams.
const wideLink = 1 << 40

// zoneSizes are the neighbours of an instance in fleets of 293 and 920 in five zones.
var zoneSizes = []int{58, 184}

// sentBy returns how many datagrams leave the node while f runs and until settled after.
func sentBy(n *Node, f func(), settled time.Duration) int {
	before := n.Stats().Sent
	f()
	time.Sleep(settled)
	return int(n.Stats().Sent - before)
}

// elsewhere are instances of another zone that a bridge has heard.
const elsewhere = 5

// bridgeOf returns a node that sends no heartbeats by itself, in a zone with the given number
// of neighbours, which is first or second in the zone's order.
func bridgeOf(t testing.TB, neighbours int, first bool) *Node {
	n, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.UnixMilli(1), LinkBytes: wideLink}, Callbacks{
		Fill:   func(time.Time, *Packet) {},
		Greet:  func(time.Time, *Packet) {},
		Digest: func(time.Time, bool) *Digest { return new(Digest) },
		Take:   func(time.Time, *Packet) {},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.conn.Close() })
	hearNeighbours(t, n, neighbours)
	for i := range elsewhere {
		n.Take(encoded(t, failureElsewhere(i, 0)))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members.table {
		m.rank.rank = max(m.rank.rank, 2)
	}
	n.members.self.rank = 1
	if !first {
		for addr, m := range n.members.table {
			if m.Zone == "a" {
				n.members.table[addr].rank.rank = 0
				break
			}
		}
	}
	n.changed()
	return n
}

// failureElsewhere is a datagram of another zone, with a failed attempt unless it is the
// sender's first.
func failureElsewhere(i, sequence int) *Packet {
	p := &Packet{Addr: fmt.Sprintf("127.0.9.%d:9", i%elsewhere+1), Zone: "b", Boot: 1, Sequence: uint64(sequence) + 1}
	if sequence > 0 {
		p.Evidence = failureOf(i)
	}
	return p
}

// failuresElsewhere are such datagrams, the sequences of which begin at the given one.
func failuresElsewhere(count, from int) []*Packet {
	var all []*Packet
	for i := range count {
		all = append(all, failureElsewhere(i, from+i))
	}
	return all
}

// TestABridgePutsNewsTogether: at 293 instances 80 failed attempts a second of other zones
// reached each instance, each in a datagram from both bridges of its zone: of 430 datagrams
// a second that an instance took in for 3 requests, 160 were these. A fleet of this size
// spent 494 s of processor time within a minute, most of it on datagrams.
func TestABridgePutsNewsTogether(t *testing.T) {
	const failures, within = 40, 100 * time.Millisecond
	for _, neighbours := range zoneSizes {
		n := bridgeOf(t, neighbours, true)
		began := time.Now()
		sent := sentBy(n, func() {
			for _, p := range failuresElsewhere(failures, 1) {
				n.Take(encoded(t, p))
				time.Sleep(within / failures)
			}
		}, 2*gatherFor)
		most := 1 + int(time.Since(began)/gatherFor) // datagrams to each neighbour
		assert.Assert(t, sent <= neighbours*most, "%d datagrams to %d neighbours", sent, neighbours)
		assert.Assert(t, sent >= neighbours)
	}
}

// TestTheSecondBridgeLeavesToTheFirstWhatItPassedOn: both get all news of other zones, so that
// each reaches the zone if one of them is lost; most of the time one copy is enough.
func TestTheSecondBridgeLeavesToTheFirstWhatItPassedOn(t *testing.T) {
	const failures = 20
	for _, neighbours := range zoneSizes {
		n := bridgeOf(t, neighbours, false)
		passOn := func(from, lost int) func() {
			return func() {
				for i, p := range failuresElsewhere(failures, from) {
					n.Take(encoded(t, p))
					if i >= lost {
						p.Relayed = true
						n.Take(encoded(t, p))
					}
				}
			}
		}
		assert.Equal(t, sentBy(n, passOn(1, 0), 2*secondAfter), 0)
		sent := sentBy(n, passOn(failures+1, 3), 2*secondAfter)
		assert.Equal(t, sent, neighbours, "what the first bridge lost is passed on")
	}
}

// TestALoadIsToldToThoseWhomItConcerns: each attempt was told to all of the zone, 270
// datagrams a second at each of 293 instances, though a target is among the likely choices
// of a few instances only.
func TestALoadIsToldToThoseWhomItConcerns(t *testing.T) {
	const concerned = 9
	for _, neighbours := range zoneSizes {
		n := bridgeOf(t, neighbours, true)
		some := func(addr string) bool {
			ap, err := netip.ParseAddrPort(addr)
			assert.NilError(t, err)
			return ap.Addr().As4()[2] == 1 && ap.Addr().As4()[3] <= concerned
		}
		load := Load{Target: "t", InFlight: 1}
		assert.Equal(t, sentBy(n, func() { n.TellLoad(load, some) }, 0), concerned)
		assert.Equal(t, sentBy(n, func() { n.Tell(Packet{Load: []Load{load}}) }, 0), neighbours)
		failed := Packet{Load: []Load{load}, Evidence: failureOf(1)}
		assert.Equal(t, sentBy(n, func() { n.Tell(failed) }, 0), neighbours+bridges, "a failure concerns all")
	}
}

// TestHeartbeatsOfALargeZoneKeepMembersInIt: a member that is not heard for silentAfter gets
// no more news, and one lost datagram must not do that, at any size. Bridges are replaced
// sooner, and so must be heard more often.
func TestHeartbeatsOfALargeZoneKeepMembersInIt(t *testing.T) {
	for _, neighbours := range []int{11, 58, 184} {
		n := inZoneOf(t, neighbours)
		n.mu.Lock()
		n.members.boot = 1
		for i := range 5 * neighbours {
			n.members.add(time.Now(), fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), fleet.Zone("elsewhere"))
		}
		n.routes = routes{at: time.Now(), place: bridges}
		every := n.beatEvery()
		n.routes.place = 0
		bridge := n.beatEvery()
		n.mu.Unlock()
		assert.Assert(t, 2*every < silentAfter, "%d neighbours: every %v", neighbours, every)
		assert.Assert(t, 2*bridge < freshFor, "%d neighbours: every %v", neighbours, bridge)
	}
}

// TestLoansTellTheStandingOfAReader: a datagram without it would make the others take a reader
// of the store for one that has stopped reading, and read themselves.
func TestLoansTellTheStandingOfAReader(t *testing.T) {
	other := startNode(t, "a")
	reader, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.Now(), Seeds: []string{other.Addr()}}, Callbacks{
		Fill:   func(_ time.Time, p *Packet) { p.Document, p.Log = 9, LogAnswers },
		Greet:  func(time.Time, *Packet) {},
		Digest: func(time.Time, bool) *Digest { return new(Digest) },
		Take:   func(time.Time, *Packet) {},
	})
	assert.NilError(t, err)
	go reader.Run(t.Context())
	eventually(t, "they know each other", func() bool { return len(other.View().Members) == 1 && len(reader.View().Members) == 1 })
	loans := []Loan{{Service: "s", Permille: 500}}
	reader.AskForLoans(loans, 1)
	reader.Lend(other.Addr(), loans)
	eventually(t, "loans arrive", func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		asked, lent := false, false
		for _, p := range other.packets {
			if len(p.Asks)+len(p.Loans) > 0 {
				assert.Equal(t, p.Log, LogAnswers)
				assert.Equal(t, p.Document, document.Version(9))
			}
			asked, lent = asked || len(p.Asks) > 0, lent || len(p.Loans) > 0
		}
		return asked && lent
	})
}
