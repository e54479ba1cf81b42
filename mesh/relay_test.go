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

// unlimitedLinkBytes is a link capacity that no test reaches, so that only batching limits the
// datagrams.
const unlimitedLinkBytes = 1 << 40

// neighbourCounts are the neighbours of an instance in fleets of 293 and 920 instances in five
// zones.
var neighbourCounts = []int{58, 184}

// countSent returns the number of datagrams that the node sends while f runs and for the given
// duration after it.
func countSent(n *Node, f func(), settled time.Duration) int {
	before := n.Stats().Sent
	f()
	time.Sleep(settled)
	return int(n.Stats().Sent - before)
}

// remoteSenders is the number of instances of another zone from which a bridge receives.
const remoteSenders = 5

// newBridge returns a bridge that is first or second in the order of its zone, with the given
// number of neighbours. It sends no heartbeats by itself.
func newBridge(t testing.TB, neighbours int, first bool) *Node {
	n, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.UnixMilli(1), LinkBytes: unlimitedLinkBytes}, Callbacks{
		FillHeartbeat: func(time.Time, *Packet) {},
		FillGreeting:  func(time.Time, *Packet) {},
		Digest:        func(time.Time, bool) *Digest { return new(Digest) },
		Handle:        func(time.Time, *Packet) {},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.conn.Close() })
	receiveFromNeighbours(t, n, neighbours)
	for i := range remoteSenders {
		n.HandleDatagram(mustEncode(t, remoteFailure(i, 0)))
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
	n.invalidate()
	return n
}

// remoteFailure returns a packet from another zone, with a failed attempt unless it is the sender's
// first packet.
func remoteFailure(i, sequence int) *Packet {
	p := &Packet{Addr: fmt.Sprintf("127.0.9.%d:9", i%remoteSenders+1), Zone: "b", Boot: 1, Sequence: uint64(sequence) + 1}
	if sequence > 0 {
		p.Evidence = failureEvidence(i)
	}
	return p
}

// remoteFailures returns such packets, with sequence numbers from the given one.
func remoteFailures(count, from int) []*Packet {
	var all []*Packet
	for i := range count {
		all = append(all, remoteFailure(i, from+i))
	}
	return all
}

// TestBridgeBatchesUpdates guards against one datagram per relayed update. With 293 instances, 80
// failed attempts per second in other zones reached each instance, each in a datagram from both
// bridges of its zone: of 430 datagrams per second that an instance received while it served 3
// requests, 160 were these. The fleet used 494 s of processor time within one minute, mostly for
// datagrams.
func TestBridgeBatchesUpdates(t *testing.T) {
	const failures, within = 40, 100 * time.Millisecond
	for _, neighbours := range neighbourCounts {
		n := newBridge(t, neighbours, true)
		began := time.Now()
		sent := countSent(n, func() {
			for _, p := range remoteFailures(failures, 1) {
				n.HandleDatagram(mustEncode(t, p))
				time.Sleep(within / failures)
			}
		}, 2*batchDelay)
		maxSent := 1 + int(time.Since(began)/batchDelay) // datagrams to each neighbour
		assert.Assert(t, sent <= neighbours*maxSent, "%d datagrams to %d neighbours", sent, neighbours)
		assert.Assert(t, sent >= neighbours)
	}
}

// TestSecondBridgeSkipsPacketsRelayedByFirst: both bridges receive all updates of other zones, so
// that these reach the zone if one bridge is lost, but normally one copy suffices.
func TestSecondBridgeSkipsPacketsRelayedByFirst(t *testing.T) {
	const failures = 20
	for _, neighbours := range neighbourCounts {
		n := newBridge(t, neighbours, false)
		relay := func(from, lost int) func() {
			return func() {
				for i, p := range remoteFailures(failures, from) {
					n.HandleDatagram(mustEncode(t, p))
					if i >= lost {
						p.Relayed = true
						n.HandleDatagram(mustEncode(t, p))
					}
				}
			}
		}
		assert.Equal(t, countSent(n, relay(1, 0), 2*standbyRelayDelay), 0)
		sent := countSent(n, relay(failures+1, 3), 2*standbyRelayDelay)
		assert.Equal(t, sent, neighbours, "packets that the first bridge did not relay")
	}
}

