package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

func relayedPacket(i int) *Packet {
	return &Packet{Addr: fmt.Sprintf("10.2.0.%d:7600", i%250+1), Zone: "riga-b", Boot: 1_800_000_000_000, Sequence: uint64(i + 1), Evidence: failureEvidence(i)}
}

func TestUpdatesWaitForLinkShare(t *testing.T) {
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	assert.Equal(t, o.linkDelay(now), time.Duration(0))
	const datagram, neighbours = 172, 1000
	o.charge(now, neighbours, datagram) // 0.2 MB of 0.5 MB/s
	wait := o.linkDelay(now)
	assert.Equal(t, wait, 400*time.Millisecond-updateBurst)
	assert.Equal(t, o.linkDelay(now.Add(wait)), time.Duration(0))
}

// contentWithLosses returns evidence of a content with the given number of losses.
func contentWithLosses(losses int) ContentEvidence {
	c := ContentEvidence{Served: true, ServedAgeMillis: 30_000}
	for i := range c.Content {
		c.Content[i] = 0xff
	}
	for range losses {
		c.Losses = append(c.Losses, ContentLoss{Target: "i-7f3a91c2ab", ProcessStartMillis: 1_800_000_000_000, EndAgeMillis: 1000, DurationMillis: 300})
	}
	return c
}

// maxLosses is the maximum number of losses that an instance sends for one content.
const maxLosses = 12

func TestContentsFitDatagram(t *testing.T) {
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	for i := range 2 * maxQueuedContents {
		o.addOwn(now, &Packet{Contents: []ContentEvidence{contentWithLosses(i%maxLosses + 1)}, Evidence: failureEvidence(i)})
		q := relayedPacket(i)
		q.Contents = []ContentEvidence{contentWithLosses(i%maxLosses + 1)}
		o.addRelay(now, q, 0)
	}
	contents := 0
	for !o.empty() {
		update, _ := o.next(now.Add(time.Second))
		update.Addr, update.Zone, update.Boot, update.Sequence = "10.2.0.34:7600", "riga-b", 1_800_000_000_000, 1_000_000
		assert.Assert(t, len(mustEncode(t, update)) <= maxPacketBytes, "%d bytes", len(mustEncode(t, update)))
		for _, c := range update.Contents {
			assert.Equal(t, c.Losses[0].EndAgeMillis, int64(2000))
			assert.Equal(t, c.ServedAgeMillis, int64(31_000))
			contents++
		}
	}
	assert.Equal(t, contents, maxQueuedContents)
}

func TestUpdatesFitDatagram(t *testing.T) {
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	for i := range 3 * maxQueuedEvidence {
		o.addOwn(now, &Packet{Evidence: failureEvidence(i), Load: []Load{{Target: failureEvidence(i)[0].Target, InFlight: 3}}})
		o.addRelay(now, relayedPacket(i), 0)
	}
	packets := 0
	for !o.empty() {
		update, _ := o.next(now.Add(2 * time.Second))
		update.Addr, update.Zone, update.Boot, update.Sequence = "10.2.0.34:7600", "riga-b", 1_800_000_000_000, 1_000_000
		assert.Assert(t, len(mustEncode(t, update)) <= maxPacketBytes, "%d bytes", len(mustEncode(t, update)))
		packets++
	}
	assert.Assert(t, packets > 1)
}

func TestQueuesAreBoundedAndKeepNewest(t *testing.T) {
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	for i := range maxQueuedRelays + 7 {
		o.addRelay(now, relayedPacket(i), 0)
	}
	for i := range maxQueuedEvidence + 7 {
		o.addOwn(now, &Packet{Evidence: failureEvidence(i)})
	}
	assert.Equal(t, len(o.relays), maxQueuedRelays)
	assert.Equal(t, o.relays[0].value.Sequence, uint64(8))
	assert.Equal(t, len(o.evidence), maxQueuedEvidence)
	assert.Equal(t, o.dropped, int64(14))
}

