package publication

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// The size that the design is for. A contract has at least one route and one
// service of its own, so there are as many of these as customers.
const (
	customers       = 28_000
	targets         = 13_000
	targetsServices = 450
)

// smallContract returns the contract of the n-th customer.
func smallContract(t testing.TB, n int) *contract.Contract {
	c, err := contract.Decode(fmt.Appendf(nil, `{"format":"clementinereel/contract/v1","customer":"customer-%d","hosts":["customer-%d.example"],
		"limits":{"rate_per_second":100},
		"services":[{"name":"main","slots_per_target":4,"connections_per_target":300,"detection":{}}],
		"routes":[{"name":"main","path_prefix":"/v1/main","service":"main","class":"lookup","limits":{"rate_per_second":50},"deadline":"2s","retry":{}}]}`, n, n))
	assert.NilError(t, err)
	return c
}

func smallTarget(n int) Announcement {
	service := fleet.NewServiceID(fleet.CustomerID(fmt.Sprintf("customer-%d", n%targetsServices)), "main")
	return Announcement{
		ID: fleet.TargetID(fmt.Sprintf("target-%d", n)), Service: service,
		Addr: fmt.Sprintf("10.%d.%d.1:8080", n/250, n%250), Zone: "zone-1", State: fleet.Joined,
	}
}

// bigStream returns the records of a fleet of the size that the design is for.
func bigStream(t testing.TB) []logservice.Record {
	l := &stream{t: t}
	for n := range customers {
		l.add(EncodeContract(fmt.Sprintf("9d3c0a52-7f1e-4f0b-8a55-%012d", n), NoRevision, smallContract(t, n)))
	}
	for n := range targets {
		l.add(EncodeTarget(fmt.Sprintf("9d3c0a52-7f1e-4f0b-8a56-%012d", n), NoRevision, smallTarget(n)))
	}
	return l.records
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkFleetSize folds the state of the size that the design is for and
// reports its memory, the size of its checkpoint, and the time of each step.
func BenchmarkFleetSize(b *testing.B) {
	records := bigStream(b)
	for range b.N {
		before := heap()
		s, began := NewState(), time.Now()
		for _, r := range records {
			if d := s.Apply(r); d.Verdict != Accepted {
				b.Fatal(d)
			}
		}
		folded := time.Since(began)
		b.ReportMetric(float64(folded.Microseconds())/float64(len(records)), "us/record")
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB/state")
		s.View()
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB/state+view")
		reportCheckpoint(b, s)
		reportChange(b, s)
		runtime.KeepAlive(s)
	}
	runtime.KeepAlive(records)
}

func reportCheckpoint(b *testing.B, s *State) {
	began := time.Now()
	packed, err := s.Clone().Snapshot()
	assert.NilError(b, err)
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms/pack")
	b.ReportMetric(float64(len(packed))/(1<<10), "KB/checkpoint")
	began = time.Now()
	_, err = Restore(packed)
	assert.NilError(b, err)
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms/restore")
}

// reportChange reports the time to fold one change into the state and to make
// the next view.
func reportChange(b *testing.B, s *State) {
	data, err := EncodeContract("next", s.Revision("customer-7"), smallContract(b, 7))
	assert.NilError(b, err)
	began := time.Now()
	d := s.Apply(logservice.Record{Offset: s.Next(), Time: epoch, Data: data})
	assert.Equal(b, d.Verdict, Accepted)
	s.View()
	b.ReportMetric(float64(time.Since(began).Microseconds()), "us/change+view")
}

func BenchmarkApplyContract(b *testing.B) {
	data, err := EncodeContract("a", NoRevision, example(b))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		NewState().Apply(logservice.Record{Time: epoch, Data: data})
	}
}

func BenchmarkApplyTarget(b *testing.B) {
	contract, err := EncodeContract("a", NoRevision, smallContract(b, 0))
	assert.NilError(b, err)
	data, err := EncodeTarget("b", NoRevision, smallTarget(0))
	assert.NilError(b, err)
	s := NewState()
	s.Apply(logservice.Record{Time: epoch, Data: contract})
	b.ReportAllocs()
	for b.Loop() {
		c := *s
		c.targets = map[fleet.ServiceID]map[fleet.TargetID]*announced{}
		c.Apply(logservice.Record{Offset: 1, Time: epoch, Data: data})
	}
}
