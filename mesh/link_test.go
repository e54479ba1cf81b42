package mesh

import (
	"context"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/suspicion"
)

// smallLinkBytes is the capacity of the smallest links of a fleet, in bytes per second (10 Mbit/s).
const smallLinkBytes = 1_250_000

// simulatedLink computes the queue on a node's link from what the node sends.
type simulatedLink struct {
	node        *Node
	sentBytes   int64
	queuedBytes float64
	updatedAt   time.Time
	// maxDelay is the longest time that a datagram was queued.
	maxDelay time.Duration
}

func (l *simulatedLink) update() {
	now := time.Now()
	s := l.node.Stats()
	sent := ipUDPHeaderBytes * s.Sent
	for _, b := range s.SentBytes {
		sent += b
	}
	if !l.updatedAt.IsZero() {
		l.queuedBytes = max(l.queuedBytes-now.Sub(l.updatedAt).Seconds()*smallLinkBytes, 0) + float64(sent-l.sentBytes)
	}
	l.updatedAt, l.sentBytes = now, sent
	l.maxDelay = max(l.maxDelay, time.Duration(l.queuedBytes/smallLinkBytes*float64(time.Second)))
}

// newNodeWithNeighbours returns a node that has received from the given number of instances of its
// zone, at addresses where a socket discards what is sent.
func newNodeWithNeighbours(t testing.TB, neighbours int) *Node {
	n := startNode(t, "a").Node
	receiveFromNeighbours(t, n, neighbours)
	return n
}

func receiveFromNeighbours(t testing.TB, n *Node, neighbours int) {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = sink.Close() })
	port := sink.LocalAddr().(*net.UDPAddr).Port
	for i := range neighbours {
		n.HandleDatagram(mustEncode(t, &Packet{Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, port), Zone: "a", Boot: 1, Sequence: 1}))
	}
}

func mustEncode(t testing.TB, p *Packet) []byte {
	b, err := encode(p)
	assert.NilError(t, err)
	return b
}

// failureEvidence returns the evidence of a failed attempt at a target.
func failureEvidence(i int) []Evidence {
	return []Evidence{{Service: "bookings", Target: fleet.TargetID(fmt.Sprintf("i-%010d", i)), Observation: suspicion.Failure, AgeMillis: 300}}
}

// TestUpdatesDoNotDelayAnnouncements guards against updates that fill a bridge's link. In a fleet
// of 134 instances under twice the usual load for three seconds, a confirmed change of routes was
// in force at the readers of the store after 50 ms, but nowhere else for two seconds, so that
// requests went to the targets of the old routes.
//
// Each failed attempt is sent to the two bridges of each other zone at once, and each bridge
// relayed it to its 44 neighbours in a datagram of its own: at 600 failed attempts per second, a
// bridge sent 2.3 MB/s without headers over a link of 1.25 MB/s, which delayed its announcements,
// heartbeats, store reads and responses to pulls by seconds. The bridges of a zone and its readers
// of the store were the same instances, the first by rank, as were those that replaced them.
// Relayed packets were 85% of the bytes that the readers sent, and only their links were full.
//
// Here one bridge relays 600 failures per second and sends 60 of its own, and must not delay an
// announcement by more than 250 ms.
func TestUpdatesDoNotDelayAnnouncements(t *testing.T) {
	const (
		neighbours       = 44
		senders          = 20
		relayedPerSecond = 600
		ownPerSecond     = 60
		duration         = 1500 * time.Millisecond
		maxDelay         = 250 * time.Millisecond
	)
	n := newNodeWithNeighbours(t, neighbours)
	l := &simulatedLink{node: n}
	l.update()
	sequence, ownSent := 0, 0
	for began := time.Now(); time.Since(began) < duration; time.Sleep(time.Millisecond) {
		for due := int(relayedPerSecond * time.Since(began).Seconds()); sequence < due; sequence++ {
			n.HandleDatagram(mustEncode(t, &Packet{
				Addr: fmt.Sprintf("10.2.0.%d:7600", sequence%senders), Zone: "riga-b", Boot: began.UnixMilli(),
				Sequence: uint64(sequence) + 1, Evidence: failureEvidence(sequence),
			}))
		}
		for due := int(ownPerSecond * time.Since(began).Seconds()); ownSent < due; ownSent++ {
			n.SendUpdate(Packet{Load: []Load{{Target: "i-0000000001", InFlight: ownSent % 3}}, Evidence: failureEvidence(ownSent)})
		}
		l.update()
	}
	n.Announce(Packet{Versions: Versions{Document: 8}})
	l.update()
	assert.Assert(t, l.maxDelay < maxDelay, "an announcement is delayed by %v", l.maxDelay.Round(time.Millisecond))
}

