package contract

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Bounds of the values that Check allows.
const (
	// MaxRate bounds Limits.Rate, in requests a second.
	MaxRate = 1e6
	// MaxConcurrency bounds Limits.Concurrency and Limits.Burst.
	MaxConcurrency = 1_000_000
	// MaxSlots bounds Service.Slots.
	MaxSlots = 1024
	// MaxConnections bounds Service.Connections.
	MaxConnections = 1 << 20
	// MaxBodySize bounds Route.MaxBody, in bytes.
	MaxBodySize = 1 << 30
	// MaxAnswerSize bounds Route.MaxAnswer, in bytes.
	MaxAnswerSize = 16 << 20
	// MaxLookupDeadline bounds the deadline of lookups.
	MaxLookupDeadline = Duration(30 * time.Second)
	// MaxDeadline bounds the deadline of the other classes.
	MaxDeadline = Duration(10 * time.Minute)
	// MinRepeatWindow bounds Route.RepeatWindow from below: a caller may
	// repeat for as long as the longest deadline.
	MinRepeatWindow = Duration(10 * time.Minute)
	// MaxRepeatWindow bounds Route.RepeatWindow: the log's claims are carried
	// forward for that long.
	MaxRepeatWindow = Duration(7 * 24 * time.Hour)
	// MaxAttempts bounds Retry.Attempts.
	MaxAttempts = 5
	// MaxBudgetPercent bounds Retry.BudgetPercent.
	MaxBudgetPercent = 50
	// MaxSlowStart bounds Service.SlowStart.
	MaxSlowStart = Duration(10 * time.Minute)
	// MaxEjectionTime bounds Detection.MaxEjection.
	MaxEjectionTime = Duration(time.Hour)

	maxName     = 63
	maxHost     = 253
	maxHosts    = 256
	maxServices = 256
	maxRoutes   = 4096
	maxPrefix   = 512
)

