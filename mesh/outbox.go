package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// DefaultLinkBytes is the default capacity of an instance's link in bytes per second: 10
	// Mbit/s, the smallest links of the deployments.
	DefaultLinkBytes = 1_250_000
	// updateShare is the share of the link that datagrams to other instances may use; beyond it,
	// updates wait. The rest is for callers and targets, whose bodies take up to half of a small
	// link at twice the usual load, and for changes of the configuration, which would otherwise be
	// queued behind updates for an unbounded time. The digests that a bridge relays take at most
	// half of this share, since they alternate with other updates.
	updateShare = 0.4
	// updateBurst is the time whose share may be used in advance, so that a few updates can be sent
	// at once. It delays other packets by at most updateShare of that time.
	updateBurst = 100 * time.Millisecond
	// batchDelay is the time for which a bridge batches packets before it relays them in one
	// datagram. The report of a failed attempt is delayed by as much, during which few requests
	// reach the same target; and each neighbour gets fewer than 1/batchDelay datagrams per second,
	// however many attempts fail.
	batchDelay = 20 * time.Millisecond
	// standbyRelayDelay is the time for which the other bridges hold packets, to relay those that
	// the first one did not: enough for the first bridge to batch, wait for its link and send. They
	// batch too: packets that are due within batchDelay are sent together.
	standbyRelayDelay = 100 * time.Millisecond
	// ipUDPHeaderBytes is the size of the IP and UDP headers of a datagram.
	ipUDPHeaderBytes = 28
)

// Limits of the queues, each about as much as can be sent to 44 neighbours over a small link within
// 1 s. When a queue is full, the oldest entries are dropped, since they are the least current; of
// the loads the new one, which the next heartbeat carries.
const (
	maxQueuedEvidence = 256
	maxQueuedLoads    = 128
	maxQueuedContents = 64
	maxQueuedRelays   = 128
)

// Sizes in bytes, by which updates are divided into datagrams. They are for names of about 12
// characters, as encoded.
const (
	maxUpdateBytes     = 1250 // maxPacketBytes less the fields that describe the sender
	evidenceBytes      = 42
	loadBytes          = 18
	contentBytes       = 32 // without its losses
	lossBytes          = 32
	relayedPacketBytes = 50 // without its evidence
)

// outbox queues updates while earlier datagrams use up their share of the link, and combines queued
// updates into one datagram: the higher the utilization, the fewer the datagrams. Heartbeats and
// announcements are not queued, but count toward the share.
type outbox struct {
	bytesPerSecond float64
	// freeAt is when the datagrams sent so far are within the share.
	freeAt time.Time
	// flushAt is when the next flush is scheduled.
	flushAt time.Time

	evidence []queuedItem[Evidence]
	contents []queuedItem[ContentEvidence]
	loads    map[fleet.TargetID]int
	// relays and digests are packets of other zones to be relayed to the own zone; only the latest
	// digest of each zone is kept.
	relays  []queuedItem[*Packet]
	digests []queuedItem[*Packet]
	dropped int64
}

// queuedItem is an update, when it was queued, and the time before which it is not sent.
type queuedItem[T any] struct {
	value     T
	queuedAt  time.Time
	sendAfter time.Time
}

func (i *queuedItem[T]) due(now time.Time) bool { return !now.Before(i.sendAfter) }

func newOutbox(linkBytes int64) *outbox {
	if linkBytes <= 0 {
		linkBytes = DefaultLinkBytes
	}
	return &outbox{
		bytesPerSecond: updateShare * float64(linkBytes),
		loads:          make(map[fleet.TargetID]int),
	}
}

// charge counts a datagram of the given size that goes to the given number of instances.
func (o *outbox) charge(now time.Time, to, size int) {
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(time.Duration(float64(to*(size+ipUDPHeaderBytes)) / o.bytesPerSecond * float64(time.Second)))
}

// linkDelay returns how long updates have to wait for the link.
func (o *outbox) linkDelay(now time.Time) time.Duration {
	if !o.freeAt.After(now) {
		return 0
	}
	return max(o.freeAt.Sub(now)-updateBurst, 0)
}

// addOwn queues updates of this instance.
func (o *outbox) addOwn(now time.Time, p *Packet) {
	for _, e := range p.Evidence {
		o.evidence = keepNewest(o, append(o.evidence, queuedItem[Evidence]{value: e, queuedAt: now}), maxQueuedEvidence)
	}
	for _, c := range p.Contents {
		o.contents = keepNewest(o, append(o.contents, queuedItem[ContentEvidence]{value: c, queuedAt: now}), maxQueuedContents)
	}
	for _, l := range p.Load {
		if _, queued := o.loads[l.Target]; !queued && len(o.loads) >= maxQueuedLoads {
			o.dropped++ // the next heartbeat carries it
			continue
		}
		o.loads[l.Target] = l.InFlight
	}
}

// batchWait returns how long until any update is due, regardless of the link.
func (o *outbox) batchWait(now time.Time) time.Duration {
	if o.hasOwnUpdates() {
		return 0
	}
	left := time.Duration(math.MaxInt64)
	for _, items := range [][]queuedItem[*Packet]{o.relays, o.digests} {
		if len(items) > 0 {
			left = min(left, items[0].sendAfter.Sub(now))
		}
	}
	return max(left, 0)
}

// addRelay queues a packet of another zone, to be relayed after the given delay.
func (o *outbox) addRelay(now time.Time, p *Packet, delay time.Duration) {
	item := queuedItem[*Packet]{p, now, now.Add(delay)}
	if p.Digest == nil {
		o.relays = keepNewest(o, append(o.relays, item), maxQueuedRelays)
		return
	}
	for i := range o.digests {
		if o.digests[i].value.Zone == p.Zone {
			o.dropped++
			o.digests[i] = queuedItem[*Packet]{p, now, o.digests[i].sendAfter}
			return
		}
	}
	o.digests = append(o.digests, item)
}

