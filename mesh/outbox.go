package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// DefaultLinkBytes is taken for what an instance's link carries where nobody says,
	// in bytes a second: 10 Mbit/s, the smallest links of the deployments.
	DefaultLinkBytes = 1_250_000
	// newsShare is the part of the link that datagrams to other instances may take;
	// news waits once they do. The rest is for callers and targets, whose bodies take
	// up to half of a small link at twice the usual load, and for changes of the
	// configuration, which would wait behind news without a bound. The digests that a bridge
	// passes on take half of this share at most, since they alternate with news.
	newsShare = 0.4
	// newsBurst is for how long a time's share may be sent ahead, so that a few
	// pieces of news leave at once. It holds up other packets for newsShare of it at most.
	newsBurst = 100 * time.Millisecond
	// gatherFor is how long a bridge gathers what it passes on, so that one datagram holds
	// it. The news of a failed attempt is that much later, in which hardly a request meets its
	// target; datagrams stay under 1/gatherFor a second for each neighbour, however many
	// attempts fail.
	gatherFor = 20 * time.Millisecond
	// secondAfter is how long other bridges keep it, to pass on what the first one did not:
	// time for the first to gather, to wait for its link a little, and to send. They gather
	// too, from gatherFor earlier.
	secondAfter = 100 * time.Millisecond
	// headerBytes are those that IP and UDP add to a datagram.
	headerBytes = 28
)

// Bounds of the news that waits: each is about as much as goes to 44 neighbours over a small
// link within 1 s. What is older when more comes is dropped, since it says less of the
// present.
const (
	waitingEvidence = 256
	waitingLoads    = 128
	waitingContents = 64
	waitingPassed   = 128
)

// Sizes by which news is put into datagrams, in bytes, as they are encoded with names of
// about 12 characters.
const (
	roomBytes     = 1250 // of maxPacket, without the sender's part
	evidenceBytes = 42
	loadBytes     = 18
	contentBytes  = 32 // without its losses
	lossBytes     = 32
	passedBytes   = 50 // without its evidence
)

// outbox holds back news for as long as what was sent before has taken up the
// datagrams' part of the link, and puts what has gathered by then into one datagram: the
// fuller the link, the fewer the datagrams. Heartbeats and announcements do not wait, but
// are counted.
type outbox struct {
	bytesPerSecond float64
	// freeAt is when what was sent has used up no more than its part.
	freeAt time.Time
	// armedFor is when news will be sent later.
	armedFor time.Time

	evidence []waitingItem[Evidence]
	contents []waitingItem[ContentEvidence]
	load     map[fleet.TargetID]int
	// passed and digests are other zones' packets that go on to the own one; of the
	// digests of one zone only the latest counts.
	passed  []waitingItem[*Packet]
	digests []waitingItem[*Packet]
	dropped int64
}

// waitingItem is a piece of news, since when it waits, and before when it is not sent.
type waitingItem[T any] struct {
	what      T
	since     time.Time
	notBefore time.Time
}

func (i *waitingItem[T]) ripe(now time.Time) bool { return !now.Before(i.notBefore) }

func newOutbox(linkBytes int64) *outbox {
	if linkBytes <= 0 {
		linkBytes = DefaultLinkBytes
	}
	return &outbox{
		bytesPerSecond: newsShare * float64(linkBytes),
		load:           make(map[fleet.TargetID]int),
	}
}

// charge counts a datagram that goes to a number of instances.
func (o *outbox) charge(now time.Time, to, size int) {
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(time.Duration(float64(to*(size+headerBytes)) / o.bytesPerSecond * float64(time.Second)))
}

// wait is how long news must wait.
func (o *outbox) wait(now time.Time) time.Duration {
	if !o.freeAt.After(now) {
		return 0
	}
	return max(o.freeAt.Sub(now)-newsBurst, 0)
}

// add takes in news of this instance.
func (o *outbox) add(now time.Time, p *Packet) {
	for _, e := range p.Evidence {
		o.evidence = keepLast(o, append(o.evidence, waitingItem[Evidence]{what: e, since: now}), waitingEvidence)
	}
	for _, c := range p.Contents {
		o.contents = keepLast(o, append(o.contents, waitingItem[ContentEvidence]{what: c, since: now}), waitingContents)
	}
	for _, l := range p.Load {
		if _, known := o.load[l.Target]; !known && len(o.load) >= waitingLoads {
			o.dropped++ // the next heartbeat tells it
			continue
		}
		o.load[l.Target] = l.InFlight
	}
}

// gathers is how long until anything is to be sent, apart from what the link has to carry
// first.
func (o *outbox) gathers(now time.Time) time.Duration {
	if o.own() {
		return 0
	}
	left := time.Duration(math.MaxInt64)
	for _, items := range [][]waitingItem[*Packet]{o.passed, o.digests} {
		if len(items) > 0 {
			left = min(left, items[0].notBefore.Sub(now))
		}
	}
	return max(left, 0)
}

