package document

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/clementinereel/clementinereel/credential"
)

// Table is a checked document indexed for request routing. It is immutable except for the turn
// counter of each route.
type Table struct {
	Document *Document
	hosts    map[string][]*Entry // by descending prefix length
	keys     map[credential.Key]*Tenant
	tenants  map[TenantName]*Tenant
}

// Entry is one route of a table.
type Entry struct {
	*Route
	total uint64
	turn  atomic.Uint64
}

// NewTable indexes a checked document. The seed sets where the rotation of weighted backends
// starts, so that instances do not rotate in step.
func NewTable(d *Document, seed uint64) *Table {
	t := &Table{Document: d, hosts: make(map[string][]*Entry)}
	for i := range d.Routes {
		e := newEntry(&d.Routes[i], seed)
		host := strings.ToLower(e.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	t.keys, t.tenants = indexTenants(d.Tenants)
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(a, b int) bool { return len(entries[a].Prefix) > len(entries[b].Prefix) })
	}
	return t
}

func indexTenants(tenants []Tenant) (map[credential.Key]*Tenant, map[TenantName]*Tenant) {
	keys := make(map[credential.Key]*Tenant)
	names := make(map[TenantName]*Tenant, len(tenants))
	for i := range tenants {
		names[tenants[i].Name] = &tenants[i]
		for _, k := range tenants[i].Keys {
			keys[k] = &tenants[i]
		}
	}
	return keys, names
}

// Tenant returns the tenant that holds the key, or nil.
func (t *Table) Tenant(k credential.Key) *Tenant { return t.keys[k] }

// TenantNamed returns the tenant of the name, or nil.
func (t *Table) TenantNamed(name TenantName) *Tenant { return t.tenants[name] }

func newEntry(r *Route, seed uint64) *Entry {
	e := &Entry{Route: r}
	for _, b := range r.Backends {
		e.total += uint64(b.Weight)
	}
	e.turn.Store(seed % e.total)
	return e
}

// Match returns the route with the longest prefix of path among those of the
// host, or nil. Host may carry a port.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// NextService returns the service of the next request. Over any run of requests as long as the sum
// of the weights, each service is returned exactly as often as its weight, evenly spread in
// between.
func (e *Entry) NextService() ServiceName {
	if len(e.Backends) == 1 {
		return e.Backends[0].Service
	}
	// A stride coprime to the total visits every position once.
	position := e.turn.Add(1) * stride(e.total) % e.total
	for _, b := range e.Backends {
		if position < uint64(b.Weight) {
			return b.Service
		}
		position -= uint64(b.Weight)
	}
	return e.Backends[len(e.Backends)-1].Service
}

// stride returns a number near the golden section of total and coprime to it, which spreads
// successive positions evenly.
func stride(total uint64) uint64 {
	const golden = 0.618
	for s := uint64(float64(total) * golden); s > 1; s-- {
		if gcd(s, total) == 1 {
			return s
		}
	}
	return 1
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
