package statesync

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// This file takes in that targets say that they leave, other than by their entries.

// Depart takes in that a process of a target says that it leaves, which was first heard of at the given
// time. From names who heard it.
func (s *State) Depart(d registry.Departure, since time.Time, from string) {
	t := s.Targets().Target(d.ID)
	eventlog.Info(eventlog.TargetLeaving, "target", d.ID, "born", d.Born, "by", from, "age_ms", s.clock().Sub(since).Milliseconds(), "in_use", t != nil && t.Born == d.Born)
}