// TestLoadIsSentToMatchingNeighbours: sending the load of each attempt to the whole zone took 270
// datagrams per second at each of 293 instances, although only a few instances are likely to choose
// the same target.
func TestLoadIsSentToMatchingNeighbours(t *testing.T) {
	const matching = 9
	for _, neighbours := range neighbourCounts {
		n := newBridge(t, neighbours, true)
		match := func(addr string) bool {
			ap, err := netip.ParseAddrPort(addr)
			assert.NilError(t, err)
			return ap.Addr().As4()[2] == 1 && ap.Addr().As4()[3] <= matching
		}
		load := Load{Target: "t", InFlight: 1}
		assert.Equal(t, countSent(n, func() { n.SendLoad(load, match) }, 0), matching)
		assert.Equal(t, countSent(n, func() { n.SendUpdate(Packet{Load: []Load{load}}) }, 0), neighbours)
		failed := Packet{Load: []Load{load}, Evidence: failureEvidence(1)}
		assert.Equal(t, countSent(n, func() { n.SendUpdate(failed) }, 0), neighbours+bridgesPerZone, "failures go to all neighbours and the other zone's bridges")
	}
}

// TestHeartbeatIntervalsFitTimeoutsInLargeZones: a member gets no more updates once it is silent
// for silentTimeout, which one lost datagram must not cause in a zone of any size. Bridges are
// replaced sooner and therefore have to send more often.
func TestHeartbeatIntervalsFitTimeoutsInLargeZones(t *testing.T) {
	for _, neighbours := range []int{11, 58, 184} {
		n := newNodeWithNeighbours(t, neighbours)
		n.mu.Lock()
		n.members.boot = 1
		for i := range 5 * neighbours {
			n.members.add(time.Now(), fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), fleet.Zone("elsewhere"))
		}
		n.routes = routes{computedAt: time.Now(), position: bridgesPerZone}
		interval := n.heartbeatIntervalLocked()
		n.routes.position = 0
		bridge := n.heartbeatIntervalLocked()
		n.mu.Unlock()
		assert.Assert(t, 2*interval < silentTimeout, "heartbeat interval %[2]v with %[1]d neighbours", neighbours, interval)
		assert.Assert(t, 2*bridge < freshTimeout, "heartbeat interval %[2]v of bridges with %[1]d neighbours", neighbours, bridge)
	}
}

// TestLoanPacketsCarryVersions: from a packet without versions and log state, the others would
// conclude that a reader of the store has stopped reading, and read the store themselves.
func TestLoanPacketsCarryVersions(t *testing.T) {
	other := startNode(t, "a")
	reader, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.Now(), Seeds: []string{other.Addr()}}, Callbacks{
		FillHeartbeat: func(_ time.Time, p *Packet) { p.Document, p.Log = 9, LogAvailable },
		FillGreeting:  func(time.Time, *Packet) {},
		Digest:        func(time.Time, bool) *Digest { return new(Digest) },
		Handle:        func(time.Time, *Packet) {},
	})
	assert.NilError(t, err)
	go reader.Run(t.Context())
	eventually(t, "mutual discovery", func() bool { return len(other.View().Members) == 1 && len(reader.View().Members) == 1 })
	loans := []Loan{{Service: "s", Permille: 500}}
	reader.RequestLoans(loans, 1)
	reader.SendLoans(other.Addr(), loans)
	eventually(t, "loan request and loans", func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		requested, granted := false, false
		for _, p := range other.packets {
			if len(p.LoanRequests)+len(p.Loans) > 0 {
				assert.Equal(t, p.Log, LogAvailable)
				assert.Equal(t, p.Document, document.Version(9))
			}
			requested, granted = requested || len(p.LoanRequests) > 0, granted || len(p.Loans) > 0
		}
		return requested && granted
	})
}
