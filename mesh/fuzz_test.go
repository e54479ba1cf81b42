package mesh

import (
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/quota"
)

// FuzzDecode checks that every datagram is either rejected or processed.
func FuzzDecode(f *testing.F) {
	for _, p := range []*Packet{
		{Addr: "10.0.0.1:1", Evidence: []Evidence{{Target: "t"}}},
		{Addr: "10.0.0.1:1", Zone: "a", Boot: 1, Sequence: 1, Heartbeat: true, Peers: []Peer{{Addr: "10.0.0.2:1", Zone: "a"}}, Load: []Load{{Target: "t", InFlight: 2}}},
		{Addr: "10.0.0.1:1", Zone: "b", Boot: 1, Sequence: 1, Digest: &Digest{Instances: 3, Successes: []Successes{{Count: 2}}}},
		{Addr: "10.0.0.1:1", Zone: "a", Boot: 1, Sequence: 1, Contents: []ContentEvidence{contentWithLosses(2), contentWithLosses(60)}},
		{Addr: "10.0.0.1:1", Zone: "a", Boot: 1, Sequence: 1, QuotaRequests: []QuotaRequest{{Number: 1, Tenant: "t"}}, QuotaRanks: []quota.Rank{2}, QuotaResponses: []TokenResponse{{Number: 1}}},
		{Addr: "10.0.0.1:1", Zone: "a", Boot: 1, Sequence: 1, RelayedPackets: []*Packet{relayedPacket(1), relayedPacket(2)}},
	} {
		b, err := encode(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decode(data)
		if err != nil {
			return
		}
		now := time.Now()
		ms := newMembers("self", "a", 1)
		o := newOutbox(smallLinkBytes)
		for _, q := range append([]*Packet{p}, p.RelayedPackets...) {
			ms.receive(now, q)
			for _, k := range q.Peers {
				ms.add(now, k.Addr, k.Zone)
			}
			o.addOwn(now, q)
			o.addRelay(now, q, 0)
		}
		for !o.empty() {
			o.next(now.Add(time.Second))
		}
		ms.view(now)
	})
}