// pass takes in a packet of another zone, to be passed on after the given time.
func (o *outbox) pass(now time.Time, p *Packet, after time.Duration) {
	item := waitingItem[*Packet]{p, now, now.Add(after)}
	if p.Digest == nil {
		o.passed = keepLast(o, append(o.passed, item), waitingPassed)
		return
	}
	for i := range o.digests {
		if o.digests[i].what.Zone == p.Zone {
			o.dropped++
			o.digests[i] = waitingItem[*Packet]{p, now, o.digests[i].notBefore}
			return
		}
	}
	o.digests = append(o.digests, item)
}

// passedOn drops a packet that another bridge has passed on.
func (o *outbox) passedOn(p *Packet) {
	same := func(i waitingItem[*Packet]) bool {
		return i.what.Sequence == p.Sequence && i.what.Addr == p.Addr && i.what.Boot == p.Boot
	}
	o.passed = slices.DeleteFunc(o.passed, same)
	o.digests = slices.DeleteFunc(o.digests, same)
}

// keepLast drops what is oldest of more than the given number.
func keepLast[T any](o *outbox, items []waitingItem[T], most int) []waitingItem[T] {
	over := len(items) - most
	if over <= 0 {
		return items
	}
	o.dropped += int64(over)
	return items[over:]
}

// superseded drops what the heartbeat that is about to be filled tells.
func (o *outbox) superseded() {
	clear(o.load)
}

func (o *outbox) empty() bool {
	return !o.news() && len(o.digests) == 0
}

// news tells whether anything but digests waits.
func (o *outbox) news() bool { return o.own() || len(o.passed) > 0 }

// own tells whether news of this instance waits.
func (o *outbox) own() bool { return len(o.evidence)+len(o.load)+len(o.contents) > 0 }

// next takes out what fits into one datagram of news, and a digest if one waits. Either
// may be nil.
func (o *outbox) next(now time.Time) (news, digest *Packet) {
	if o.own() || len(o.passed) > 0 && o.passed[0].ripe(now) {
		news = o.fill(now)
	}
	if len(o.digests) > 0 && o.digests[0].ripe(now) {
		digest = aged(o.digests[0].what, now.Sub(o.digests[0].since))
		o.digests = o.digests[1:]
	}
	return news, digest
}

// fill puts as much news into a packet as a datagram takes.
func (o *outbox) fill(now time.Time) *Packet {
	p, room := new(Packet), roomBytes
	n := 0
	for ; n < len(o.contents) && room >= min(o.contents[n].what.bytes(), roomBytes); n++ {
		c := o.contents[n]
		p.Contents = append(p.Contents, olderContent(c.what, now.Sub(c.since)))
		room -= c.what.bytes()
	}
	o.contents = o.contents[n:]
	for n = 0; n < len(o.evidence) && room >= evidenceBytes; n++ {
		e := o.evidence[n]
		p.Evidence = append(p.Evidence, older(e.what, now.Sub(e.since)))
		room -= evidenceBytes
	}
	o.evidence = o.evidence[n:]
	for id, inFlight := range o.load {
		if room < loadBytes {
			break
		}
		p.Load = append(p.Load, Load{Target: id, InFlight: inFlight})
		delete(o.load, id)
		room -= loadBytes
	}
	for n = 0; n < len(o.passed) && o.passed[n].ripe(now.Add(gatherFor)); n++ {
		q := &o.passed[n]
		size := passedBytes + evidenceBytes*len(q.what.Evidence)
		for _, c := range q.what.Contents {
			size += c.bytes()
		}
		if room < min(size, roomBytes) {
			break
		}
		p.Passed = append(p.Passed, aged(q.what, now.Sub(q.since)))
		room -= size
	}
	o.passed = o.passed[n:]
	return p
}

// aged returns a copy of a packet that has waited for the given time.
func aged(p *Packet, waited time.Duration) *Packet {
	q := *p
	q.Evidence = make([]Evidence, len(p.Evidence))
	for i, e := range p.Evidence {
		q.Evidence[i] = older(e, waited)
	}
	q.Contents = make([]ContentEvidence, len(p.Contents))
	for i, c := range p.Contents {
		q.Contents[i] = olderContent(c, waited)
	}
	q.Answered = p.Answered.older(waited)
	q.Rates = slices.Clone(p.Rates)
	for i := range q.Rates {
		q.Rates[i].AgeMillis += waited.Milliseconds()
	}
	q.Departures = slices.Clone(p.Departures)
	for i := range q.Departures {
		q.Departures[i].AgeMillis += waited.Milliseconds()
	}
	if p.Digest == nil {
		return &q
	}
	d := *p.Digest
	d.Successes = make([]Successes, len(p.Digest.Successes))
	for i, s := range p.Digest.Successes {
		s.AgeMillis += waited.Milliseconds()
		d.Successes[i] = s
	}
	q.Digest = &d
	return &q
}

func older(e Evidence, waited time.Duration) Evidence {
	e.AgeMillis += waited.Milliseconds()
	return e
}

// bytes is about how much of a datagram the content takes.
func (c *ContentEvidence) bytes() int { return contentBytes + lossBytes*len(c.Losses) }

func olderContent(c ContentEvidence, waited time.Duration) ContentEvidence {
	c.ServedMillis += waited.Milliseconds()
	losses := make([]ContentLoss, len(c.Losses))
	for i, l := range c.Losses {
		l.EndedMillis += waited.Milliseconds()
		losses[i] = l
	}
	c.Losses = losses
	return c
}
