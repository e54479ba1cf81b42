package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// message returns a message of kind k that carries the records queued for gossip.
func (n *Node) message(k Kind) Message {
	m := Message{Kind: k, From: n.self}
	if n.selfSendsLeft > 0 {
		n.selfSendsLeft--
	}
	m.Updates = n.takeUpdates(m.Updates)
	if ahead := n.mostAdvanced(); ahead != nil {
		m.Updates = append(m.Updates, ahead.Member)
	}
	return m
}

func (n *Node) envelope(to Member, m Message) Envelope {
	return Envelope{To: to.ID, Addr: to.Addr, Message: m}
}

// enqueue queues a changed record for gossip.
func (n *Node) enqueue(e *entry) {
	n.enqueueTimes(e, n.settings.spreadCount(n.live))
}

func (n *Node) enqueueTimes(e *entry, times int) {
	if e.sendsLeft == 0 && !slices.Contains(n.gossipQueue, e) {
		n.gossipQueue = append(n.gossipQueue, e)
	}
	e.sendsLeft = times
}

// takeUpdates appends the queued records with the most transmissions left, within
// the size limit. A suspicion is sent for as long as it lasts, because a peer
// that has the refutation replies with it.
func (n *Node) takeUpdates(updates []Member) []Member {
	slices.SortStableFunc(n.gossipQueue, func(a, b *entry) int { return b.sendsLeft - a.sendsLeft })
	size := 0
	for _, e := range n.gossipQueue {
		if e.sendsLeft == 0 {
			continue
		}
		size += e.size()
		if size > n.settings.MaxUpdates {
			break
		}
		if e.State != Suspect || e.sendsLeft > 1 {
			e.sendsLeft--
		}
		updates = append(updates, e.Member)
	}
	n.gossipQueue = slices.DeleteFunc(n.gossipQueue, func(e *entry) bool { return e.sendsLeft == 0 })
	return updates
}

// mostAdvanced returns the alive member with the highest configuration offset, or
// nil if none is ahead of this instance. A new offset thus reaches the fleet in
// a few rounds without gossiping the record of every member that applied it.
func (n *Node) mostAdvanced() *entry {
	if n.maxOffset <= n.self.Offset {
		return nil
	}
	var best *entry
	for _, e := range n.table {
		if e.State != Alive || e.Offset <= n.self.Offset {
			continue
		}
		if best == nil || e.Offset > best.Offset || e.Offset == best.Offset && e.ID < best.ID {
			best = e
		}
	}
	return best
}

// digest returns a checksum of the records in each bucket, including this
// instance's own record and excluding dead members.
func (n *Node) digest() []uint64 {
	sums := make([]uint64, buckets)
	sums[bucket(n.self)] ^= sum(n.self)
	for _, e := range n.table {
		if e.State != Dead {
			sums[bucket(e.Member)] ^= sum(e.Member)
		}
	}
	return sums
}

func bucket(m Member) int {
	return int(xxhash.Sum64String(string(m.ID)) % buckets)
}

func sum(m Member) uint64 {
	h := xxhash.Sum64String(string(m.ID))
	h = (h ^ uint64(m.Incarnation)) * 0x9e3779b97f4a7c15
	return (h ^ h>>29 ^ m.Version) * 0xbf58476d1ce4e5b9
}

// startSync starts a digest exchange with a random member.
func (n *Node) startSync(now time.Time) []Envelope {
	jitter := time.Duration(n.rand.Int64N(int64(n.settings.SyncInterval/2) + 1))
	peers := n.pick(1, func(m Member) bool { return m.State != Suspect })
	if len(peers) == 0 {
		n.nextSync = now.Add(n.settings.Interval)
		return nil
	}
	n.nextSync = now.Add(n.settings.SyncInterval*3/4 + jitter)
	return []Envelope{n.syncRequest(peers[0])}
}

func (n *Node) syncRequest(to Member) Envelope {
	m := n.message(SyncRequest)
	m.Digest = n.digest()
	return n.envelope(to, m)
}

func (n *Node) syncReply(request Message) Envelope {
	m := Message{Kind: SyncReply, From: n.self, Digest: n.digest()}
	m.Updates, m.More = n.differing(m.Digest, request.Digest)
	return n.envelope(request.From, m)
}

// onSyncReply sends back the records that the replier lacks. If the reply was
// truncated, it requests another one instead.
func (n *Node) onSyncReply(reply Message) []Envelope {
	if reply.More {
		return []Envelope{n.syncRequest(reply.From)}
	}
	records, _ := n.differing(n.digest(), reply.Digest)
	if len(records) == 0 {
		return nil
	}
	m := Message{Kind: SyncPush, From: n.self, Updates: records}
	return []Envelope{n.envelope(reply.From, m)}
}

// differing returns the records, including dead members, of the buckets whose
// digests differ, and whether the size limit truncated them.
func (n *Node) differing(mine, theirs []uint64) (records []Member, more bool) {
	size := 0
	for _, e := range n.sortedEntries() {
		b := bucket(e.Member)
		if mine[b] == theirs[b] {
			continue
		}
		size += e.size()
		if size > n.settings.MaxSync {
			return records, true
		}
		records = append(records, e.Member)
	}
	return records, false
}

// sortedEntries returns the table ordered by bucket, starting at a random bucket,
// so that successive truncated replies carry different records.
func (n *Node) sortedEntries() []*entry {
	start := n.rand.IntN(buckets)
	entries := make([]*entry, 0, len(n.table))
	for _, e := range n.table {
		entries = append(entries, e)
	}
	position := func(e *entry) int { return (bucket(e.Member) + buckets - start) % buckets }
	slices.SortFunc(entries, func(a, b *entry) int {
		if d := position(a) - position(b); d != 0 {
			return d
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return entries
}
