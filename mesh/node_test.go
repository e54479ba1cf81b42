package mesh

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

// recordingNode is a node that records the packets that it handles.
type recordingNode struct {
	*Node
	mu      sync.Mutex
	packets []*Packet
}

func startNode(t testing.TB, zone fleet.Zone, seeds ...string) *recordingNode {
	return startNodeAt(t, "127.0.0.1:0", zone, seeds...)
}

func startNodeAt(t testing.TB, addr string, zone fleet.Zone, seeds ...string) *recordingNode {
	h := new(recordingNode)
	n, err := Listen(Config{Addr: addr, Zone: zone, Boot: time.Now(), Seeds: seeds},
		Callbacks{
			FillHeartbeat: func(_ time.Time, p *Packet) { p.Document = 7 },
			FillGreeting:  func(_ time.Time, p *Packet) { p.Estimates = []Estimate{{Service: "s", Target: "t", Permille: 900}} },
			Digest:        func(_ time.Time, first bool) *Digest { return &Digest{Instances: 2, Complete: first} },
			Handle: func(_ time.Time, p *Packet) {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.packets = append(h.packets, p)
			},
		})
	assert.NilError(t, err)
	h.Node = n
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.Run(ctx)
	return h
}

func (h *recordingNode) countEvidence(id fleet.TargetID) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, p := range h.packets {
		n += len(slices.DeleteFunc(slices.Clone(p.Evidence), func(e Evidence) bool { return e.Target != id }))
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestInstancesDiscoverEachOtherThroughOneSeed(t *testing.T) {
	a := startNode(t, "a")
	nodes := []*recordingNode{a, startNode(t, "a", a.Addr()), startNode(t, "a", a.Addr()), startNode(t, "a", a.Addr())}
	for _, n := range nodes {
		eventually(t, "discovery of all instances", func() bool { return n.View().ZoneInstances() == 4 })
	}
}

// TestInstancesDiscoverEachOtherWhenSeedStartsLast: if a whole fleet starts at once, its seeds may
// be the last to start.
func TestInstancesDiscoverEachOtherWhenSeedStartsLast(t *testing.T) {
	const seedDelay, timeout = 600 * time.Millisecond, 700 * time.Millisecond
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := free.LocalAddr().String()
	assert.NilError(t, free.Close())
	nodes := []*recordingNode{startNode(t, "a", addr), startNode(t, "a", addr), startNode(t, "a", addr)}
	time.Sleep(seedDelay)
	begin := time.Now()
	nodes = append(nodes, startNodeAt(t, addr, "a"))
	for _, n := range nodes {
		eventually(t, "discovery of all instances", func() bool { return n.View().ZoneInstances() == len(nodes) })
	}
	assert.Assert(t, time.Since(begin) < timeout, "%v", time.Since(begin))
}

func TestNewInstanceReceivesHealthEstimates(t *testing.T) {
	old := startNode(t, "a")
	fresh := startNode(t, "a", old.Addr())
	eventually(t, "health estimates", func() bool {
		fresh.mu.Lock()
		defer fresh.mu.Unlock()
		return slices.ContainsFunc(fresh.packets, func(p *Packet) bool { return len(p.Estimates) == 1 && p.Estimates[0].Permille == 900 })
	})
}

func TestUpdateReachesEveryInstanceOnce(t *testing.T) {
	a := startNode(t, "a")
	others := []*recordingNode{startNode(t, "a", a.Addr()), startNode(t, "b", a.Addr()), startNode(t, "b", a.Addr()), startNode(t, "b", a.Addr())}
	eventually(t, "mutual discovery of the zones", func() bool {
		for _, n := range append(others, a) {
			if v := n.View(); len(v.Zones) != 1 || v.ZoneInstances() < 2 {
				return false
			}
		}
		return others[2].View().ZoneInstances() == 3
	})
	a.SendUpdate(Packet{Evidence: []Evidence{{Target: "t", Observation: suspicion.Failure}}})
	for i, n := range others {
		eventually(t, "evidence", func() bool { return n.countEvidence("t") > 0 })
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, n.countEvidence("t"), 1, "node %d", i)
	}
}

// TestNoHeartbeatsBetweenZonesWithDigests: while digests arrive, instances of different zones must
// not send each other heartbeats, whose number would grow with the square of the fleet.
func TestNoHeartbeatsBetweenZonesWithDigests(t *testing.T) {
	first := startNode(t, "a")
	nodes := []*recordingNode{first}
	for _, z := range []fleet.Zone{"a", "a", "a", "b", "b", "b", "b"} {
		nodes = append(nodes, startNode(t, z, first.Addr()))
	}
	eventually(t, "discovery of all instances and zones", func() bool {
		return !slices.ContainsFunc(nodes, func(n *recordingNode) bool {
			v := n.View()
			return v.PeerCount < len(nodes)-1 || v.ZoneInstances() != 4 || len(v.Zones) != 1
		})
	})
	time.Sleep(heartbeatRetryInterval)
	since := time.Now()
	heartbeats := 0
	for _, n := range nodes {
		n.mu.Lock()
		n.packets = nil
		n.mu.Unlock()
	}
	time.Sleep(heartbeatRetryInterval + digestInterval)
	for _, n := range nodes {
		n.mu.Lock()
		for _, p := range n.packets {
			if p.Heartbeat && p.Zone != n.cfg.Zone {
				heartbeats++
			}
		}
		n.mu.Unlock()
	}
	assert.Equal(t, heartbeats, 0, "heartbeats between zones in %v", time.Since(since))
}

