package statesync

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

func documentOf(v document.Version) *document.Document {
	return &document.Document{
		Version:  v,
		Routes:   []document.Route{{Host: "h", Prefix: "/", Class: fleet.Lookup, MaxAttempts: 1, Backends: []document.Backend{{Service: "s", Weight: 1}}}},
		Services: []document.Service{{Name: "s"}},
		Limits:   document.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
	}
}

// pullFromPeers pulls the part of the state that the stream carries, and reports whether a peer
// responded or none was ahead.
func (f *Follower) pullFromPeers(ctx context.Context, s Stream) bool {
	outcome, _ := f.pullOnce(ctx, f.pullKinds[s])
	return outcome == pullDone
}

func record(o registry.Offset, id fleet.TargetID) Record {
	return Record{Offset: o, ID: id, Entry: &registry.Entry{ID: id, Service: "s", Sequence: 1}}
}

func TestStateIgnoresOlderVersions(t *testing.T) {
	changes := 0
	s := NewState(0, func() { changes++ })
	s.applyBatch(Documents, Batch{Next: 5, Records: []Record{{Offset: 4, Document: documentOf(7)}}}, "store")
	s.applySnapshot(Documents, Batch{Next: 3, Records: []Record{{Document: documentOf(6)}}}, "lagging store")
	s.applyPeerSnapshot(PeerSnapshot{Document: documentOf(5), NextDocument: 2}, "peer", false)
	v, _ := s.Versions()
	assert.Equal(t, v, document.Version(7))
	assert.Equal(t, s.next(Documents), registry.Position{Offset: 5})
	assert.Equal(t, changes, 1)

	s.applyBatch(Targets, Batch{Records: []Record{record(0, "a"), record(1, "b")}}, "store")
	s.applySnapshot(Targets, Batch{Next: 1, Records: []Record{record(0, "a")}}, "lagging store")
	s.applyPeerSnapshot(PeerSnapshot{Registry: 1}, "peer", false)
	assert.Equal(t, s.Targets().Len(), 2)
	s.applyPeerSnapshot(PeerSnapshot{Registry: 9, Entries: []registry.Entry{{ID: "c", Service: "s"}, {ID: "a", Service: "s", Sequence: 2}, {ID: "b", Service: "s", Sequence: 2}}}, "peer", false)
	assert.Equal(t, s.Targets().Len(), 3)
	assert.Equal(t, s.next(Targets), registry.Position{Offset: 9})
}

func TestInvalidRecordsKeepLastGoodState(t *testing.T) {
	s := NewState(0, nil)
	s.applyBatch(Documents, Batch{Records: []Record{{Document: documentOf(7)}}}, "store")
	bad := documentOf(9)
	bad.Routes[0].Prefix = "no slash"
	s.applyBatch(Documents, Batch{Records: []Record{{Err: errors.New("cut")}, {Document: bad}}}, "store")
	v, _ := s.Versions()
	assert.Equal(t, v, document.Version(7))
	s.applyBatch(Targets, Batch{Records: []Record{record(0, "a"), {Offset: 1, ID: "a", Err: errors.New("cut")}, record(2, "b")}}, "store")
	assert.Equal(t, s.Targets().Len(), 2)
	assert.Equal(t, s.next(Targets), registry.Position{Offset: 3}, "reading continues after the invalid record")
}

func TestNewInstancePullsStateFromPeer(t *testing.T) {
	old := NewState(0, nil)
	old.applyBatch(Documents, Batch{Next: 1, Records: []Record{{Document: documentOf(7)}}}, "store")
	old.applyBatch(Targets, Batch{Records: []Record{record(0, "a")}}, "store")
	srv := httptest.NewServer(old)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")

	fresh := NewState(0, nil)
	p := newPuller()
	w, err := pull(t.Context(), p.fresh, addr, pullRequest{})
	assert.NilError(t, err)
	fresh.applyPeerSnapshot(w, addr, false)
	v, o := fresh.Versions()
	assert.Equal(t, v, document.Version(7))
	assert.Equal(t, o, registry.Position{Offset: 1})
	w, err = pull(t.Context(), p.kept, addr, pullRequest{document: v, registry: o})
	assert.NilError(t, err)
	assert.Assert(t, w.Document == nil && len(w.Entries) == 0, "a peer sends nothing that the requester already has")
}

