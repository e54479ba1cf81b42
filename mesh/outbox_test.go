package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

func passedPacket(i int) *Packet {
	return &Packet{Addr: fmt.Sprintf("10.2.0.%d:7600", i%250+1), Zone: "riga-b", Boot: 1_800_000_000_000, Sequence: uint64(i + 1), Evidence: failureOf(i)}
}

func TestNewsWaitsWhileTheLinkCarriesWhatWasSent(t *testing.T) {
	o := newOutbox(smallLink)
	now := time.Now()
	assert.Equal(t, o.wait(now), time.Duration(0))
	const datagram, neighbours = 172, 1000
	o.charge(now, neighbours, datagram) // 0.2 MB, of 0.5 MB a second
	wait := o.wait(now)
	assert.Equal(t, wait, 400*time.Millisecond-newsBurst)
	assert.Equal(t, o.wait(now.Add(wait)), time.Duration(0))
}

// contentOf is evidence of a content with the given number of losses.
func contentOf(losses int) ContentEvidence {
	c := ContentEvidence{Served: true, ServedMillis: 30_000}
	for i := range c.Content {
		c.Content[i] = 0xff
	}
	for range losses {
		c.Losses = append(c.Losses, ContentLoss{Target: "i-7f3a91c2ab", Born: 1_800_000_000_000, EndedMillis: 1000, TookMillis: 300})
	}
	return c
}

// mostLosses are those that an instance tells of one content at most.
const mostLosses = 12

func TestContentsFitADatagram(t *testing.T) {
	o := newOutbox(smallLink)
	now := time.Now()
	for i := range 2 * waitingContents {
		o.add(now, &Packet{Contents: []ContentEvidence{contentOf(i%mostLosses + 1)}, Evidence: failureOf(i)})
		q := passedPacket(i)
		q.Contents = []ContentEvidence{contentOf(i%mostLosses + 1)}
		o.pass(now, q, 0)
	}
	contents := 0
	for !o.empty() {
		news, _ := o.next(now.Add(time.Second))
		news.Addr, news.Zone, news.Boot, news.Sequence = "10.2.0.34:7600", "riga-b", 1_800_000_000_000, 1_000_000
		assert.Assert(t, len(encoded(t, news)) <= maxPacket, "%d bytes", len(encoded(t, news)))
		for _, c := range news.Contents {
			assert.Equal(t, c.Losses[0].EndedMillis, int64(2000))
			assert.Equal(t, c.ServedMillis, int64(31_000))
			contents++
		}
	}
	assert.Equal(t, contents, waitingContents)
}

func TestTheSizesOfNewsFitADatagram(t *testing.T) {
	o := newOutbox(smallLink)
	now := time.Now()
	for i := range 3 * waitingEvidence {
		o.add(now, &Packet{Evidence: failureOf(i), Load: []Load{{Target: failureOf(i)[0].Target, InFlight: 3}}})
		o.pass(now, passedPacket(i), 0)
	}
	packets := 0
	for !o.empty() {
		news, _ := o.next(now.Add(2 * time.Second))
		news.Addr, news.Zone, news.Boot, news.Sequence = "10.2.0.34:7600", "riga-b", 1_800_000_000_000, 1_000_000
		assert.Assert(t, len(encoded(t, news)) <= maxPacket, "%d bytes", len(encoded(t, news)))
		packets++
	}
	assert.Assert(t, packets > 1)
}

func TestWaitingNewsIsBoundedAndTheNewestStays(t *testing.T) {
	o := newOutbox(smallLink)
	now := time.Now()
	for i := range waitingPassed + 7 {
		o.pass(now, passedPacket(i), 0)
	}
	for i := range waitingEvidence + 7 {
		o.add(now, &Packet{Evidence: failureOf(i)})
	}
	assert.Equal(t, len(o.passed), waitingPassed)
	assert.Equal(t, o.passed[0].what.Sequence, uint64(8))
	assert.Equal(t, len(o.evidence), waitingEvidence)
	assert.Equal(t, o.dropped, int64(14))
}

