package route

import (
	"net"
	"strings"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/platform"
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
func (e *Entry) Revision() platform.Offset { return e.Published.Revision }

// customer is the routes of one contract.
type customer struct {
	published *publication.Published
	// byPrefix holds the entries of each path prefix, written without
	// trailing slash.
	byPrefix map[string][]*Entry
	// longest is the length of the longest prefix.
	longest int
}

// Table maps requests to routes.
type Table struct {
	customers map[fleet.CustomerID]*customer
	hosts     map[string]*customer
}

// Empty is the table without routes.
var Empty = &Table{}

// Build returns the table of a view.
func Build(v *publication.View) *Table { return Empty.Update(v) }

// Update returns the table of a later view. Contracts that did not change
// keep their entries. It returns t itself if no contract changed.
func (t *Table) Update(v *publication.View) *Table {
	if !t.differs(v) {
		return t
	}
	next := &Table{
		customers: make(map[fleet.CustomerID]*customer, len(v.Contracts)),
		hosts:     make(map[string]*customer, len(v.Contracts)),
	}
	for id, p := range v.Contracts {
		c := t.customers[id]
		if c == nil || c.published != p {
			c = newCustomer(p)
		}
		next.customers[id] = c
		for _, h := range p.Contract.Hosts {
			next.hosts[h] = c
		}
	}
	return next
}

func (t *Table) differs(v *publication.View) bool {
	if len(t.customers) != len(v.Contracts) {
		return true
	}
	for id, p := range v.Contracts {
		if c := t.customers[id]; c == nil || c.published != p {
			return true
		}
	}
	return false
}

func newCustomer(p *publication.Published) *customer {
	c := &customer{published: p, byPrefix: make(map[string][]*Entry, len(p.Contract.Routes))}
	services := make(map[string]*contract.Service, len(p.Contract.Services))
	for i := range p.Contract.Services {
		services[p.Contract.Services[i].Name] = &p.Contract.Services[i]
	}
	for i := range p.Contract.Routes {
		r := &p.Contract.Routes[i]
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		c.longest = max(c.longest, len(prefix))
		c.byPrefix[prefix] = append(c.byPrefix[prefix], &Entry{
			Published: p,
			Route:     r,
			Service:   services[r.Service],
			ServiceID: fleet.NewServiceID(p.Contract.Customer, r.Service),
		})
	}
	return c
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
		for _, e := range c.byPrefix[prefix] {
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
		for _, e := range c.byPrefix[prefix] {
			if hasMethod(e.Route.Methods, method) {
				return e, Found
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

func hasMethod(methods []string, method string) bool {
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return false
}
