package statesync

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// RecordDepartures takes target processes out of use that announced in responses that they are
// leaving, and returns those that were not known. From names the source in the log.
func (s *State) RecordDepartures(ds []registry.Departure, from string) []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := s.recordDeparturesLocked(ds, from)
	if len(added) > 0 {
		s.publish(from)
	}
	return added
}

// recordDeparturesLocked is RecordDepartures without publishing the view. The caller holds the
// lock.
func (s *State) recordDeparturesLocked(ds []registry.Departure, from string) []registry.Departure {
	now := s.clock()
	var added []registry.Departure
	for _, d := range ds {
		if !s.registry.RecordDeparture(now, d) {
			continue
		}
		added = append(added, d)
		t := s.Targets().Target(d.ID)
		eventlog.Info(eventlog.TargetLeaving, "target", d.ID, "born", d.Born, "by", from, "age_ms", d.AgeMillis, "lifted", d.Lifted, "in_use", t != nil && t.Born == d.Born)
	}
	return added
}

// DeparturesToAnnounce returns the departures that peers may not have yet.
func (s *State) DeparturesToAnnounce(now time.Time) []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.DeparturesToAnnounce(now)
}

// Departures returns the processes that announced in responses that they are leaving, without
// departures that were lifted.
func (s *State) Departures() []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.registry.Departures(s.clock()), func(d registry.Departure) bool { return d.Lifted })
}