func TestAgesGrowInQueue(t *testing.T) {
	const delay = 80 * time.Millisecond
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	o.addOwn(now, &Packet{Evidence: failureEvidence(1)})
	o.addRelay(now, relayedPacket(2), 0)
	o.addRelay(now, &Packet{Addr: "10.2.0.1:7600", Digest: &Digest{Successes: []Successes{{Count: 1, AgeMillis: 10}}}}, 0)
	update, digest := o.next(now.Add(delay))
	assert.Equal(t, update.Evidence[0].AgeMillis, int64(380))
	assert.Equal(t, update.RelayedPackets[0].Evidence[0].AgeMillis, int64(380))
	assert.Equal(t, digest.Digest.Successes[0].AgeMillis, int64(90))
	assert.Assert(t, o.empty())
}

func TestOnlyLatestLoadAndDigestAreQueued(t *testing.T) {
	o := newOutbox(smallLinkBytes)
	now := time.Now()
	o.addOwn(now, &Packet{Load: []Load{{Target: "t", InFlight: 1}}})
	o.addOwn(now, &Packet{Load: []Load{{Target: "t", InFlight: 2}}})
	o.addRelay(now, &Packet{Addr: "10.2.0.1:7600", Zone: "riga-b", Digest: &Digest{Instances: 5}}, 0)
	o.addRelay(now, &Packet{Addr: "10.2.0.2:7600", Zone: "riga-b", Digest: &Digest{Instances: 6}}, 0)
	update, digest := o.next(now)
	assert.DeepEqual(t, update.Load, []Load{{Target: "t", InFlight: 2}})
	assert.Equal(t, digest.Digest.Instances, 6)
	o.addOwn(now, &Packet{Load: []Load{{Target: "t", InFlight: 3}}})
	o.dropLoads()
	assert.Assert(t, o.empty(), "a heartbeat carries all loads")
}

// TestPacketsRelayedByBothBridgesCountOnce: both bridges of a zone relay the same packets, in
// different datagrams.
func TestPacketsRelayedByBothBridgesCountOnce(t *testing.T) {
	h := startNode(t, "riga-a")
	bridge := func(addr string, relayed ...*Packet) *Packet {
		return &Packet{Addr: addr, Zone: "riga-a", Boot: 1, Sequence: 1, RelayedPackets: relayed}
	}
	h.HandleDatagram(mustEncode(t, bridge("127.0.0.1:1", relayedPacket(1), relayedPacket(2))))
	h.HandleDatagram(mustEncode(t, bridge("127.0.0.1:2", relayedPacket(2), relayedPacket(3))))
	for i := 1; i <= 3; i++ {
		assert.Equal(t, h.countEvidence(failureEvidence(i)[0].Target), 1, "%d", i)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.packets {
		if len(p.Evidence) > 0 {
			assert.Equal(t, p.Zone, relayedPacket(1).Zone)
			assert.Assert(t, p.Evidence[0].Observation == suspicion.Failure)
		}
	}
}

func TestRelayedPacketWithoutAddressIsRejected(t *testing.T) {
	_, err := decode(mustEncode(t, &Packet{Addr: "127.0.0.1:1", RelayedPackets: []*Packet{{Zone: "riga-b"}}}))
	assert.ErrorContains(t, err, "relayed packet has no sender address")
}

// TestLogAvailabilityIsSentAsAges: a packet that a bridge delays must yield the same times as one
// that is sent at once.
func TestLogAvailabilityIsSentAsAges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := registry.Span{From: now.Add(-time.Minute), Until: now.Add(-time.Second)}
	p := &Packet{Addr: "10.0.0.1:1", LogAvailability: NewAgeSpan(now, s)}
	const delay = 70 * time.Millisecond
	b, err := encode(agedPacket(p, delay))
	assert.NilError(t, err)
	q, err := decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, q.LogAvailability.Span(now.Add(delay)), s)
	assert.Assert(t, NewAgeSpan(now, registry.Span{}) == nil)
	assert.Assert(t, (*AgeSpan)(nil).Span(now).IsZero())
	for _, bad := range []AgeSpan{{FromMillis: -1, UntilMillis: -2}, {FromMillis: 1, UntilMillis: 2}, {FromMillis: 1 << 62, UntilMillis: 1 << 62}} {
		assert.Assert(t, bad.Span(now).IsZero(), bad)
	}
	assert.Equal(t, (&AgeSpan{FromMillis: 1 << 62}).Span(now).Until, now)
}
