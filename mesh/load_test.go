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

// smallLink is what the smallest links of a fleet carry, in bytes a second (10 Mbit/s).
const smallLink = 1_250_000

// link is how much a node's link has still to carry, worked out from what it sends.
type link struct {
	node   *Node
	sent   int64
	queued float64
	at     time.Time
	// longest is the longest time that a datagram waited.
	longest time.Duration
}

func (l *link) look() {
	now := time.Now()
	s := l.node.Stats()
	sent := headerBytes * s.Sent
	for _, b := range s.SentBytes {
		sent += b
	}
	if !l.at.IsZero() {
		l.queued = max(l.queued-now.Sub(l.at).Seconds()*smallLink, 0) + float64(sent-l.sent)
	}
	l.at, l.sent = now, sent
	l.longest = max(l.longest, time.Duration(l.queued/smallLink*float64(time.Second)))
}

// inZoneOf returns a node that has heard the given number of instances of its zone, at
// addresses where a socket takes in what is sent and drops it.
func inZoneOf(t testing.TB, neighbours int) *Node {
	n := startNode(t, "a").Node
	hearNeighbours(t, n, neighbours)
	return n
}

func hearNeighbours(t testing.TB, n *Node, neighbours int) {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = sink.Close() })
	port := sink.LocalAddr().(*net.UDPAddr).Port
	for i := range neighbours {
		n.Take(encoded(t, &Packet{Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, port), Zone: "a", Boot: 1, Sequence: 1}))
	}
}

func encoded(t testing.TB, p *Packet) []byte {
	b, err := encode(p)
	assert.NilError(t, err)
	return b
}

// failureOf is what an attempt that failed says of a target.
func failureOf(i int) []Evidence {
	return []Evidence{{Service: "bookings", Target: fleet.TargetID(fmt.Sprintf("i-%010d", i)), What: suspicion.Failure, AgeMillis: 300}}
}

// TestNewsLeavesTheLinkFreeForAChange: in a fleet of 134 instances callers sent twice their
// usual for three seconds, and a confirmed change of routes was in force at the readers of
// the store 50 ms later and at nobody else for two seconds; requests went where the routes
// of before led.
//
// Failed attempts are told to the two bridges of each other zone at once, and each bridge
// passed each of them on to its 44 neighbours in a datagram of its own. Attempts that fail
// grow with the load: at 600 a second a bridge sent 2.3 MB a second, headers left out,
// over a link that carries 1.25. Its announcements, heartbeats, reads of the store and answers to pulls stood behind
// these for seconds, and the first by rank of a zone were its bridges and its readers
// alike, as were those that replaced them. Proved by the bytes that each instance sent, by
// kind: 85 in 100 of those of the readers were passed on, and no link but theirs was full.
//
// Here one bridge gets as many, beside the news of its own 60 attempts a second, and what
// it sends must not hold up an announcement for longer than a quarter of a second.
func TestNewsLeavesTheLinkFreeForAChange(t *testing.T) {
	const (
		neighbours = 44
		senders    = 20
		passed     = 600 // a second
		own        = 60  // a second
		lasts      = 1500 * time.Millisecond
		wait       = 250 * time.Millisecond
	)
	n := inZoneOf(t, neighbours)
	l := &link{node: n}
	l.look()
	sequence, told := 0, 0
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(time.Millisecond) {
		for due := int(passed * time.Since(began).Seconds()); sequence < due; sequence++ {
			n.Take(encoded(t, &Packet{
				Addr: fmt.Sprintf("10.2.0.%d:7600", sequence%senders), Zone: "riga-b", Boot: began.UnixMilli(),
				Sequence: uint64(sequence) + 1, Evidence: failureOf(sequence),
			}))
		}
		for due := int(own * time.Since(began).Seconds()); told < due; told++ {
			n.Tell(Packet{Load: []Load{{Target: "i-0000000001", InFlight: told % 3}}, Evidence: failureOf(told)})
		}
		l.look()
	}
	n.Announce(Packet{Versions: Versions{Document: 8}})
	l.look()
	assert.Assert(t, l.longest < wait, "an announcement waits for %v", l.longest.Round(time.Millisecond))
}

// TestReadersOfALargeFleetAreHeardOften: the others replace a reader that was silent for three
// of the shortest intervals, so that its heartbeats must not become rarer with the fleet.
func TestReadersOfALargeFleetAreHeardOften(t *testing.T) {
	const (
		instances = 920
		lasts     = 1300 * time.Millisecond
	)
	heartbeats := func(log LogState) int {
		sent := 0
		n, err := Listen(Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.Now().Add(-time.Hour)}, Callbacks{
			Fill: func(_ time.Time, p *Packet) {
				p.Log = log
				sent++
			},
			Greet:  func(time.Time, *Packet) {},
			Digest: func(time.Time, bool) *Digest { return new(Digest) },
			Take:   func(time.Time, *Packet) {},
		})
		assert.NilError(t, err)
		for i := range instances {
			n.Know([]string{fmt.Sprintf("127.0.%d.%d:9", i/250+1, i%250+1)})
		}
		for i := range bridges { // others that are before it in the zone's order
			n.Take(encoded(t, &Packet{Addr: fmt.Sprintf("127.0.9.%d:9", i+1), Zone: "a", Boot: 1, Sequence: 1}))
		}
		n.members.self.rank = math.MaxUint64
		ctx, cancel := context.WithTimeout(t.Context(), lasts)
		defer cancel()
		n.Run(ctx)
		return sent
	}
	assert.Assert(t, heartbeats(LogAnswers) >= 4)
	assert.Equal(t, heartbeats(LogUnread), 1+int(lasts/maxInterval))
}

// TestAProcessHasMetTheFleetOnceASeedOrAnotherZoneIsHeard: others that started behind the same
// cut are a few of many, whatever they say.
func TestAProcessHasMetTheFleetOnceASeedOrAnotherZoneIsHeard(t *testing.T) {
	const seed, other = "10.0.0.1:1", "10.0.0.2:1"
	now := time.Now()
	fresh := func(seeds ...string) *members {
		ms := newMembers("10.0.0.9:1", "a", now.UnixMilli())
		ms.seeds = seeds
		return ms
	}
	assert.Assert(t, fresh().met(), "there are no seeds to meet")
	assert.Assert(t, fresh("10.0.0.9:1").met(), "it is the only seed")

	ms := fresh(seed, "10.0.0.9:1")
	ms.heard(now, &Packet{Addr: other, Zone: "a", Boot: 1, Sequence: 1, Heartbeat: true, Instances: 130})
	assert.Assert(t, !ms.view(now).Met)
	assert.Equal(t, ms.view(now).Told, 130)
	ms.heard(now, &Packet{Addr: seed, Zone: "a", Boot: 1, Sequence: 1})
	assert.Assert(t, ms.view(now).Met)

	ms = fresh(seed)
	ms.heard(now, &Packet{Addr: other, Zone: "b", Boot: 1, Sequence: 1, Relayed: true, Digest: &Digest{Instances: 40}})
	assert.Assert(t, ms.view(now).Met)

	later := now.Add(freshFor + time.Second)
	assert.Equal(t, ms.view(later).Told, 0)
}
