package statesync

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// restorableStore is a store that can be restored from an older copy. Its reads bring no
// changes: they return when their wait is over or their context ends.
type restorableStore struct {
	Store
	mu      sync.Mutex
	epoch   registry.Epoch
	end     registry.Offset
	calls   int
	hanging bool // reads wait until their contexts end
}

func (s *restorableStore) respond() Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return Batch{Next: s.end, Epoch: s.epoch}
}

func (s *restorableStore) restore(epoch registry.Epoch, end registry.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.end = epoch, end
}

func (s *restorableStore) Snapshot(stream Stream) SnapshotReader {
	return wholeSnapshot(func() (Batch, error) {
		b := s.respond()
		if stream == Targets {
			b.Records = []Record{record(b.Next-1, "a")}
		}
		return b, nil
	})
}

// wholeSnapshot reads a snapshot in one part.
type wholeSnapshot func() (Batch, error)

func (read wholeSnapshot) Next(context.Context) (part Batch, last bool, err error) {
	part, err = read()
	return part, true, err
}

func (s *restorableStore) Read(ctx context.Context, _ Stream, from registry.Offset, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	hanging, end := s.hanging, s.end
	s.mu.Unlock()
	if from > end {
		return Batch{}, ErrExpired
	}
	if hanging {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait):
	}
	b := s.respond()
	b.Next = from
	return b, nil
}

func (s *restorableStore) Announce(context.Context, string) (registry.Epoch, error) {
	return s.respond().Epoch, nil
}

func (s *restorableStore) CloseIdleConnections() {}

func (s *restorableStore) Addresses(context.Context) ([]string, error) { return nil, nil }

// waitForEpoch waits until both streams are at the epoch.
func waitForEpoch(t *testing.T, s *State, epoch registry.Epoch, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.next(Targets).Epoch != epoch || s.next(Documents).Epoch != epoch {
			return poll.Continue("targets at %v, documents at %v", s.next(Targets), s.next(Documents))
		}
		return poll.Success()
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}

// TestRestoreEndsReadsOfEarlierEpoch checks that pending reads end as soon as a peer reports a
// restore: on a connection that the store has dropped they would hang for seconds.
func TestRestoreEndsReadsOfEarlierEpoch(t *testing.T) {
	store := &restorableStore{epoch: 1, end: 500}
	s := NewState(0, nil)
	f := NewFollower(Options{State: s, Store: store, Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View { return view(0) }, OnAddresses: func([]string) {}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	waitForEpoch(t, s, 1, 2*time.Second)
	store.mu.Lock()
	store.hanging = true
	store.mu.Unlock()
	time.Sleep(2 * firstWait) // until both reads hang
	store.restore(2, 480)
	s.applyPeerSnapshot(PeerSnapshot{Registry: 480, Epoch: 2, Entries: []registry.Entry{*record(0, "a").Entry}}, "peer", false)
	waitForEpoch(t, s, 2, time.Second)
	assert.Equal(t, f.LogState(), mesh.LogAvailable, "a read ended by a restore does not mean that the store is unavailable")
}

// TestBatchesOfOtherEpochsAreIgnored covers late responses of an earlier epoch, and changes of a
// later one that build on records not yet available.
func TestBatchesOfOtherEpochsAreIgnored(t *testing.T) {
	s := NewState(0, nil)
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
	for _, epoch := range []registry.Epoch{1, 3} {
		s.applyBatch(Targets, Batch{Next: 481, Epoch: epoch, Records: []Record{record(480, "b")}}, "store")
	}
	s.applySnapshot(Targets, Batch{Next: 900, Epoch: 1, Records: []Record{record(0, "c")}}, "store")
	s.applyPeerSnapshot(PeerSnapshot{Registry: 900, Epoch: 1, Entries: []registry.Entry{*record(0, "d").Entry}}, "peer", false)
	assert.Equal(t, s.next(Targets), registry.Position{Epoch: 2, Offset: 480})
	assert.Equal(t, s.Targets().Len(), 1)
	s.applyBatch(Targets, Batch{Next: 481, Epoch: 2, Records: []Record{record(480, "b")}}, "store")
	assert.Equal(t, s.Targets().Len(), 2)

	s.applySnapshot(Documents, Batch{Next: 40, Epoch: 2, Records: []Record{{Document: documentOf(7)}}}, "store")
	s.applyBatch(Documents, Batch{Next: 90, Epoch: 1, Records: []Record{{Document: documentOf(9)}}}, "store")
	assert.Equal(t, s.next(Documents), registry.Position{Epoch: 2, Offset: 40})
	version, _ := s.Versions()
	assert.Equal(t, version, document.Version(7))
}

// TestResponseOfEarlierEpochIsAnError checks that responses from a part of the store that lags
// behind a restore count as errors; otherwise the store would be called in a tight loop.
func TestResponseOfEarlierEpochIsAnError(t *testing.T) {
	store := &restorableStore{epoch: 1, end: 500}
	s := NewState(0, nil)
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
	f := NewFollower(Options{State: s, Store: store, Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View { return view(0) }})
	_, err := f.readOnce(t.Context(), Targets)
	assert.ErrorIs(t, err, errStaleEpoch)
	assert.ErrorIs(t, f.readSnapshot(t.Context(), Targets), errStaleEpoch)
}

// TestPeersWithoutEpochAreNoSource covers a release: instances of the previous version send no
// epoch, so the epoch of their offsets is unknown. Where the store has one, the first instances
// of the new version in each zone read the store instead.
func TestPeersWithoutEpochAreNoSource(t *testing.T) {
	before := mesh.Member{Addr: lowerRankedAddr(0), Zone: "a", Log: mesh.LogAvailable, Registry: registry.Position{Offset: 900}}
	s := NewState(0, nil)
	f := NewFollower(Options{State: s, Store: new(restorableStore), Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View {
		return view(1, before, mesh.Member{Addr: lowerRankedAddr(1), Zone: "a", Log: mesh.LogAvailable})
	}})
	settle(f)
	assert.Assert(t, !f.updateRole(), "the store is not known to have an epoch")
	assert.Assert(t, s.Behind(time.Now(), 0, before.Registry))
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 1, Records: []Record{record(0, "a")}}, "store")
	f.updateRole()
	time.Sleep(2 * freshness.TakeoverDelay) // the turns of the two that rank before
	assert.Assert(t, f.updateRole(), "no instance of the zone reads the store in its epoch")
	s.applyPeerSnapshot(PeerSnapshot{Registry: 900, Entries: []registry.Entry{*record(0, "b").Entry}}, before.Addr, false)
	assert.Equal(t, s.Targets().Len(), 1)
	s.applyPeerSnapshot(PeerSnapshot{Registry: 900, Changes: []registry.Change{{Offset: 480, ID: "b", Entry: record(0, "b").Entry}}}, before.Addr, true)
	assert.Equal(t, s.next(Targets), registry.Position{Epoch: 1, Offset: 480}, "offsets without an epoch must be ignored")
}

