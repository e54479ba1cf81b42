package gateway

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/suspicion"
)

// FuzzPeerPacket checks that a target is still chosen after any packet of a peer.
func FuzzPeerPacket(f *testing.F) {
	for _, p := range []mesh.Packet{
		{Addr: "p", Zone: "a", Boot: 1, Heartbeat: true, Load: []mesh.Load{{Target: "t1", InFlight: 2}}, LoanRequests: []mesh.Loan{{Service: "s", Permille: 1000}}, Loans: []mesh.Loan{{Service: "s", Permille: 500}}},
		{Addr: "p", Zone: "b", Boot: 1, Evidence: []mesh.Evidence{{Service: "s", Target: "t1", Observation: suspicion.Failure, AgeMillis: 5}}, Estimates: []mesh.Estimate{{Service: "s", Target: "t2", Permille: 900}}},
		{Addr: "p", Zone: "b", Boot: 1, Digest: &mesh.Digest{Instances: 2, Successes: []mesh.Successes{{Service: "s", Target: "t1", Count: 3}}}},
	} {
		b, err := cbor.Marshal(&p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p mesh.Packet
		if cbor.Unmarshal(data, &p) != nil {
			return
		}
		k := newKnowledge()
		k.HandlePacket(start, &p)
		later := start.Add(time.Second)
		k.Digest(later, viewOf(), true)
		k.HealthEstimates(later)
		k.SpendBudget(later, "s", true)
		k.Lend(later, p.Addr, p.LoanRequests)
		if _, ok := k.Place(later, "s", targets("t1", "t2"), nil, nil, placement.Work{}, noWarmConn); !ok {
			t.Fatal("no target was chosen")
		}
	})
}
