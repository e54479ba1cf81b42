package route

import (
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// Result tells how a match ended.
type Result uint8

const (
	// Found means that the entry is the request's route.
	Found Result = iota + 1
	// UnknownHost means that no contract has the host.
	UnknownHost
	// NoRoute means that no route of the contract has a prefix of the path.
	NoRoute
	// WrongMethod means that routes have the path, but not the method.
	WrongMethod
)

var resultNames = [...]string{
	Found: "found", UnknownHost: "unknown-host", NoRoute: "no-route", WrongMethod: "wrong-method",
}

// String returns the result as logs and metrics write it.
func (r Result) String() string {
	if int(r) >= len(resultNames) || r == 0 {
		return "result(?)"
	}
	return resultNames[r]
}

// Entry is one route of one contract in force. It is immutable.
type Entry struct {
	// Published is the contract that the route belongs to.
	Published *publication.Published
	// Route and Service point into the contract.
	Route   *contract.Route
	Service *contract.Service
	// ServiceID is the service's fleet-wide name.
	ServiceID fleet.ServiceID
}

// Customer returns the customer of the route.
func (e *Entry) Customer() fleet.CustomerID { return e.Published.Contract.Customer }

// Revision returns the revision of the contract that the entry belongs to.
func (e *Entry) Revision() logservice.Offset { return e.Published.Revision }

// customer is the routes of one contract.
type customer struct {
	published *publication.Published
	// entries are ordered by prefix, then as in the contract.
	entries []Entry
	// longest is the length of the longest prefix.
	longest int
}

// Table maps requests to routes.
type Table struct {
	// next is that of the view.
	next      logservice.Offset
	customers map[fleet.CustomerID]*customer
	hosts     map[string]*customer
}

// Empty is the table without routes.
var Empty = &Table{}

// Build returns the table of a view.
func Build(v *publication.View) *Table { return Empty.Update(v) }

// Update returns the table of a later view. Contracts that did not change
// keep their entries. It is cheap if v is the view that followed that of t.
func (t *Table) Update(v *publication.View) *Table {
	changed := v.Changed
	if t.next == 0 || t.next != v.Since {
		changed = t.changed(v)
	}
	if len(changed) == 0 {
		return &Table{next: v.Next, customers: t.customers, hosts: t.hosts}
	}
	next := &Table{next: v.Next, customers: maps.Clone(t.customers), hosts: maps.Clone(t.hosts)}
	if next.customers == nil {
		next.customers = make(map[fleet.CustomerID]*customer, len(changed))
		next.hosts = make(map[string]*customer, len(changed))
	}
	for _, id := range changed {
		next.remove(id)
	}
	for _, id := range changed {
		next.add(v.Contracts[id])
	}
	return next
}

// changed lists the customers whose contract differs from the view's.
func (t *Table) changed(v *publication.View) []fleet.CustomerID {
	var ids []fleet.CustomerID
	for id, p := range v.Contracts {
		if c := t.customers[id]; c == nil || c.published != p {
			ids = append(ids, id)
		}
	}
	for id := range t.customers {
		if v.Contracts[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *Table) remove(id fleet.CustomerID) {
	old := t.customers[id]
	if old == nil {
		return
	}
	for _, h := range old.published.Contract.Hosts {
		delete(t.hosts, h)
	}
	delete(t.customers, id)
}

func (t *Table) add(p *publication.Published) {
	if p == nil {
		return
	}
	c := newCustomer(p)
	t.customers[p.Contract.Customer] = c
	for _, h := range p.Contract.Hosts {
		t.hosts[h] = c
	}
}

func newCustomer(p *publication.Published) *customer {
	c := &customer{published: p, entries: make([]Entry, len(p.Contract.Routes))}
	for i := range p.Contract.Routes {
		r := &p.Contract.Routes[i]
		e := Entry{
			Published: p,
			Route:     r,
			Service:   service(&p.Contract, r.Service),
			ServiceID: fleet.NewServiceID(p.Contract.Customer, r.Service),
		}
		c.entries[i] = e
		c.longest = max(c.longest, len(e.prefix()))
	}
	slices.SortStableFunc(c.entries, func(a, b Entry) int { return strings.Compare(a.prefix(), b.prefix()) })
	return c
}

// service returns the service of a name; contract.Check saw to it that there
// is one.
func service(c *contract.Contract, name string) *contract.Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// prefix returns the path prefix without trailing slash.
func (e *Entry) prefix() string { return strings.TrimSuffix(e.Route.PathPrefix, "/") }

// withPrefix returns the entries that have exactly the prefix.
func (c *customer) withPrefix(prefix string) []Entry {
	lo, found := slices.BinarySearchFunc(c.entries, prefix, func(e Entry, prefix string) int {
		return strings.Compare(e.prefix(), prefix)
	})
	if !found {
		return nil
	}
	hi := lo + 1
	for hi < len(c.entries) && c.entries[hi].prefix() == prefix {
		hi++
	}
	return c.entries[lo:hi]
}

// Match finds the route of a request. Host is the Host header, with or without
// port; path is the decoded URL path. The longest prefix that has the method
// wins. The entry is nil unless the result is Found.
//
// The path is matched as it stands: a caller must refuse paths with "." or
// ".." segments first, since targets may resolve them.
func (t *Table) Match(host, method, path string) (*Entry, Result) {
	c := t.host(host)
	if c == nil {
		return nil, UnknownHost
	}
	return c.match(method, path)
}

// Methods returns the methods that some route has at the longest prefix of
// the path, for the Allow header of a WrongMethod answer.
func (t *Table) Methods(host, path string) []string {
	c := t.host(host)
	if c == nil {
		return nil
	}
	var methods []string
	for prefix, ok := first(path, c.longest); ok; prefix, ok = shorter(prefix) {
		for _, e := range c.withPrefix(prefix) {
			methods = append(methods, e.Route.Methods...)
		}
		if len(methods) > 0 {
			break
		}
	}
	return methods
}

func (t *Table) host(host string) *customer {
	if c := t.hosts[host]; c != nil {
		return c
	}
	return t.hosts[strings.ToLower(stripPort(host))]
}

// stripPort returns the host without port and brackets.
func stripPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 {
		return host
	}
	if host[0] != '[' {
		if strings.IndexByte(host, ':') == i {
			return host[:i]
		}
		return host
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return strings.Trim(host, "[]")
}

func (c *customer) match(method, path string) (*Entry, Result) {
	if path == "" || path[0] != '/' {
		return nil, NoRoute
	}
	result := NoRoute
	for prefix, ok := first(path, c.longest); ok; prefix, ok = shorter(prefix) {
		entries := c.withPrefix(prefix)
		for i := range entries {
			if slices.Contains(entries[i].Route.Methods, method) {
				return &entries[i], Found
			}
			result = WrongMethod
		}
	}
	return nil, result
}

// first returns the longest prefix of a path that ends before a slash or at
// the path's end and is at most limit bytes long.
func first(path string, limit int) (string, bool) {
	if len(path) <= limit {
		return path, true
	}
	if path[limit] == '/' {
		return path[:limit], true
	}
	return shorter(path[:limit])
}

// shorter cuts the last segment off a prefix.
func shorter(prefix string) (string, bool) {
	i := strings.LastIndexByte(prefix, '/')
	if i < 0 {
		return "", false
	}
	return prefix[:i], true
}