// TestInstancePullsFromOnePeerOnceAfterRestore checks that an instance that read a new epoch from
// the store asks one peer once, as the store's copy may be older than the peer's state.
func TestInstancePullsFromOnePeerOnceAfterRestore(t *testing.T) {
	peer, self := NewState(0, nil), NewState(0, nil)
	for _, s := range []*State{peer, self} {
		s.applySnapshot(Targets, Batch{Next: 500, Epoch: 1, Records: []Record{record(0, "a"), record(1, "b")}}, "store")
		s.applyPeerSnapshot(PeerSnapshot{}, "peer", true)
	}
	left := registry.Entry{ID: "b", Service: "s", Sequence: 2, Leaving: true}
	peer.applyBatch(Targets, Batch{Next: 501, Epoch: 1, Records: []Record{{Offset: 500, ID: "b", Entry: &left}}}, "store")
	srv := httptest.NewServer(peer)
	defer srv.Close()
	queried := mesh.Member{Addr: strings.TrimPrefix(srv.URL, "http://"), Zone: "a"}
	_, queried.Registry = peer.Versions()
	f := NewFollower(Options{State: self, Self: "self", Zone: "a", Peers: func() mesh.View { return view(0, queried) }})

	self.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a"), record(1, "b")}}, "store")
	assert.Equal(t, self.Targets().Len(), 2, "it must not know of the leaving notice yet")
	assert.Assert(t, self.Behind(time.Now(), 0, queried.Registry))
	assert.Assert(t, f.pullFromPeers(t.Context(), Targets))
	assert.Equal(t, self.Targets().Len(), 1)
	assert.Assert(t, !self.Behind(time.Now(), 0, queried.Registry), "the peer must not be asked again")
}