// TestBridgeAnnouncesVersionsToOtherZones: a change must reach other zones before the next digest.
func TestBridgeAnnouncesVersionsToOtherZones(t *testing.T) {
	a := startNode(t, "a")
	b := startNode(t, "b", a.Addr())
	eventually(t, "a digest of zone b", func() bool { return len(a.View().Zones) == 1 })
	b.Announce(Packet{Versions: Versions{Document: 9}})
	eventually(t, "the announced version", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return slices.ContainsFunc(a.packets, func(p *Packet) bool { return p.Document == 9 && p.Digest == nil })
	})
}

// TestContentsReachAllZones: a request that crashes its targets may arrive at any instance.
func TestContentsReachAllZones(t *testing.T) {
	a := startNode(t, "a")
	nodes := []*recordingNode{startNode(t, "a", a.Addr()), startNode(t, "b", a.Addr()), startNode(t, "b", a.Addr()), startNode(t, "b", a.Addr())}
	eventually(t, "a digest of zone b", func() bool { return len(a.View().Zones) == 1 })
	for _, n := range nodes[1:] {
		eventually(t, "discovery in zone b", func() bool { return n.View().ZoneInstances() == 3 })
	}
	eventually(t, "discovery in zone a", func() bool { return a.View().ZoneInstances() == 2 })
	a.SendUpdate(Packet{Contents: []ContentEvidence{contentWithLosses(3)}})
	for _, n := range nodes {
		eventually(t, "the content", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return slices.ContainsFunc(n.packets, func(p *Packet) bool { return len(p.Contents) == 1 && len(p.Contents[0].Losses) == 3 })
		})
	}
}

func TestLargeEvidenceIsSplit(t *testing.T) {
	a := startNode(t, "a")
	b := startNode(t, "a", a.Addr())
	eventually(t, "mutual discovery", func() bool { return a.View().ZoneInstances() == 2 && b.View().ZoneInstances() == 2 })
	var p Packet
	for range 200 {
		p.Evidence = append(p.Evidence, Evidence{Service: "a-service-name", Target: "t", Observation: suspicion.Failure})
	}
	a.SendUpdate(p)
	eventually(t, "all evidence", func() bool { return b.countEvidence("t") == 200 })
}

func TestPacketsOfEarlierProcessesAreIgnored(t *testing.T) {
	now := time.Now()
	ms := newMembers("self", "a", 1)
	_, s := ms.receive(now, &Packet{Addr: "10.0.0.1:1", Zone: "a", Boot: 9, Sequence: 5})
	assert.Equal(t, s, memberNew)
	_, s = ms.receive(now, &Packet{Addr: "10.0.0.1:1", Zone: "a", Boot: 8, Sequence: 6})
	assert.Equal(t, s, packetIgnored)
	_, s = ms.receive(now, &Packet{Addr: "10.0.0.1:1", Zone: "a", Boot: 9, Sequence: 5})
	assert.Equal(t, s, packetIgnored, "duplicate")
	_, s = ms.receive(now, &Packet{Addr: "10.0.0.1:1", Zone: "a", Boot: 10, Sequence: 5})
	assert.Equal(t, s, memberNew)
}

func TestSilentMembersLeaveView(t *testing.T) {
	now := time.Now()
	ms := newMembers("self", "a", 1)
	for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		ms.receive(now, &Packet{Addr: addr, Zone: "a", Boot: 1, Sequence: 1})
	}
	fresh := func(now time.Time) (n int) {
		for _, m := range ms.view(now).Members {
			if m.Fresh(now) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, fresh(now), 2)
	ms.receive(now.Add(2*time.Second), &Packet{Addr: "10.0.0.1:1", Zone: "a", Boot: 1, Sequence: 2})
	assert.Equal(t, fresh(now.Add(2*time.Second)), 1, "one of two is silent")
	assert.DeepEqual(t, ms.expire(now.Add(4*time.Second)), []string{"10.0.0.2:1"})
	assert.Equal(t, ms.view(now.Add(4*time.Second)).ZoneInstances(), 3, "a silent member may still use its share of budgets")
	assert.Equal(t, ms.view(now.Add(13*time.Second)).ZoneInstances(), 2)
	assert.Equal(t, len(ms.heartbeatRecipients(now.Add(13*time.Second))), 2, "heartbeats to lapsed members continue")
}

