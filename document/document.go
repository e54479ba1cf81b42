package document

import (
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/fleet"
)

// Version orders documents. Higher is newer; versions need not be consecutive.
type Version int64

// ServiceName is the name of a service.
type ServiceName string

// Document is a complete configuration.
type Document struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// KeysRequired is set if callers need the key of a tenant, even if there are no tenants.
	KeysRequired bool
	Tenants      []Tenant
	// Queueing is set if requests that no target takes may wait for a later attempt.
	Queueing bool
}

// TenantName is the name of a tenant.
type TenantName string

// Tenant is a group of callers that share keys and a quota.
type Tenant struct {
	Name TenantName
	// Keys are the keys of the tenant's callers.
	Keys []credential.Key
	// Priority is the rank of the tenant's requests; nil if that of the route applies.
	Priority *int
	// Rate is the quota over all instances together, in requests per second; 0 if there is none.
	Rate float64
	// Burst is how many requests beyond the rate are allowed at once.
	Burst float64
}

// Route defines where requests for a host and a path prefix are sent, and how.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Class  fleet.Class
	// Timeout is the maximum time that a caller waits; 0 means that only the caller's own deadline
	// applies.
	Timeout time.Duration
	// Objective is the response time goal, within which a response is worth most; 0 if none.
	Objective time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets that one request is sent to. At least 1.
	MaxAttempts int
	// AllowAnonymous is set if requests need no key.
	AllowAnonymous bool
	// Backends are the services that share the requests by weight.
	Backends []Backend
}

// Backend is a service's share of a route.
type Backend struct {
	Service ServiceName
	Weight  int
}

// Service is a group of targets that do the same work.
type Service struct {
	Name ServiceName
	// MaxConnections is how many connections one target accepts from all callers together.
	MaxConnections int
}

// Limits bound the size and duration of a caller's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay without a request.
	IdleTimeout time.Duration
}

// Check validates the document. The error names the first invalid field.
func (d *Document) Check() error {
	if d.Version <= 0 {
		return errors.Errorf("version: %d is not positive", d.Version)
	}
	services := make(map[ServiceName]bool, len(d.Services))
	for i, s := range d.Services {
		if s.Name == "" {
			return errors.Errorf("services[%d].name: empty", i)
		}
		services[s.Name] = true
	}
	seen := make(map[[2]string]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return errors.Wrapf(err, "routes[%d] %q", i, r.Name)
		}
		key := [2]string{r.Host, r.Prefix}
		if seen[key] {
			return errors.Errorf("routes[%d] %q: duplicate host and prefix", i, r.Name)
		}
		seen[key] = true
	}
	if err := d.checkTenants(); err != nil {
		return err
	}
	return d.Limits.check()
}

// checkTenants validates the tenants. Errors name keys by their index only.
func (d *Document) checkTenants() error {
	names := make(map[TenantName]bool, len(d.Tenants))
	keys := make(map[credential.Key]bool)
	for i := range d.Tenants {
		t := &d.Tenants[i]
		if err := t.check(); err != nil {
			return errors.Wrapf(err, "tenants[%d] %q", i, t.Name)
		}
		if names[t.Name] {
			return errors.Errorf("tenants[%d] %q: duplicate name", i, t.Name)
		}
		names[t.Name] = true
		for j, k := range t.Keys {
			if keys[k] {
				return errors.Errorf("tenants[%d] %q: keys[%d]: duplicate", i, t.Name, j)
			}
			keys[k] = true
		}
	}
	return nil
}

func (t *Tenant) check() error {
	switch {
	case t.Name == "":
		return errors.New("name: empty")
	case strings.ContainsAny(string(t.Name), "\r\n\x00"):
		return errors.New("name: has a control character")
	case !(t.Rate >= 0) || math.IsInf(t.Rate, 1):
		return errors.Errorf("rate: %v is negative or not a number", t.Rate)
	case !(t.Burst >= 0) || math.IsInf(t.Burst, 1):
		return errors.Errorf("burst: %v is negative or not a number", t.Burst)
	}
	for i, k := range t.Keys {
		if k == "" {
			return errors.Errorf("keys[%d]: empty", i)
		}
	}
	return nil
}

func (r *Route) check(services map[ServiceName]bool) error {
	switch {
	case r.Host == "":
		return errors.New("host: empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Errorf("prefix: %q does not begin and end with a slash", r.Prefix)
	case r.Class == 0:
		return errors.New("class: missing")
	case r.MaxAttempts < 1:
		return errors.Errorf("max attempts: %d is below 1", r.MaxAttempts)
	case r.Timeout < 0:
		return errors.Errorf("timeout: %v is negative", r.Timeout)
	case len(r.Backends) == 0:
		return errors.New("backends: none")
	}
	total := 0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return errors.Errorf("backends: service %q is unknown", b.Service)
		}
		if b.Weight < 0 {
			return errors.Errorf("backends: weight %d of %q is negative", b.Weight, b.Service)
		}
		total += b.Weight
	}
	if total == 0 {
		return errors.New("backends: all weights are 0")
	}
	return nil
}

func (l *Limits) check() error {
	switch {
	case l.HeaderBytes <= 0:
		return errors.Errorf("limits.header bytes: %d is not positive", l.HeaderBytes)
	case l.BodyBytes <= 0:
		return errors.Errorf("limits.body bytes: %d is not positive", l.BodyBytes)
	case l.HeaderTimeout <= 0:
		return errors.Errorf("limits.header timeout: %v is not positive", l.HeaderTimeout)
	case l.IdleTimeout <= 0:
		return errors.Errorf("limits.idle timeout: %v is not positive", l.IdleTimeout)
	}
	return nil
}
