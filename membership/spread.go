package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// message begins a message with the records that are due to be passed on.
func (n *Node) message(k Kind) Message {
	m := Message{Kind: k, From: n.self}
	if n.selfLeft > 0 {
		n.selfLeft--
	}
	m.Updates = n.takeUpdates(m.Updates)
	if head := n.head(); head != nil {
		m.Updates = append(m.Updates, head.Member)
	}
	return m
}

func (n *Node) envelope(to Member, m Message) Envelope {
	return Envelope{To: to.ID, Addr: to.Addr, Message: m}
}

// enqueue marks a changed record to be passed on.
func (n *Node) enqueue(e *entry) {
	n.enqueueTimes(e, n.settings.spreadCount(n.live))
}

func (n *Node) enqueueTimes(e *entry, times int) {
	if e.spread == 0 && !slices.Contains(n.spreading, e) {
		n.spreading = append(n.spreading, e)
	}
	e.spread = times
}

// takeUpdates appends the records that were passed on least, within the size
// limit. A suspicion is passed on while it lasts: whoever knows that it was
// refuted answers with the refutation.
func (n *Node) takeUpdates(updates []Member) []Member {
	slices.SortStableFunc(n.spreading, func(a, b *entry) int { return b.spread - a.spread })
	size := 0
	for _, e := range n.spreading {
		if e.spread == 0 {
			continue
		}
		size += e.size()
		if size > n.settings.MaxUpdates {
			break
		}
		if e.State != Suspect || e.spread > 1 {
			e.spread--
		}
		updates = append(updates, e.Member)
	}
	n.spreading = slices.DeleteFunc(n.spreading, func(e *entry) bool { return e.spread == 0 })
	return updates
}

// head returns the member with the highest configuration offset if it is
// ahead of this instance: news of a new configuration so reaches everyone in
// a few rounds, without a record of each member that has applied it.
func (n *Node) head() *entry {
	if n.maxOffset <= n.self.Offset {
		return nil
	}
	var head *entry
	for _, e := range n.table {
		if e.State != Alive || e.Offset <= n.self.Offset {
			continue
		}
		if head == nil || e.Offset > head.Offset || e.Offset == head.Offset && e.ID < head.ID {
			head = e
		}
	}
	return head
}

// digest sums the records of each bucket, the own one included, dead ones not.
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

// startSync compares digests with a random member.
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

// onSyncReply sends back what the replier lacks, and asks on if its reply was
// cut.
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

// differing returns the records, dead ones included, of the buckets in which
// two digests differ, and whether the size limit cut them short.
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

// sortedEntries returns the table by bucket, from a random bucket on, so that
// replies that are cut differ from each other.
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
