package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

// The benchmark fleet has zones of equal size and targets of three services.
const (
	benchZones    = 5
	benchServices = 3
	// targetsPerInstance is the number of targets per instance.
	targetsPerInstance = 2.25
)

// benchFleet is one instance that knows all others of its fleet. Its datagrams go to a socket
// that discards them.
type benchFleet struct {
	node      *mesh.Node
	knowledge *Knowledge
	targets   map[fleet.TargetID]*registry.Target
	byService map[string][]*registry.Target
	addrs     []string
	zones     []fleet.Zone
	sequence  uint64
}

func newBenchFleet(b *testing.B, instances int) *benchFleet {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	assert.NilError(b, err)
	b.Cleanup(func() { _ = sink.Close() })
	port := sink.LocalAddr().(*net.UDPAddr).Port
	f := &benchFleet{targets: make(map[fleet.TargetID]*registry.Target), byService: make(map[string][]*registry.Target)}
	f.knowledge = newKnowledge()
	for i := range instances {
		f.addrs = append(f.addrs, fmt.Sprintf("127.0.%d.%d:%d", i/250+1, i%250+1, port))
		f.zones = append(f.zones, fleet.Zone(rune('a'+i%benchZones)))
	}
	for i := range int(targetsPerInstance * float64(instances)) {
		service := fmt.Sprintf("service-%d", i%benchServices)
		t := &registry.Target{Entry: registry.Entry{
			ID: fleet.TargetID(fmt.Sprintf("i-%010d", i)), Zone: fleet.Zone(rune('a' + i/benchServices%benchZones)), Slots: 4,
		}}
		f.targets[t.ID] = t
		f.byService[service] = append(f.byService[service], t)
	}
	f.node, err = mesh.Listen(mesh.Config{Addr: "127.0.0.1:0", Zone: "a", Boot: time.Now().Add(-time.Hour), LinkBytes: 1 << 40},
		mesh.Callbacks{
			FillHeartbeat: f.knowledge.FillHeartbeat,
			FillGreeting:  func(time.Time, *mesh.Packet) {},
			Digest: func(now time.Time, first bool) *mesh.Digest {
				return f.knowledge.Digest(now, f.node.View(), first)
			},
			Handle: f.knowledge.HandlePacket,
		})
	assert.NilError(b, err)
	for i := range f.addrs {
		f.node.HandleDatagram(f.encodeFrom(b, i, &mesh.Packet{Heartbeat: true}))
	}
	return f
}

// encodeFrom returns an encoded packet of another instance.
func (f *benchFleet) encodeFrom(b *testing.B, from int, p *mesh.Packet) []byte {
	f.sequence++
	p.Addr, p.Zone, p.Boot, p.Sequence, p.Document, p.Registry = f.addrs[from], f.zones[from], 1, f.sequence, 1207, 4311
	raw, err := cbor.Marshal(p)
	assert.NilError(b, err)
	return raw
}

func (f *benchFleet) target(i int) fleet.TargetID {
	return f.byService["service-0"][i%len(f.byService["service-0"])].ID
}

// BenchmarkFleetWork measures the cost of each operation an instance performs for the fleet, by
// number of instances. The frequency of each operation is in docs/CAPACITY.md.
func BenchmarkFleetWork(b *testing.B) {
	for _, instances := range []int{36, 293, 920} {
		f := newBenchFleet(b, instances)
		failure := []mesh.Evidence{{Service: "service-0", Target: f.target(1), Observation: suspicion.Failure, AgeMillis: 300}}
		var loads []mesh.Load
		for i := range 5 {
			loads = append(loads, mesh.Load{Target: f.target(i), InFlight: 1})
		}
		work := map[string]func(i int){
			"hear-load": func(i int) {
				f.node.HandleDatagram(f.encodeFrom(b, i%instances/benchZones*benchZones, &mesh.Packet{Load: loads[:1]}))
			},
			"hear-failure": func(i int) { f.node.HandleDatagram(f.encodeFrom(b, i%instances, &mesh.Packet{Evidence: failure})) },
			"hear-heartbeat": func(i int) {
				f.node.HandleDatagram(f.encodeFrom(b, i%instances/benchZones*benchZones, &mesh.Packet{Heartbeat: true, Load: loads}))
			},
			"encode":    func(i int) { f.encodeFrom(b, i%instances, &mesh.Packet{Load: loads[:1]}) },
			"heartbeat": func(int) { f.node.SendHeartbeat() },
			"tell-load": func(i int) {
				ts := f.byService["service-0"]
				p := &Placement{Target: ts[i%len(ts)], zoneTargets: len(ts) / benchZones}
				f.node.SendLoad(mesh.Load{Target: p.ID, InFlight: 1}, func(addr string) bool { return f.knowledge.ShouldNotify(addr, p) })
			},
			"tell-failure": func(int) { f.node.SendUpdate(mesh.Packet{Evidence: failure}) },
			"view":         func(int) { f.node.View() },
			"tick": func(int) {
				f.knowledge.Tick(time.Now())
			},
			"spend": func(int) { f.knowledge.SpendBudget(time.Now(), "service-0", true) },
			"place": func(int) {
				p, _ := f.knowledge.Place(time.Now(), "service-0", f.byService["service-0"], nil, nil, placement.Work{Objective: time.Second},
					func(exchange.Target, time.Duration) bool { return false })
				f.knowledge.Done(p)
			},
		}
		for _, name := range []string{"hear-load", "hear-failure", "hear-heartbeat", "encode", "heartbeat", "tell-load", "tell-failure", "view", "tick", "spend", "place"} {
			b.Run(fmt.Sprintf("%s/%d", name, instances), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					work[name](i)
				}
			})
		}
	}
}
