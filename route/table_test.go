package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
)

func published(customer fleet.CustomerID, hosts []string, routes ...contract.Route) *publication.Published {
	return &publication.Published{Contract: contract.Contract{
		Customer: customer,
		Hosts:    hosts,
		Services: []contract.Service{{Name: "a"}, {Name: "b"}},
		Routes:   routes,
	}}
}

func view(list ...*publication.Published) *publication.View {
	v := &publication.View{Contracts: map[fleet.CustomerID]*publication.Published{}}
	for _, p := range list {
		v.Contracts[p.Contract.Customer] = p
	}
	return v
}

func testView() *publication.View {
	get, post := []string{"GET", "HEAD"}, []string{"POST"}
	return view(
		published("one", []string{"one.example", "2001:db8::1", "10.0.0.1"},
			contract.Route{Name: "root", PathPrefix: "/", Service: "a", Methods: get},
			contract.Route{Name: "prices", PathPrefix: "/v1/prices/", Service: "b", Methods: get},
			contract.Route{Name: "order", PathPrefix: "/v1/prices", Service: "a", Methods: post},
			contract.Route{Name: "deep", PathPrefix: "/v1/prices/tops/oak", Service: "a", Methods: get}),
		published("two", []string{"two.example"},
			contract.Route{Name: "only", PathPrefix: "/x", Service: "a", Methods: post}),
	)
}

func TestMatch(t *testing.T) {
	tests := []struct {
		host, method, path string
		want               string
		result             Result
	}{
		{"one.example", "GET", "/", "root", Found},
		{"ONE.Example:8080", "GET", "/anything", "root", Found},
		{"10.0.0.1:80", "GET", "/v1/prices", "prices", Found},
		{"[2001:db8::1]:80", "GET", "/v1/prices/7", "prices", Found},
		{"[2001:db8::1]", "GET", "/v1/prices/", "prices", Found},
		{"2001:db8::1", "GET", "/v1/pricesx", "root", Found},
		{"one.example", "POST", "/v1/prices/tops/oak", "order", Found},
		{"one.example", "GET", "/v1/prices/tops/oak/9", "deep", Found},
		{"one.example", "GET", "/v1/prices/tops/oaken", "prices", Found},
		{"one.example", "PUT", "/v1/prices", "", WrongMethod},
		{"two.example", "POST", "/x/y", "only", Found},
		{"two.example", "POST", "/xy", "", NoRoute},
		{"two.example", "POST", "/", "", NoRoute},
		{"two.example", "POST", "", "", NoRoute},
		{"two.example", "POST", "*", "", NoRoute},
		{"three.example", "GET", "/", "", UnknownHost},
		{"", "GET", "/", "", UnknownHost},
		{":", "GET", "/", "", UnknownHost},
	}
	table := Build(testView())
	for _, tt := range tests {
		e, result := table.Match(tt.host, tt.method, tt.path)
		name := ""
		if e != nil {
			name = e.Route.Name
		}
		assert.Equal(t, result, tt.result, "%v", tt)
		assert.Equal(t, name, tt.want, "%v", tt)
	}
	assert.DeepEqual(t, table.Methods("one.example", "/v1/prices/1"), []string{"GET", "HEAD", "POST"})
}

func TestUpdateSharesWhatDidNotChange(t *testing.T) {
	v := testView()
	old := Build(v)
	assert.Assert(t, old.Update(v).customers["one"] == old.customers["one"])
	next := view(v.Contracts["one"], published("two", []string{"new.example"}, v.Contracts["two"].Contract.Routes...))
	table := old.Update(next)
	assert.Assert(t, table.customers["one"] == old.customers["one"])
	_, result := table.Match("two.example", "POST", "/x")
	assert.Equal(t, result, UnknownHost)
	_, result = old.Match("two.example", "POST", "/x")
	assert.Equal(t, result, Found)
}

func TestUpdateByTheViewsChanges(t *testing.T) {
	v := testView()
	v.Next = 5
	old := Build(v)
	one := *v.Contracts["one"]
	one.Contract.Hosts = []string{"new.example"}
	next := view(&one)
	next.Since, next.Next, next.Changed = 5, 6, []fleet.CustomerID{"one", "two"}
	table := old.Update(next)
	_, result := table.Match("new.example", "GET", "/")
	assert.Equal(t, result, Found)
	_, result = table.Match("two.example", "POST", "/x")
	assert.Equal(t, result, UnknownHost)
	skipped := *next
	skipped.Since, skipped.Changed = 4, nil
	_, result = old.Update(&skipped).Match("new.example", "GET", "/")
	assert.Equal(t, result, Found)
}

func TestHostMovesBetweenCustomers(t *testing.T) {
	v := testView()
	old := Build(v)
	one, two := *v.Contracts["one"], *v.Contracts["two"]
	one.Contract.Hosts, two.Contract.Hosts = two.Contract.Hosts, one.Contract.Hosts
	table := old.Update(view(&one, &two))
	e, result := table.Match("one.example", "POST", "/x")
	assert.Equal(t, result, Found)
	assert.Equal(t, e.Customer(), fleet.CustomerID("two"))
	_, result = old.Update(view(&two)).Match("two.example", "GET", "/")
	assert.Equal(t, result, UnknownHost)
}

func TestMatchDoesNotAllocate(t *testing.T) {
	table := Build(testView())
	allocs := testing.AllocsPerRun(100, func() {
		table.Match("one.example:8080", "GET", "/v1/prices/tops/pine/3")
	})
	assert.Equal(t, allocs, 0.0)
}
