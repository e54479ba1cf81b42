package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
)

// bigView has 28,000 customers with one route each.
func bigView() *publication.View {
	var list []*publication.Published
	for n := range 28_000 {
		list = append(list, published(fleet.CustomerID(fmt.Sprintf("customer-%d", n)), []string{fmt.Sprintf("customer-%d.example", n)},
			contract.Route{Name: "main", PathPrefix: "/v1/main", Service: "a", Methods: []string{"GET", "HEAD"}}))
	}
	return view(list...)
}

func BenchmarkMatch(b *testing.B) {
	table := Build(bigView())
	hosts := make([]string, 1024)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("customer-%d.example:8080", i*27)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		if _, result := table.Match(hosts[i%len(hosts)], "GET", "/v1/main/items/17"); result != Found {
			b.Fatal(result)
		}
	}
}

// BenchmarkBuild reports the memory of a table.
func BenchmarkBuild(b *testing.B) {
	v := bigView()
	for range b.N {
		before := heap()
		table := Build(v)
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB/table")
		runtime.KeepAlive(table)
	}
	runtime.KeepAlive(v)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkUpdateOneCustomer(b *testing.B) {
	v := bigView()
	table := Build(v)
	old := v.Contracts["customer-7"]
	b.ReportAllocs()
	for b.Loop() {
		p := *old
		v.Contracts["customer-7"] = &p
		v.Since, v.Next, v.Changed = v.Next, v.Next+1, []fleet.CustomerID{"customer-7"}
		table = table.Update(v)
	}
}
