package statesync

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// Depart takes processes of targets out of use that said in answers that they leave, and returns
// those of which that is news. From names who tells it.
func (s *State) Depart(ds []registry.Departure, from string) []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.depart(ds, from)
	if len(news) > 0 {
		s.publish(from)
	}
	return news
}

// depart is the same before the view is published; the lock is held.
func (s *State) depart(ds []registry.Departure, from string) []registry.Departure {
	now := s.clock()
	var news []registry.Departure
	for _, d := range ds {
		if !s.registry.RecordDeparture(now, d) {
			continue
		}
		news = append(news, d)
		t := s.Targets().Target(d.ID)
		eventlog.Info(eventlog.TargetLeaving, "target", d.ID, "born", d.Born, "by", from, "age_ms", d.AgeMillis, "lifted", d.Lifted, "in_use", t != nil && t.Born == d.Born)
	}
	return news
}

// DeparturesToTell returns the departures that others may not know.
func (s *State) DeparturesToTell(now time.Time) []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.DeparturesToAnnounce(now)
}

// Departures returns the processes that said in answers that they leave, as far as that was not lifted.
func (s *State) Departures() []registry.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.registry.Departures(s.clock()), func(d registry.Departure) bool { return d.Lifted })
}
