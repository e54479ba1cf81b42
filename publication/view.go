package publication

import (
	"maps"
	"slices"
	"strings"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// View is the state in force at an offset. It is immutable and shares what
// did not change with the views before it.
type View struct {
	// Next is the offset after the last record that the view reflects.
	Next logservice.Offset
	// Since is Next of the view before, and Changed the customers whose
	// contracts changed from that view to this one.
	Since   logservice.Offset
	Changed []fleet.CustomerID
	// Contracts are the contracts in force.
	Contracts map[fleet.CustomerID]*Published
	// Targets are the joined and leaving targets by service, ordered by id.
	Targets map[fleet.ServiceID][]fleet.Target
}

var emptyView = &View{
	Contracts: map[fleet.CustomerID]*Published{},
	Targets:   map[fleet.ServiceID][]fleet.Target{},
}

// changes are the keys that changed since the last view.
type changes struct {
	customers map[fleet.CustomerID]struct{}
	services  map[fleet.ServiceID]struct{}
}

func (c *changes) contract(id fleet.CustomerID) {
	if c.customers == nil {
		c.customers = make(map[fleet.CustomerID]struct{})
	}
	c.customers[id] = struct{}{}
}

func (c *changes) service(id fleet.ServiceID) {
	if c.services == nil {
		c.services = make(map[fleet.ServiceID]struct{})
	}
	c.services[id] = struct{}{}
}

// View returns the state in force. The result stays valid and unchanged when
// further records are applied.
func (s *State) View() *View {
	if s.view.Next == s.next {
		return s.view
	}
	v := &View{Next: s.next, Since: s.view.Next, Contracts: s.view.Contracts, Targets: s.view.Targets}
	if len(s.changed.customers) > 0 {
		v.Contracts = maps.Clone(s.contracts)
		v.Changed = slices.Sorted(maps.Keys(s.changed.customers))
	}
	if len(s.changed.services) > 0 {
		v.Targets = maps.Clone(s.view.Targets)
		for id := range s.changed.services {
			v.Targets[id] = s.listTargets(id)
		}
	}
	s.view, s.changed = v, changes{}
	return v
}

func (s *State) listTargets(id fleet.ServiceID) []fleet.Target {
	var list []fleet.Target
	for _, a := range s.targets[id] {
		if a.Target.State != fleet.Stopped {
			list = append(list, a.Target)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