// announceCounter counts calls of Announce.
type announceCounter struct {
	Store
	announced atomic.Int32
	epoch     atomic.Int64
}

func (s *announceCounter) Announce(context.Context, string) (registry.Epoch, error) {
	s.announced.Add(1)
	return registry.Epoch(s.epoch.Load()), nil
}

func (s *announceCounter) CloseIdleConnections() {}

func (s *announceCounter) Addresses(context.Context) ([]string, error) { return nil, nil }

// zoneSizes are the instances of a zone in fleets of 293 and 920.
var zoneSizes = []int{58, 184}

// zoneMembers returns the given number of instances of a zone, all heard at the same time, and
// a function that returns the view that instance i has of the others.
func zoneMembers(size int, now time.Time, log mesh.LogState) (members []mesh.Member, viewOf func(i int) mesh.View) {
	for i := range size {
		members = append(members, mesh.Member{Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "a", Log: log, LastReceived: now})
	}
	return members, func(i int) mesh.View {
		return mesh.View{At: now, Zone: "a", Members: slices.Concat(members[:i], members[i+1:]), Zones: view(1).Zones}
	}
}

// TestFewInstancesPerZoneAnnounceThemselves checks that the first instances of a zone announce
// themselves, and so does one without peers: once, and again after a restore of the store.
func TestFewInstancesPerZoneAnnounceThemselves(t *testing.T) {
	for _, size := range zoneSizes {
		members, viewOf := zoneMembers(size, time.Now(), mesh.LogUnread)
		announcing := 0
		for i := range members {
			o := Options{Self: members[i].Addr, Zone: "a"}
			if o.isAnnouncer(viewOf(i)) {
				announcing++
			}
		}
		assert.Equal(t, announcing, announcersPerZone)
	}

	store, state := new(announceCounter), NewState(0, nil)
	f := NewFollower(Options{State: state, Self: "self", Zone: "a", Store: store, OnAddresses: func([]string) {}, Peers: func() mesh.View { return mesh.View{At: time.Now(), Zone: "a"} }})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.introduce(ctx)
	announced := func(times int32) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := store.announced.Load(); n != times {
				return poll.Continue("announced %d times", n)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	announced(1)
	state.applySnapshot(Targets, Batch{Next: 1, Epoch: 1, Records: []Record{record(0, "a")}}, "store")
	store.epoch.Store(2)
	state.applySnapshot(Targets, Batch{Next: 1, Epoch: 2, Records: []Record{record(0, "a")}}, "store")
	announced(2)
	time.Sleep(300 * time.Millisecond)
	announced(2)
}

// TestFailedPullIsRetried checks that a failed pull is repeated although no peer reports the
// newer state again.
func TestFailedPullIsRetried(t *testing.T) {
	newer := NewState(0, nil)
	newer.applyBatch(Documents, Batch{Next: 3, Records: []Record{{Offset: 2, Document: documentOf(7)}}}, "store")
	failed := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !failed {
			failed = true
			http.Error(w, "cut", http.StatusBadGateway)
			return
		}
		newer.ServeHTTP(w, r)
	}))
	defer srv.Close()
	behind := NewState(0, nil)
	peer := mesh.Member{Addr: strings.TrimPrefix(srv.URL, "http://"), Zone: "a", Document: 7, LastReceived: time.Now()}
	f := NewFollower(Options{State: behind, Self: "self", Zone: "a", Peers: func() mesh.View {
		return mesh.View{At: time.Now(), Zone: "a", Members: []mesh.Member{peer}}
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go f.pullLoop(ctx, f.pullKinds[Documents])
	f.NotifyAhead()
	for version := document.Version(0); version != 7; version, _ = behind.Versions() {
		assert.NilError(t, ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
}

// settle makes the follower that of a process that started long ago and has a state.
func settle(f *Follower) {
	f.freshness.Started = time.Now().Add(-time.Hour)
	f.snapshotDone = [streamCount]bool{true, true}
}

// view returns a view of the members and of so many other zones, all heard now.
func view(zones int, members ...mesh.Member) mesh.View {
	now := time.Now()
	v := mesh.View{At: now, Zone: "a", Members: members}
	for i := range v.Members {
		v.Members[i].LastReceived = now
	}
	for range zones {
		v.Zones = append(v.Zones, mesh.Zone{Name: "b", LastDigest: now})
	}
	return v
}

// TestFirstReadOfNewReaderIsShort checks that the first read of a new reader does not wait for
// a change: until it has a response to report, others would take over too.
func TestFirstReadOfNewReaderIsShort(t *testing.T) {
	f := NewFollower(Options{State: NewState(0, nil), Store: storeStub{}, Peers: func() mesh.View { return view(0) }, Self: "10.0.0.2:1", Zone: "a"})
	settle(f)
	assert.Assert(t, f.updateRole())
	assert.Assert(t, f.readWait(Targets) <= freshness.TakeoverDelay, f.readWait(Targets))
	f.recordResult(Targets, nil)
	assert.Equal(t, f.readWait(Targets), maxTargetsWait)
	f.recordResult(Targets, errors.New("away"))
	assert.Equal(t, f.readWait(Targets), probeWait)
}

// lowerRankedAddr returns the n-th of a series of addresses that rank before 10.0.0.1:1 and
// 10.0.0.2:1 as readers.
func lowerRankedAddr(n int) string {
	for host := 3; ; host++ {
		addr := fmt.Sprintf("10.0.%d.%d:1", n+1, host)
		if freshness.ReaderRank(addr) < min(freshness.ReaderRank("10.0.0.1:1"), freshness.ReaderRank("10.0.0.2:1")) {
			return addr
		}
	}
}

// storeStub is a Store whose methods must not be called.
type storeStub struct{ Store }

func TestNewReaderRoleResetsLogState(t *testing.T) {
	f := NewFollower(Options{State: NewState(0, nil), Store: storeStub{}, Peers: func() mesh.View {
		return view(0, mesh.Member{Addr: "10.0.0.1:1", Zone: "a", Log: mesh.LogAvailable})
	}, Self: "10.0.0.2:1", Zone: "a"})
	settle(f)
	f.role.Reads = true
	f.recordResult(Documents, nil)
	f.recordResult(Targets, nil)
	assert.Equal(t, f.LogState(), mesh.LogAvailable)
	f.role.Reads = false
	assert.Assert(t, f.updateRole())
	assert.Equal(t, f.LogState(), mesh.LogUnread, "a new reader has no response yet")
	f.announceChange(func() { f.recordLoading(Targets) })
	assert.Equal(t, f.LogState(), mesh.LogLoading)
	f.recordResult(Targets, nil)
	assert.Equal(t, f.LogState(), mesh.LogUnread, "only one stream has a response")
	f.recordResult(Documents, errors.New("away"))
	assert.Equal(t, f.LogState(), mesh.LogUnavailable)
}

// TestPeersSendTargetStartTimes checks that peers send start times both with changes and with
// a full list of entries, so that the receiver detects restarted targets.
func TestPeersSendTargetStartTimes(t *testing.T) {
	for _, lag := range []registry.Offset{0, 1} {
		old := NewState(0, nil)
		e := registry.Entry{ID: "a", Service: "s", Sequence: 40, Born: 1}
		old.applyBatch(Targets, Batch{Records: []Record{{Offset: 0, ID: "a", Entry: &e}}}, "store")
		fresh := NewState(0, nil)
		var restarted []fleet.TargetID
		fresh.OnRestart(func(ids []fleet.TargetID) { restarted = append(restarted, ids...) })
		catchUp := func() {
			srv := httptest.NewServer(old)
			defer srv.Close()
			addr := strings.TrimPrefix(srv.URL, "http://")
			_, o := fresh.Versions()
			w, err := pull(t.Context(), newPuller().fresh, addr, pullRequest{registry: o})
			assert.NilError(t, err)
			fresh.applyPeerSnapshot(w, addr, false)
		}
		if lag == 0 {
			old.applySnapshot(Targets, Batch{Next: 9, Records: []Record{{Offset: 0, ID: "a", Entry: &e}}}, "store")
		}
		catchUp()
		assert.Equal(t, fresh.Targets().Target("a").Born, int64(1))
		later := registry.Entry{ID: "a", Service: "s", Sequence: 1, Born: 2}
		old.applyBatch(Targets, Batch{Records: []Record{{Offset: old.next(Targets).Offset, ID: "a", Entry: &later}}}, "store")
		catchUp()
		assert.Equal(t, fresh.Targets().Target("a").Born, int64(2))
		assert.DeepEqual(t, restarted, []fleet.TargetID{"a"})
	}
}