// TestStoreCallRateAfterRestore checks that the calls after a restore stay within the store's
// limit: 2,000 read calls per second for 36 instances and 31 targets, 16,000 for 293 and 920
// instances with 660 and 13,000 targets. In each zone only the readers, the instances
// that take over until the readers have noticed the restore, and three instances that announce
// themselves call the store; all others pull from peers.
func TestStoreCallRateAfterRestore(t *testing.T) {
	const (
		pageKeys     = 500
		refusedReads = 2 // one per stream, before the snapshots: pages for targets, one call for documents
	)
	for _, size := range []struct{ zone, zones, targets, rate int }{{12, 3, 31, 2000}, {58, 5, 660, 16000}, {184, 5, 13000, 16000}} {
		now := time.Now()
		members, viewOf := zoneMembers(size.zone, now, mesh.LogAvailable)
		for i := range members {
			members[i].Registry = registry.Position{Epoch: 1, Offset: 500}
		}
		reading, announcing := 0, 0
		for i, m := range members {
			later := viewOf(i)
			s := NewState(0, nil)
			s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
			f := NewFollower(Options{State: s, Self: m.Addr, Zone: "a", Peers: func() mesh.View { return later }})
			settle(f)
			f.updateRole()
			later = hourLater(later)
			if f.updateRole() {
				reading++
			}
			if f.opts.isAnnouncer(viewOf(i)) {
				announcing++
			}
		}
		pages := size.targets/pageKeys + 1
		calls := size.zones * (reading*(refusedReads+pages+1) + announcing)
		assert.Assert(t, calls <= size.rate, "%d instances a zone: %d calls, %d a second are taken", size.zone, calls, size.rate)
		assert.Assert(t, reading <= freshness.ReadersPerZone+freshness.MaxTakeoverReaders)
		assert.Equal(t, announcing, announcersPerZone)
	}
}

// hourLater returns the view an hour later, with all members heard then.
func hourLater(v mesh.View) mesh.View {
	v.At = v.At.Add(time.Hour)
	v.Members = slices.Clone(v.Members)
	for i := range v.Members {
		v.Members[i].LastReceived = v.At
	}
	return v
}

// refusingStore is a store that refuses all reads.
type refusingStore struct{ Store }

func (refusingStore) Snapshot(Stream) SnapshotReader {
	return wholeSnapshot(func() (Batch, error) { return Batch{}, errRefused })
}

func (refusingStore) Read(context.Context, Stream, registry.Offset, time.Duration) (Batch, error) {
	return Batch{}, errRefused
}

var errRefused = errors.New("refused")

// testInstance is an instance that follows a store and pulls from its peers over HTTP.
type testInstance struct {
	addr     string
	state    *State
	follower *Follower
}

// startZone starts the instances of a zone. Each sees the current state of the others; the
// store refuses the reads of the instances for which refused returns true.
func startZone(t *testing.T, size int, store Store, refused func(i int) bool) []*testInstance {
	zone := make([]*testInstance, size)
	see := func(self int) mesh.View {
		v := mesh.View{At: time.Now(), Zone: "a"}
		for i, other := range zone {
			if i == self {
				continue
			}
			m := mesh.Member{Addr: other.addr, Zone: "a", Log: other.follower.LogState(), LastReceived: v.At}
			m.Document, m.Registry = other.state.Versions()
			v.Members = append(v.Members, m)
		}
		return v
	}
	for i := range zone {
		s := NewState(0, nil)
		srv := httptest.NewServer(s)
		t.Cleanup(srv.Close)
		zone[i] = &testInstance{addr: strings.TrimPrefix(srv.URL, "http://"), state: s}
	}
	for i, x := range zone {
		own := store
		if refused(i) {
			own = refusingStore{store}
		}
		x.follower = NewFollower(Options{State: x.state, Store: own, Self: x.addr, Zone: "a", Peers: func() mesh.View { return see(i) }, OnAddresses: func([]string) {}})
	}
	for i, x := range zone {
		go x.follower.Run(t.Context())
		go deliverHeartbeats(t.Context(), x, func() mesh.View { return see(i) })
	}
	return zone
}

// deliverHeartbeats delivers the state of the other instances to x every 50 ms.
func deliverHeartbeats(ctx context.Context, x *testInstance, see func() mesh.View) {
	for ctx.Err() == nil {
		for _, m := range see().Members {
			if x.state.Behind(time.Now(), m.Document, m.Registry) {
				x.follower.NotifyAhead()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestRestoreIsNoticedWhenStoreRefusesAThird checks that instances whose calls the store refuses
// learn of a restore from their peers, within the 2.5 s allowed for changes.
func TestRestoreIsNoticedWhenStoreRefusesAThird(t *testing.T) {
	const within = 2500 * time.Millisecond
	store := &restorableStore{epoch: 1, end: 500}
	zone := startZone(t, 9, store, func(i int) bool { return i%3 == 0 })
	for _, x := range zone {
		waitForTargetsEpoch(t, x.state, 1, 5*time.Second)
	}
	store.restore(2, 480)
	since := time.Now()
	for _, x := range zone {
		waitForTargetsEpoch(t, x.state, 2, within-time.Since(since))
	}
}

// waitForTargetsEpoch waits until the targets are at the epoch.
func waitForTargetsEpoch(t *testing.T, s *State, epoch registry.Epoch, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if next := s.next(Targets); next.Epoch != epoch {
			return poll.Continue("targets at %v", next)
		}
		return poll.Success()
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}
