package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
	"github.com/clementinereel/clementinereel/publication"
)

// neighbourRate is the contract's lookups a second of the neighbour.
const neighbourRate = 60

// neighbour is a second customer with a well service and a sick one.
const neighbour = `{"format": "clementinereel/contract/v1", "customer": "neighbour", "hosts": ["neighbour.example"],
  "limits": {"rate_per_second": 120},
  "services": [
    {"name": "well", "slots_per_target": 2, "connections_per_target": 300, "detection": {}},
    {"name": "sick", "slots_per_target": 2, "connections_per_target": 300, "detection": {}}],
  "routes": [
    {"name": "well", "path_prefix": "/well", "service": "well", "class": "lookup",
     "limits": {"rate_per_second": 60, "burst": 60}, "deadline": "2s", "retry": {}},
    {"name": "sick", "path_prefix": "/sick", "service": "sick", "class": "lookup",
     "limits": {"rate_per_second": 60, "burst": 60}, "deadline": "2s", "retry": {}}]}`

// publishNeighbour adds the neighbour with six targets a service, those of the
// sick one hanging.
func publishNeighbour(t *testing.T, f *Fleet) {
	t.Helper()
	c, err := contract.Decode([]byte(neighbour))
	assert.NilError(t, err)
	rec, err := publication.EncodeContract(f.publicationID(), publication.NoRevision, c)
	assert.NilError(t, err)
	f.append(rec)
	for _, svc := range c.Services {
		for n := range defaultTargets {
			id := fmt.Sprintf("%s-%d", svc.Name, n+1)
			srv, err := emulator.Serve(loopback, emulator.Options{ID: id, Slots: svc.Slots, Connections: svc.Connections})
			assert.NilError(t, err)
			t.Cleanup(srv.Close)
			if svc.Name == "sick" {
				assert.NilError(t, srv.Set(emulator.Behavior{HangPercent: 100, HangHoldsSlot: true}))
			}
			rec, err := publication.EncodeTarget(f.publicationID(), publication.NoRevision, publication.Announcement{
				ID: fleet.TargetID(id), Service: fleet.NewServiceID(c.Customer, svc.Name),
				Addr: srv.Addr(), Zone: f.zone(n), State: fleet.Joined,
			})
			assert.NilError(t, err)
			f.append(rec)
		}
	}
	for _, i := range f.Instances {
		i.WaitInForce(f.newest)
	}
}

// TestNeighbours has one customer at ten times its contract, with a service
// that hangs, beside another within its contract. The other's operations all
// come back whole and cost its targets no more than alone.
func TestNeighbours(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	publishNeighbour(t, f)
	alone := run(t, f.Load(isolationTime, mix(f)))
	flood := f.Load(longLoad, []load.Stream{
		{Class: fleet.Lookup, Path: "/well/x", Rate: 10 * neighbourRate},
		{Class: fleet.Lookup, Path: "/sick/x", Rate: neighbourRate},
	})
	flood.Host, flood.Targets = "neighbour.example", nil
	var beside *load.Report
	flooded := runBeside(t, flood, func() { beside = run(t, f.Load(isolationTime, mix(f))) })
	t.Log(latencyTable(map[string]*load.Report{"alone": alone, "beside": beside}))
	assertWhole(t, alone)
	assertWhole(t, beside)
	n := flooded.Class(fleet.Lookup)
	t.Logf("neighbour: %v", n.Answers)
	// One contract's rate, the burst, and what the instances may add to it
	// while they find each other's share.
	allowed := neighbourRate * (int(flooded.Seconds) + 1 + 2)
	assert.Assert(t, n.Ended[load.Whole] > 0)
	assert.Assert(t, n.Ended[load.Whole] <= allowed, "%d whole answers, allowed %d", n.Ended[load.Whole], allowed)
}

// isolationTime is how long each of the compared loads takes.
const isolationTime = 5 * time.Second

// latencyTable writes the classes' latency in milliseconds.
func latencyTable(reports map[string]*load.Report) string {
	var b strings.Builder
	b.WriteString("| run | class | operations | whole | p50 ms | p99 ms |\n")
	for _, name := range []string{"alone", "beside"} {
		for _, c := range reports[name].Classes {
			fmt.Fprintf(&b, "| %s | %v | %d | %d | %.2f | %.2f |\n", name, c.Class,
				c.Operations, c.Ended[load.Whole], c.Latency.P50, c.Latency.P99)
		}
	}
	return b.String()
}
