package document

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"
)

// Table is a checked document arranged for the request path. It is immutable
// but for the turn of each route's backends.
type Table struct {
	Document *Document
	hosts    map[string][]*Entry // by falling length of prefix
}

// Entry is one route of a table.
type Entry struct {
	*Route
	total uint64
	turn  atomic.Uint64
}

// NewTable arranges a checked document. Seed sets where each instance begins in
// the turns of weighted backends, so that instances do not move in step.
func NewTable(d *Document, seed uint64) *Table {
	t := &Table{Document: d, hosts: make(map[string][]*Entry)}
	for i := range d.Routes {
		e := newEntry(&d.Routes[i], seed)
		host := strings.ToLower(e.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		sort.SliceStable(entries, func(a, b int) bool { return len(entries[a].Prefix) > len(entries[b].Prefix) })
	}
	return t
}

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

// Backend returns the service of the next request. Over any run of requests as
// long as the sum of the weights, each service gets exactly its weight; in
// between they are spread evenly.
func (e *Entry) Backend() ServiceName {
	if len(e.Backends) == 1 {
		return e.Backends[0].Service
	}
	// A stride that shares no divisor with the total visits every place once.
	place := e.turn.Add(1) * stride(e.total) % e.total
	for _, b := range e.Backends {
		if place < uint64(b.Weight) {
			return b.Service
		}
		place -= uint64(b.Weight)
	}
	return e.Backends[len(e.Backends)-1].Service
}

// stride is near the golden part of total, which spreads successive places
// evenly, and has no divisor in common with it.
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