// dropRelay removes a packet that another bridge has relayed.
func (o *outbox) dropRelay(p *Packet) {
	same := func(i queuedItem[*Packet]) bool {
		return i.value.Sequence == p.Sequence && i.value.Addr == p.Addr && i.value.Boot == p.Boot
	}
	o.relays = slices.DeleteFunc(o.relays, same)
	o.digests = slices.DeleteFunc(o.digests, same)
}

// keepNewest drops the oldest items beyond the limit.
func keepNewest[T any](o *outbox, items []queuedItem[T], limit int) []queuedItem[T] {
	excess := len(items) - limit
	if excess <= 0 {
		return items
	}
	o.dropped += int64(excess)
	return items[excess:]
}

// dropLoads removes the queued loads, which the heartbeat about to be filled carries too.
func (o *outbox) dropLoads() {
	clear(o.loads)
}

func (o *outbox) empty() bool {
	return !o.hasUpdates() && len(o.digests) == 0
}

// hasUpdates reports whether anything other than digests is queued.
func (o *outbox) hasUpdates() bool { return o.hasOwnUpdates() || len(o.relays) > 0 }

// hasOwnUpdates reports whether updates of this instance are queued.
func (o *outbox) hasOwnUpdates() bool { return len(o.evidence)+len(o.loads)+len(o.contents) > 0 }

// next removes and returns what fits into one datagram of updates, and a digest if one is due.
// Either may be nil.
func (o *outbox) next(now time.Time) (update, digest *Packet) {
	if o.hasOwnUpdates() || len(o.relays) > 0 && o.relays[0].due(now) {
		update = o.fillPacket(now)
	}
	if len(o.digests) > 0 && o.digests[0].due(now) {
		digest = agedPacket(o.digests[0].value, now.Sub(o.digests[0].queuedAt))
		o.digests = o.digests[1:]
	}
	return update, digest
}

// fillPacket moves as many updates into a packet as fit into a datagram.
func (o *outbox) fillPacket(now time.Time) *Packet {
	p, remaining := new(Packet), maxUpdateBytes
	n := 0
	for ; n < len(o.contents) && remaining >= min(o.contents[n].value.bytes(), maxUpdateBytes); n++ {
		c := o.contents[n]
		p.Contents = append(p.Contents, agedContent(c.value, now.Sub(c.queuedAt)))
		remaining -= c.value.bytes()
	}
	o.contents = o.contents[n:]
	for n = 0; n < len(o.evidence) && remaining >= evidenceBytes; n++ {
		e := o.evidence[n]
		p.Evidence = append(p.Evidence, agedEvidence(e.value, now.Sub(e.queuedAt)))
		remaining -= evidenceBytes
	}
	o.evidence = o.evidence[n:]
	for id, inFlight := range o.loads {
		if remaining < loadBytes {
			break
		}
		p.Load = append(p.Load, Load{Target: id, InFlight: inFlight})
		delete(o.loads, id)
		remaining -= loadBytes
	}
	for n = 0; n < len(o.relays) && o.relays[n].due(now.Add(batchDelay)); n++ {
		q := &o.relays[n]
		size := relayedPacketBytes + evidenceBytes*len(q.value.Evidence)
		for _, c := range q.value.Contents {
			size += c.bytes()
		}
		if remaining < min(size, maxUpdateBytes) {
			break
		}
		p.RelayedPackets = append(p.RelayedPackets, agedPacket(q.value, now.Sub(q.queuedAt)))
		remaining -= size
	}
	o.relays = o.relays[n:]
	return p
}

// agedPacket returns a copy of a packet after the given delay, with its ages increased.
func agedPacket(p *Packet, delay time.Duration) *Packet {
	q := *p
	q.Evidence = make([]Evidence, len(p.Evidence))
	for i, e := range p.Evidence {
		q.Evidence[i] = agedEvidence(e, delay)
	}
	q.Contents = make([]ContentEvidence, len(p.Contents))
	for i, c := range p.Contents {
		q.Contents[i] = agedContent(c, delay)
	}
	q.LogAvailability, q.LogFailure = p.LogAvailability.aged(delay), p.LogFailure.aged(delay)
	q.Rates = slices.Clone(p.Rates)
	for i := range q.Rates {
		q.Rates[i].AgeMillis += delay.Milliseconds()
	}
	q.Departures = slices.Clone(p.Departures)
	for i := range q.Departures {
		q.Departures[i].AgeMillis += delay.Milliseconds()
	}
	if p.Digest == nil {
		return &q
	}
	d := *p.Digest
	d.Successes = make([]Successes, len(p.Digest.Successes))
	for i, s := range p.Digest.Successes {
		s.AgeMillis += delay.Milliseconds()
		d.Successes[i] = s
	}
	q.Digest = &d
	return &q
}

func agedEvidence(e Evidence, delay time.Duration) Evidence {
	e.AgeMillis += delay.Milliseconds()
	return e
}

// bytes returns the approximate encoded size of the content.
func (c *ContentEvidence) bytes() int { return contentBytes + lossBytes*len(c.Losses) }

func agedContent(c ContentEvidence, delay time.Duration) ContentEvidence {
	c.ServedAgeMillis += delay.Milliseconds()
	losses := make([]ContentLoss, len(c.Losses))
	for i, l := range c.Losses {
		l.EndAgeMillis += delay.Milliseconds()
		losses[i] = l
	}
	c.Losses = losses
	return c
}