// TestReaderHeartbeatIntervalInLargeFleet: the others replace a reader that is silent for three of
// the shortest intervals, so the interval of its heartbeats must not grow with the fleet.
func TestReaderHeartbeatIntervalInLargeFleet(t *testing.T) {
	const (
		instances = 920
		duration  = 1300 * time.Millisecond
	)
	heartbeats := func(log LogState) int {
		sent := 0
		n, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.Now().Add(-time.Hour)}, Callbacks{
			FillHeartbeat: func(_ time.Time, p *Packet) {
				p.Log = log
				sent++
			},
			FillGreeting: func(time.Time, *Packet) {},
			Digest:       func(time.Time, bool) *Digest { return new(Digest) },
			Handle:       func(time.Time, *Packet) {},
		})
		assert.NilError(t, err)
		for i := range instances {
			n.AddPeers([]string{fmt.Sprintf("127.0.%d.%d:9", i/250+1, i%250+1)})
		}
		for i := range bridgesPerZone { // members that precede it in the order of the zone
			n.HandleDatagram(mustEncode(t, &Packet{Addr: fmt.Sprintf("127.0.9.%d:9", i+1), Zone: "a", Boot: 1, Sequence: 1}))
		}
		n.members.self.rank = math.MaxUint64
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		n.Run(ctx)
		return sent
	}
	assert.Assert(t, heartbeats(LogAvailable) >= 4)
	assert.Equal(t, heartbeats(LogUnread), 1+int(duration/maxHeartbeatInterval))
}

// TestJoinedAfterSeedOrOtherZone: instances that started on the same side of a network partition
// may be a few of many, whatever instance count they report.
func TestJoinedAfterSeedOrOtherZone(t *testing.T) {
	const seed, other = "10.0.0.1:1", "10.0.0.2:1"
	now := time.Now()
	fresh := func(seeds ...string) *members {
		ms := newMembers("10.0.0.9:1", "a", now.UnixMilli())
		ms.seeds = seeds
		return ms
	}
	assert.Assert(t, fresh().joined(), "no seeds")
	assert.Assert(t, fresh("10.0.0.9:1").joined(), "the only seed is the instance itself")

	ms := fresh(seed, "10.0.0.9:1")
	ms.receive(now, &Packet{Addr: other, Zone: "a", Boot: 1, Sequence: 1, Heartbeat: true, Instances: 130})
	assert.Assert(t, !ms.view(now).Joined)
	assert.Equal(t, ms.view(now).MaxReportedInstances, 130)
	ms.receive(now, &Packet{Addr: seed, Zone: "a", Boot: 1, Sequence: 1})
	assert.Assert(t, ms.view(now).Joined)

	ms = fresh(seed)
	ms.receive(now, &Packet{Addr: other, Zone: "b", Boot: 1, Sequence: 1, Relayed: true, Digest: &Digest{Instances: 40}})
	assert.Assert(t, ms.view(now).Joined)

	later := now.Add(freshTimeout + time.Second)
	assert.Equal(t, ms.view(later).MaxReportedInstances, 0)
}
