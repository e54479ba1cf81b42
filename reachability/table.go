package reachability

import (
	"slices"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// minUnreachable is the number of different targets of a service that must be unreachable in a
	// row before the service counts as lost, minUnreachableNext the number while another service is
	// lost.
	minUnreachable     = 3
	minUnreachableNext = 2
	// unreachableWindow is the time for which an unreachable target counts.
	unreachableWindow = 4 * time.Second
)

// Table holds the estimates of one instance. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[document.ServiceName]*service
}

type service struct {
	// unreachable holds when each target was last unreachable, since the last contact with any.
	unreachable map[fleet.TargetID]time.Time
	lostSince   time.Time // zero if the service is not lost
}

// NewTable returns a table in which nothing is lost.
func NewTable() *Table { return &Table{services: make(map[document.ServiceName]*service)} }

// Change is a change of a service's estimate.
type Change struct {
	Service document.ServiceName
	// Lost is set if the paths were lost, and unset if one works again.
	Lost bool
	// Unreachable is the number of targets that were unreachable in a row.
	Unreachable int
	// After is how long the service was lost, if it no longer is.
	After time.Duration
}

// RecordUnreachable records that no connection to the target could be opened. targets is the number of
// the service's targets. It returns nil if the estimate stays the same.
func (t *Table) RecordUnreachable(now time.Time, name document.ServiceName, id fleet.TargetID, targets int) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		s = &service{unreachable: make(map[fleet.TargetID]time.Time)}
		t.services[name] = s
	}
	s.unreachable[id] = now
	for other, at := range s.unreachable {
		if now.Sub(at) > unreachableWindow {
			delete(s.unreachable, other)
		}
	}
	needed := minUnreachable
	if t.anyLost() {
		needed = minUnreachableNext
	}
	if !s.lostSince.IsZero() || len(s.unreachable) < min(needed, max(targets, 1)) {
		return nil
	}
	s.lostSince = now
	return &Change{Service: name, Lost: true, Unreachable: len(s.unreachable)}
}

// RecordContact records a response of one of the service's targets, or a connection that was opened
// to one. It returns nil if the estimate stays the same.
func (t *Table) RecordContact(now time.Time, name document.ServiceName) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return nil
	}
	delete(t.services, name)
	if s.lostSince.IsZero() {
		return nil
	}
	return &Change{Service: name, Unreachable: len(s.unreachable), After: now.Sub(s.lostSince)}
}

// IsLost reports whether the paths to all targets of the service are lost.
func (t *Table) IsLost(name document.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && !s.lostSince.IsZero()
}

// Lost returns the services whose paths are lost, sorted.
func (t *Table) Lost() []document.ServiceName {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []document.ServiceName
	for name, s := range t.services {
		if !s.lostSince.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Table) anyLost() bool {
	for _, s := range t.services {
		if !s.lostSince.IsZero() {
			return true
		}
	}
	return false
}