// TestBridgeSelection: all instances must select the same bridges of a zone, and replace a lost
// one.
func TestBridgeSelection(t *testing.T) {
	now := time.Now()
	ms := newMembers("10.0.0.9:1", "a", 1)
	for _, addr := range []string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1", "10.0.1.4:1"} {
		ms.add(now, addr, "b")
	}
	first := ms.bridges(now)
	assert.Equal(t, len(first), bridgesPerZone)
	acting := "10.0.1.4:1"
	ms.receive(now, &Packet{Addr: acting, Zone: "b", Boot: 1, Sequence: 1, Digest: &Digest{Instances: 4}})
	assert.Equal(t, ms.bridges(now)[0].String(), acting, "an active bridge comes first")
	later := now.Add(zoneFreshTimeout + time.Second)
	assert.DeepEqual(t, ms.bridges(later)[0].String(), first[0].String())
}

func TestNewProcessRanksBehindOlderOnes(t *testing.T) {
	now := time.Now()
	old, young := now.Add(-time.Minute).UnixMilli(), now.UnixMilli()
	addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	slices.SortFunc(addrs, func(a, b string) int { return newRankedAddr(a).compare(newRankedAddr(b)) })
	for _, boot := range []int64{old, young} {
		ms := newMembers(addrs[0], "a", boot)
		for _, addr := range addrs[1:] {
			ms.receive(now, &Packet{Addr: addr, Zone: "a", Boot: old, Sequence: 1})
		}
		want := 0
		if boot == young {
			want = 2
		}
		assert.Equal(t, ms.position(now), want)
	}
}

// BenchmarkHeartbeat measures the encoded size and the processing time of a heartbeat with load and
// evidence.
func BenchmarkHeartbeat(b *testing.B) {
	p := &Packet{Addr: "10.1.0.34:7540", Zone: "riga-a", Boot: time.Now().UnixMilli(), Sequence: 1000, Heartbeat: true, Versions: Versions{Document: 60, Registry: 90}}
	for range 4 {
		p.Load = append(p.Load, Load{Target: "i-7f3a91c2ab", InFlight: 1})
		p.Evidence = append(p.Evidence, Evidence{Service: "huvo11a", Target: "i-7f3a91c2ab", Observation: suspicion.Success, AgeMillis: 300, DurationMillis: 300})
	}
	var size int
	for b.Loop() {
		out, err := encode(p)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decode(out); err != nil {
			b.Fatal(err)
		}
		size = len(out)
	}
	b.ReportMetric(float64(size), "B/packet")
}

// BenchmarkFleetDiscovery measures the time from the start of 40 instances of a zone that share one
// seed until each has received from nearly all others.
func BenchmarkFleetDiscovery(b *testing.B) {
	const instances, nearlyAll = 40, 0.85
	for b.Loop() {
		first := startNode(b, "a")
		nodes := []*recordingNode{first}
		for range instances - 1 {
			nodes = append(nodes, startNode(b, "a", first.Addr()))
		}
		for slices.ContainsFunc(nodes, func(n *recordingNode) bool {
			return float64(n.View().ZoneInstances()) < nearlyAll*instances
		}) {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestViewIncludesLatestVersion guards against views that lag behind. An instance that had received
// a newer version looked for a member that has it in a cached view, found none and did not fetch
// it: a request reached a target 2.9 s after the target's notice, beyond the bound of 2.5 s.
func TestViewIncludesLatestVersion(t *testing.T) {
	n := newBridge(t, 2, true)
	maxOffset := func() registry.Offset {
		var offset registry.Offset
		for _, m := range n.View().Members {
			offset = max(offset, m.Registry.Offset)
		}
		return offset
	}
	assert.Equal(t, maxOffset(), registry.Offset(0))
	for i := range 3 {
		p := remoteFailure(0, 10+i)
		p.Registry = registry.Offset(7 + i)
		n.HandleDatagram(mustEncode(t, p))
		assert.Equal(t, maxOffset(), p.Registry)
	}
}

// TestNewProcessIsKnownByItsOwnWords: a process that had just started was taken for a reader of the log, because
// the one before it at the same address was one.
func TestNewProcessIsKnownByItsOwnWords(t *testing.T) {
	now := time.Now()
	m := Member{Addr: "10.0.0.1:1"}
	m.Update(now, &Packet{Zone: "a", Boot: 1, Versions: Versions{Log: LogAvailable, Registry: 7, Document: 3}})
	m.Update(now, &Packet{Zone: "a", Boot: 2, Sequence: 1})
	assert.Equal(t, m.Log, LogUnread)
	assert.Equal(t, m.Registry, registry.Position{})
	assert.Equal(t, m.Document, document.Version(0))
	assert.Equal(t, m.Addr, "10.0.0.1:1")
}