func TestNewsGrowsOlderWhileItWaits(t *testing.T) {
	const waited = 80 * time.Millisecond
	o := newOutbox(smallLink)
	now := time.Now()
	o.add(now, &Packet{Evidence: failureOf(1)})
	o.pass(now, passedPacket(2), 0)
	o.pass(now, &Packet{Addr: "10.2.0.1:7600", Digest: &Digest{Successes: []Successes{{Count: 1, AgeMillis: 10}}}}, 0)
	news, digest := o.next(now.Add(waited))
	assert.Equal(t, news.Evidence[0].AgeMillis, int64(380))
	assert.Equal(t, news.Passed[0].Evidence[0].AgeMillis, int64(380))
	assert.Equal(t, digest.Digest.Successes[0].AgeMillis, int64(90))
	assert.Assert(t, o.empty())
}

func TestOnlyTheLatestLoadAndDigestWait(t *testing.T) {
	o := newOutbox(smallLink)
	now := time.Now()
	o.add(now, &Packet{Load: []Load{{Target: "t", InFlight: 1}}})
	o.add(now, &Packet{Load: []Load{{Target: "t", InFlight: 2}}})
	o.pass(now, &Packet{Addr: "10.2.0.1:7600", Zone: "riga-b", Digest: &Digest{Instances: 5}}, 0)
	o.pass(now, &Packet{Addr: "10.2.0.2:7600", Zone: "riga-b", Digest: &Digest{Instances: 6}}, 0)
	news, digest := o.next(now)
	assert.DeepEqual(t, news.Load, []Load{{Target: "t", InFlight: 2}})
	assert.Equal(t, digest.Digest.Instances, 6)
	o.add(now, &Packet{Load: []Load{{Target: "t", InFlight: 3}}})
	o.superseded()
	assert.Assert(t, o.empty(), "a heartbeat tells all loads")
}

// TestNewsThatIsPassedOnTogetherCountsOnce: both bridges of a zone pass on the same
// packets, in datagrams of their own making.
func TestNewsThatIsPassedOnTogetherCountsOnce(t *testing.T) {
	h := startNode(t, "riga-a")
	bridge := func(addr string, passed ...*Packet) *Packet {
		return &Packet{Addr: addr, Zone: "riga-a", Boot: 1, Sequence: 1, Passed: passed}
	}
	h.Take(encoded(t, bridge("127.0.0.1:1", passedPacket(1), passedPacket(2))))
	h.Take(encoded(t, bridge("127.0.0.1:2", passedPacket(2), passedPacket(3))))
	for i := 1; i <= 3; i++ {
		assert.Equal(t, h.evidence(failureOf(i)[0].Target), 1, "%d", i)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.packets {
		if len(p.Evidence) > 0 {
			assert.Equal(t, p.Zone, passedPacket(1).Zone)
			assert.Assert(t, p.Evidence[0].What == suspicion.Failure)
		}
	}
}

func TestAPassedPacketWithoutAnAddressIsRefused(t *testing.T) {
	_, err := decode(encoded(t, &Packet{Addr: "127.0.0.1:1", Passed: []*Packet{{Zone: "riga-b"}}}))
	assert.ErrorContains(t, err, "without an address")
}

// TestWhenTheStoreAnsweredIsToldByAge: a packet that a bridge holds back tells the same moments as one
// that goes at once.
func TestWhenTheStoreAnsweredIsToldByAge(t *testing.T) {
	now := time.Unix(1000, 0)
	s := registry.Span{From: now.Add(-time.Minute), Until: now.Add(-time.Second)}
	p := &Packet{Addr: "10.0.0.1:1", Answered: AnsweredAt(now, s)}
	const waited = 70 * time.Millisecond
	b, err := encode(aged(p, waited))
	assert.NilError(t, err)
	q, err := decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, q.Answered.Span(now.Add(waited)), s)
	assert.Assert(t, AnsweredAt(now, registry.Span{}) == nil)
	assert.Assert(t, (*Answered)(nil).Span(now).IsZero())
	for _, bad := range []Answered{{FromMillis: -1, UntilMillis: -2}, {FromMillis: 1, UntilMillis: 2}, {FromMillis: 1 << 62, UntilMillis: 1 << 62}} {
		assert.Assert(t, bad.Span(now).IsZero(), bad)
	}
	assert.Equal(t, (&Answered{FromMillis: 1 << 62}).Span(now).Until, now)
}
