package statesync

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// restoredStore is a store that can be restored from an older copy. A read waits until it ends
// by itself or by its context.
type restoredStore struct {
	Store
	mu     sync.Mutex
	epoch  registry.Epoch
	end    registry.Offset
	calls  int
	silent bool // reads that wait hang until their contexts end
}

func (s *restoredStore) answer() Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return Batch{Next: s.end, Epoch: s.epoch}
}

func (s *restoredStore) restore(epoch registry.Epoch, end registry.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.end = epoch, end
}

func (s *restoredStore) Snapshot(_ context.Context, stream Stream) (Batch, error) {
	b := s.answer()
	if stream == Targets {
		b.Records = []Record{record(b.Next-1, "a")}
	}
	return b, nil
}

func (s *restoredStore) Read(ctx context.Context, _ Stream, from registry.Offset, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	silent, end := s.silent, s.end
	s.mu.Unlock()
	if from > end {
		return Batch{}, ErrExpired
	}
	if silent {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait):
	}
	b := s.answer()
	b.Next = from
	return b, nil
}

func (s *restoredStore) Announce(context.Context, string) (registry.Epoch, error) {
	return s.answer().Epoch, nil
}

func (s *restoredStore) Addresses(context.Context) ([]string, error) { return nil, nil }

func atEpoch(t *testing.T, s *State, epoch registry.Epoch, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.next(Targets).Epoch != epoch || s.next(Documents).Epoch != epoch {
			return poll.Continue("targets at %v, documents at %v", s.next(Targets), s.next(Documents))
		}
		return poll.Success()
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}