// Problem is one value that Check refuses.
type Problem struct {
	// Path is the field, as "routes[0].retry".
	Path string `json:"path"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// String returns "path: message", or the message for the whole document.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Error is a contract that was refused, with every problem found.
type Error struct {
	Problems []Problem `json:"problems"`
}

// Error lists the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Check refuses a contract whose values are wrong or contradict each other.
// The error is an *Error. Defaults must have been filled in.
func Check(c *Contract) error {
	k := new(checker)
	k.contract(c)
	return k.err()
}

type checker struct {
	problems []Problem
}

func (k *checker) err() error {
	if len(k.problems) == 0 {
		return nil
	}
	return &Error{Problems: k.problems}
}

// must records a problem of a field unless ok.
func (k *checker) must(ok bool, path, format string, args ...any) {
	if !ok {
		k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

func (k *checker) contract(c *Contract) {
	k.must(c.Format == Format, "format", "%q is not known: write %q", c.Format, Format)
	k.name("customer", string(c.Customer))
	k.hosts(c.Hosts)
	k.limits("limits", c.Limits)
	k.services(c.Services)
	k.routes(c)
}

func (k *checker) name(path, name string) {
	k.must(validName(name), path, "%q is not a name: use 1 to %d lower-case letters, digits and dashes", name, maxName)
}

func validName(s string) bool {
	if len(s) < 1 || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		b := s[i]
		if b != '-' && (b < 'a' || b > 'z') && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

func (k *checker) hosts(hosts []string) {
	k.must(len(hosts) > 0, "hosts", "empty: name at least one host")
	k.must(len(hosts) <= maxHosts, "hosts", "%d hosts: at most %d are allowed", len(hosts), maxHosts)
	for i, h := range hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		k.must(validHost(h), path, "%q is not a host: write a lower-case name or an IP address, without port", h)
		k.must(!slices.Contains(hosts[:i], h), path, "%q stands twice: remove one", h)
	}
}

func validHost(h string) bool {
	if len(h) < 1 || len(h) > maxHost {
		return false
	}
	if net.ParseIP(h) != nil {
		return h == strings.ToLower(h)
	}
	for _, label := range strings.Split(h, ".") {
		if !validName(label) || label[0] == '-' || label[len(label)-1] == '-' {
			return false
		}
	}
	return true
}

func (k *checker) limits(path string, l Limits) {
	k.must(l.Rate > 0 && l.Rate <= MaxRate, path+".rate_per_second", "%v is out of range: write a rate above 0, at most %v", l.Rate, float64(MaxRate))
	k.must(l.Burst >= 0 && l.Burst <= MaxConcurrency, path+".burst", "%d is out of range: 1 to %d", l.Burst, MaxConcurrency)
	k.must(l.Concurrency >= 0 && l.Concurrency <= MaxConcurrency, path+".concurrency", "%d is out of range: 0 (not limited) to %d", l.Concurrency, MaxConcurrency)
}

func (k *checker) services(services []Service) {
	k.must(len(services) > 0, "services", "empty: name at least one service")
	k.must(len(services) <= maxServices, "services", "%d services: at most %d are allowed", len(services), maxServices)
	seen := make(map[string]bool, len(services))
	for i := range services {
		s := &services[i]
		path := fmt.Sprintf("services[%d]", i)
		k.must(!seen[s.Name], path+".name", "%q stands twice: give each service its own name", s.Name)
		seen[s.Name] = true
		k.service(path, s)
	}
}

func (k *checker) service(path string, s *Service) {
	k.name(path+".name", s.Name)
	k.must(inRange(s.Slots, 1, MaxSlots), path+".slots_per_target", "%d is out of range: 1 to %d", s.Slots, MaxSlots)
	k.must(inRange(s.Connections, 1, MaxConnections), path+".connections_per_target", "%d is out of range: 1 to %d", s.Connections, MaxConnections)
	k.must(s.Connections >= s.Slots, path+".connections_per_target", "%d is less than slots_per_target %d: a request needs a connection", s.Connections, s.Slots)
	k.must(inRange(s.Floor, 1, 100), path+".floor_percent", "%d is out of range: 1 to 100", s.Floor)
	k.must(inRange(s.SlowStart, 0, MaxSlowStart), path+".slow_start", "%v is out of range: at most %v", s.SlowStart.D(), MaxSlowStart.D())
	k.detection(path+".detection", s.Detection)
}

func (k *checker) detection(path string, d Detection) {
	if w := d.FalseEjectionWeight; w != nil {
		k.must(inRange(*w, 0, 1), path+".false_ejection_weight", "%v is out of range: 0 (fast) to 1 (careful)", *w)
	}
	k.must(inRange(d.BaseEjection, Duration(100*time.Millisecond), MaxEjectionTime), path+".base_ejection", "%v is out of range: 100ms to %v", d.BaseEjection.D(), MaxEjectionTime.D())
	k.must(d.MaxEjection <= MaxEjectionTime, path+".max_ejection", "%v is out of range: at most %v", d.MaxEjection.D(), MaxEjectionTime.D())
	k.must(d.MaxEjection >= d.BaseEjection, path+".max_ejection", "%v is less than base_ejection %v: raise it or lower base_ejection", d.MaxEjection.D(), d.BaseEjection.D())
}

func inRange[T int | int64 | float64 | Duration](v, lo, hi T) bool {
	return v >= lo && v <= hi
}

func (k *checker) routes(c *Contract) {
	k.must(len(c.Routes) > 0, "routes", "empty: name at least one route")
	k.must(len(c.Routes) <= maxRoutes, "routes", "%d routes: at most %d are allowed", len(c.Routes), maxRoutes)
	names := make(map[string]bool, len(c.Routes))
	taken := make(map[string]string)
	for i := range c.Routes {
		r := &c.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		k.must(!names[r.Name], path+".name", "%q stands twice: give each route its own name", r.Name)
		names[r.Name] = true
		k.overlap(path, r, taken)
		k.route(path, c, r)
	}
}

// overlap refuses two routes that select the same requests.
func (k *checker) overlap(path string, r *Route, taken map[string]string) {
	prefix := strings.TrimRight(r.PathPrefix, "/")
	for _, m := range r.Methods {
		other, ok := taken[m+" "+prefix]
		k.must(!ok, path+".path_prefix", "%s %q is selected by route %q already: change the prefix or the methods", m, r.PathPrefix, other)
		taken[m+" "+prefix] = r.Name
	}
}

func (k *checker) route(path string, c *Contract, r *Route) {
	k.name(path+".name", r.Name)
	k.must(validPrefix(r.PathPrefix), path+".path_prefix", "%q is not a path prefix: begin with a slash, without empty, \".\" or \"..\" segments, \"?\" or \"#\", at most %d bytes", r.PathPrefix, maxPrefix)
	k.serviceRef(path+".service", c.Services, r.Service)
	if !slices.Contains(fleet.Classes, r.Class) {
		k.must(false, path+".class", "missing: write \"lookup\", \"confirmation\" or \"upload\"")
		return
	}
	k.methods(path, r)
	k.routeLimits(path+".limits", c, r)
	k.sizes(path, r)
	k.classRules(path, r)
}

func validPrefix(p string) bool {
	if len(p) > maxPrefix || !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#\\ ") {
		return false
	}
	if p == "/" {
		return true
	}
	for _, seg := range strings.Split(strings.TrimSuffix(p[1:], "/"), "/") {
		if seg == "" || seg == "." || seg == ".." {
			return false
		}
	}
	return true
}

func (k *checker) serviceRef(path string, services []Service, name string) {
	names := make([]string, len(services))
	for i := range services {
		names[i] = services[i].Name
	}
	if slices.Contains(names, name) {
		return
	}
	k.must(false, path, "%q is not a service of this contract: write one of %s", name, strings.Join(names, ", "))
}

func (k *checker) methods(path string, r *Route) {
	allowed := classMethods[r.Class]
	for i, m := range r.Methods {
		p := fmt.Sprintf("%s.methods[%d]", path, i)
		k.must(slices.Contains(allowed, m), p, "%q is not allowed for class %s: write %s", m, r.Class, strings.Join(allowed, " or "))
		k.must(!slices.Contains(r.Methods[:i], m), p, "%q stands twice: remove one", m)
	}
}

func (k *checker) routeLimits(path string, c *Contract, r *Route) {
	k.limits(path, r.Limits)
	k.must(r.Limits.Rate <= c.Limits.Rate, path+".rate_per_second", "%v is above the customer's limits.rate_per_second %v: lower it or raise the customer's", r.Limits.Rate, c.Limits.Rate)
	if c.Limits.Concurrency > 0 {
		k.must(r.Limits.Concurrency <= c.Limits.Concurrency, path+".concurrency", "%d is above the customer's limits.concurrency %d: lower it or raise the customer's", r.Limits.Concurrency, c.Limits.Concurrency)
	}
}

func (k *checker) sizes(path string, r *Route) {
	most := MaxDeadline
	if r.Class == fleet.Lookup {
		most = MaxLookupDeadline
	}
	k.must(r.Deadline > 0, path+".deadline", "missing: write a duration above 0s, at most %v for class %s", most.D(), r.Class)
	k.must(r.Deadline <= most, path+".deadline", "%v is too long for class %s: at most %v", r.Deadline.D(), r.Class, most.D())
	k.must(inRange(r.MaxBody, 1, MaxBodySize), path+".max_body_bytes", "%d is out of range: 1 to %d", r.MaxBody, MaxBodySize)
	k.must(inRange(r.MaxAnswer, 1, MaxAnswerSize), path+".max_answer_bytes", "%d is out of range: 1 to %d", r.MaxAnswer, MaxAnswerSize)
	k.must(inRange(r.Value, 1, 100), path+".value", "%d is out of range: 1 to 100", r.Value)
}

// classRules checks what only one class may have.
func (k *checker) classRules(path string, r *Route) {
	if r.Class == fleet.Lookup {
		k.retry(path+".retry", r.Retry)
		k.hedge(path+".hedge", r)
	} else {
		k.must(r.Retry == nil, path+".retry", "not allowed for class %s: remove it", r.Class)
		k.must(r.Hedge == nil, path+".hedge", "not allowed for class %s: remove it", r.Class)
	}
	if r.Class != fleet.Confirmation {
		k.must(r.RepeatWindow == 0, path+".repeat_window", "not allowed for class %s: remove it", r.Class)
		return
	}
	k.must(inRange(r.RepeatWindow, MinRepeatWindow, MaxRepeatWindow), path+".repeat_window", "%v is out of range: %v to %v, for as long as claims are kept", r.RepeatWindow.D(), MinRepeatWindow.D(), MaxRepeatWindow.D())
}

func (k *checker) retry(path string, r *Retry) {
	if r == nil {
		return
	}
	k.must(inRange(r.Attempts, 1, MaxAttempts), path+".attempts", "%d is out of range: 1 to %d", r.Attempts, MaxAttempts)
	k.must(inRange(r.BudgetPercent, 1, MaxBudgetPercent), path+".budget_percent", "%d is out of range: 1 to %d", r.BudgetPercent, MaxBudgetPercent)
}

func (k *checker) hedge(path string, r *Route) {
	if r.Hedge == nil {
		return
	}
	k.must(r.Hedge.After > 0, path+".after", "missing: write a duration above 0s and below the deadline %v", r.Deadline.D())
	k.must(r.Hedge.After < r.Deadline, path+".after", "%v is not below the deadline %v: the hedge would never start", r.Hedge.After.D(), r.Deadline.D())
}
