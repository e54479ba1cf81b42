package route

import (
	"fmt"
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

func BenchmarkUpdateOneCustomer(b *testing.B) {
	v := bigView()
	table := Build(v)
	old := v.Contracts["customer-7"]
	b.ReportAllocs()
	for b.Loop() {
		p := *old
		v.Contracts["customer-7"] = &p
		table = table.Update(v)
	}
}