// TestReadsOfAnEarlierEpochEndAsSoonAsItIsOver: a connection that the store has forgotten would
// hold the read for seconds. A peer has noticed.
func TestReadsOfAnEarlierEpochEndAsSoonAsItIsOver(t *testing.T) {
	store := &restoredStore{epoch: 1, end: 500}
	s := NewState(0, nil)
	f := NewFollower(Options{State: s, Store: store, Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View { return view(0) }, Know: func([]string) {}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	atEpoch(t, s, 1, 2*time.Second)
	store.mu.Lock()
	store.silent = true
	store.mu.Unlock()
	time.Sleep(2 * firstWait) // both reads hang now
	store.restore(2, 480)
	s.applyWhole(Whole{Registry: 480, Epoch: 2, Entries: []registry.Entry{*record(0, "a").Entry}}, "peer", false)
	atEpoch(t, s, 2, time.Second)
	assert.Equal(t, f.Log(), mesh.LogAvailable, "a read that was ended is no loss of the store")
}

// TestAnswersOfAnotherEpochChangeNothing: late ones of an earlier epoch, and changes of a later one
// that follow what is not known yet.
func TestAnswersOfAnotherEpochChangeNothing(t *testing.T) {
	s := NewState(0, nil)
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
	for _, epoch := range []registry.Epoch{1, 3} {
		s.applyBatch(Targets, Batch{Next: 481, Epoch: epoch, Records: []Record{record(480, "b")}}, "store")
	}
	s.applySnapshot(Targets, Batch{Next: 900, Epoch: 1, Records: []Record{record(0, "c")}}, "store")
	s.applyWhole(Whole{Registry: 900, Epoch: 1, Entries: []registry.Entry{*record(0, "d").Entry}}, "peer", false)
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

// TestAnEarlierEpochAsksTheStoreNotInALoop: a part of the store that lags behind a restore answers
// in the earlier epoch.
func TestAnEarlierEpochAsksTheStoreNotInALoop(t *testing.T) {
	store := &restoredStore{epoch: 1, end: 500}
	s := NewState(0, nil)
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
	f := NewFollower(Options{State: s, Store: store, Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View { return view(0) }})
	_, err := f.step(t.Context(), Targets)
	assert.ErrorIs(t, err, errEarlierEpoch)
	assert.ErrorIs(t, f.snapshot(t.Context(), Targets), errEarlierEpoch)
}

// TestPeersOfTheVersionBeforeAreNoSourceWhereTheStoreTellsItsEpoch: during a release they tell no
// epoch. They would hand on offsets of they do not know which epoch; the first instances of the
// new version in each zone read the store instead.
func TestPeersOfTheVersionBeforeAreNoSourceWhereTheStoreTellsItsEpoch(t *testing.T) {
	before := mesh.Member{Addr: lowest(0), Zone: "a", Log: mesh.LogAvailable, Registry: registry.Position{Offset: 900}}
	s := NewState(0, nil)
	f := NewFollower(Options{State: s, Store: new(restoredStore), Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View {
		return view(1, before, mesh.Member{Addr: lowest(1), Zone: "a", Log: mesh.LogAvailable})
	}})
	assert.Assert(t, !f.reads(), "the store tells no epoch, as far as known")
	assert.Assert(t, s.Behind(time.Now(), 0, before.Registry))
	s.applySnapshot(Targets, Batch{Next: 480, Epoch: 1, Records: []Record{record(0, "a")}}, "store")
	f.unserved = time.Now().Add(-time.Minute)
	assert.Assert(t, f.reads(), "nobody of the zone reads the store in its epoch")
	s.applyWhole(Whole{Registry: 900, Entries: []registry.Entry{*record(0, "b").Entry}}, before.Addr, false)
	assert.Equal(t, s.Targets().Len(), 1)
	s.applyWhole(Whole{Registry: 900, Changes: []registry.Change{{Offset: 480, ID: "b", Entry: record(0, "b").Entry}}}, before.Addr, true)
	assert.Equal(t, s.next(Targets), registry.Position{Epoch: 1, Offset: 480}, "offsets of an epoch that nobody told")
}

// TestWhoReadTheNewEpochFromTheStoreAsksOnePeerOnce: the copy may be older than what the peer knows.
func TestWhoReadTheNewEpochFromTheStoreAsksOnePeerOnce(t *testing.T) {
	peer, self := NewState(0, nil), NewState(0, nil)
	for _, s := range []*State{peer, self} {
		s.applySnapshot(Targets, Batch{Next: 500, Epoch: 1, Records: []Record{record(0, "a"), record(1, "b")}}, "store")
		s.applyWhole(Whole{}, "peer", true)
	}
	left := registry.Entry{ID: "b", Service: "s", Sequence: 2, Leaving: true}
	peer.applyBatch(Targets, Batch{Next: 501, Epoch: 1, Records: []Record{{Offset: 500, ID: "b", Entry: &left}}}, "store")
	srv := httptest.NewServer(peer)
	defer srv.Close()
	asked := mesh.Member{Addr: strings.TrimPrefix(srv.URL, "http://"), Zone: "a"}
	_, asked.Registry = peer.Versions()
	f := NewFollower(Options{State: self, Self: "self", Zone: "a", Peers: func() mesh.View { return view(0, asked) }})

	self.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a"), record(1, "b")}}, "store")
	assert.Equal(t, self.Targets().Len(), 2, "it had not heard of the notice")
	assert.Assert(t, self.Behind(time.Now(), 0, asked.Registry))
	assert.Assert(t, f.pullOnce(t.Context()))
	assert.Equal(t, self.Targets().Len(), 1)
	assert.Assert(t, !self.Behind(time.Now(), 0, asked.Registry), "not again")
}

// TestAfterARestoreAFewOfAZoneAskTheStore: at sizes of 36, 293 and 920 instances before 31, 660 and
// 13,000 targets, where the store takes 2,000 reading calls a second, and 16,000 for the larger ones.
// The readers of a zone do, those that read in their place until they have noticed too, and
// three that announce themselves. All others pull from peers.
func TestAfterARestoreAFewOfAZoneAskTheStore(t *testing.T) {
	const (
		pageKeys   = 500
		perAnother = 2 // a read that is refused, and a snapshot's pages, for each stream
	)
	for _, size := range []struct{ zone, zones, targets, rate int }{{12, 3, 31, 2000}, {58, 5, 660, 16000}, {184, 5, 13000, 16000}} {
		now := time.Now()
		members, seenBy := zoneOf(size.zone, now, mesh.LogAvailable)
		for i := range members {
			members[i].Registry = registry.Position{Epoch: 1, Offset: 500}
		}
		reading, announcing := 0, 0
		for i, m := range members {
			s := NewState(0, nil)
			s.applySnapshot(Targets, Batch{Next: 480, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
			f := NewFollower(Options{State: s, Self: m.Addr, Zone: "a", Peers: func() mesh.View { return seenBy(i) }})
			f.unserved = now.Add(-time.Hour)
			if f.reads() {
				reading++
			}
			if f.o.announces(seenBy(i)) {
				announcing++
			}
		}
		pages := size.targets/pageKeys + 1
		calls := size.zones * (reading*(perAnother+pages+1) + announcing)
		assert.Assert(t, calls <= size.rate, "%d instances a zone: %d calls, %d a second are taken", size.zone, calls, size.rate)
		assert.Assert(t, reading <= readersPerZone+takeOverMost)
		assert.Equal(t, announcing, announcedPerZone)
	}
}

// refusing is a store that refuses the calls of one instance.
type refusing struct{ Store }

func (refusing) Snapshot(context.Context, Stream) (Batch, error) { return Batch{}, errAway }

func (refusing) Read(context.Context, Stream, registry.Offset, time.Duration) (Batch, error) {
	return Batch{}, errAway
}

var errAway = errors.New("refused")

// follower is an instance that follows a store, and its peers through what they serve.
type follower struct {
	addr  string
	state *State
	f     *Follower
}

// startZone starts the instances of a zone. Each sees what the others tell at that moment; where
// refused is true the store refuses an instance's calls.
func startZone(t *testing.T, size int, store Store, refused func(i int) bool) []*follower {
	zone := make([]*follower, size)
	see := func(self int) mesh.View {
		v := mesh.View{At: time.Now(), Zone: "a"}
		for i, other := range zone {
			if i == self {
				continue
			}
			m := mesh.Member{Addr: other.addr, Zone: "a", Log: other.f.Log(), LastReceived: v.At}
			m.Document, m.Registry = other.state.Versions()
			v.Members = append(v.Members, m)
		}
		return v
	}
	for i := range zone {
		s := NewState(0, nil)
		srv := httptest.NewServer(s)
		t.Cleanup(srv.Close)
		zone[i] = &follower{addr: strings.TrimPrefix(srv.URL, "http://"), state: s}
	}
	for i, x := range zone {
		mine := store
		if refused(i) {
			mine = refusing{store}
		}
		x.f = NewFollower(Options{State: x.state, Store: mine, Self: x.addr, Zone: "a", Peers: func() mesh.View { return see(i) }, Know: func([]string) {}})
	}
	for i, x := range zone {
		go x.f.Run(t.Context())
		go heartbeats(t.Context(), x, func() mesh.View { return see(i) })
	}
	return zone
}

// heartbeats lets an instance hear what the others tell.
func heartbeats(ctx context.Context, x *follower, see func() mesh.View) {
	for ctx.Err() == nil {
		for _, m := range see().Members {
			if x.state.Behind(time.Now(), m.Document, m.Registry) {
				x.f.Ahead()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestARestoreIsNoticedWhereTheStoreRefusesAThird: these learn from the others, within the users' bound
// for changes.
func TestARestoreIsNoticedWhereTheStoreRefusesAThird(t *testing.T) {
	const within = 2500 * time.Millisecond
	store := &restoredStore{epoch: 1, end: 500}
	zone := startZone(t, 9, store, func(i int) bool { return i%3 == 0 })
	for _, x := range zone {
		pollEpoch(t, x.state, 1, 5*time.Second)
	}
	store.restore(2, 480)
	since := time.Now()
	for _, x := range zone {
		pollEpoch(t, x.state, 2, within-time.Since(since))
	}
}

// pollEpoch waits until the targets are known in an epoch.
func pollEpoch(t *testing.T, s *State, epoch registry.Epoch, within time.Duration) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if next := s.next(Targets); next.Epoch != epoch {
			return poll.Continue("targets at %v", next)
		}
		return poll.Success()
	}, poll.WithTimeout(within), poll.WithDelay(5*time.Millisecond))
}
