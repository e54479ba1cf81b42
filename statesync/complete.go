package statesync

import (
	"time"

	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// A state of a stream is complete as of a time if it has every change that the store had accepted
// then. Readers of the store know this by the answers to their reads; the others by what readers of
// their zone tell whose state they have.

// confirm records that the state of the stream is complete as of a time.
func (s *State) confirm(stream Stream, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmLocked(stream, at)
}

// confirmLocked is confirm for callers that hold s.mu.
func (s *State) confirmLocked(stream Stream, at time.Time) {
	if at.After(s.completeAt[stream]) {
		s.completeAt[stream] = at
	}
}

// confirmByPeers confirms the state by that of the readers of the zone, as far as this instance has
// what they have.
func (s *State) confirmByPeers(v mesh.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, position := s.version(), s.registry.Next()
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone != v.Zone {
			continue
		}
		if m.Document <= version {
			s.confirmLocked(Documents, m.DocumentsComplete)
		}
		if !m.Registry.After(position) {
			s.confirmLocked(Targets, m.TargetsComplete)
		}
	}
}

// CompleteAt returns the time as of which the state of the stream is known to be complete; zero if
// that is not known yet.
func (s *State) CompleteAt(stream Stream) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeAt[stream]
}

// changesSince returns the time after which the store accepted the changes that a read returns at once, or
// dropped the entries that a newer snapshot lacks. It is zero if it is not known: the store may have been
// unavailable since then.
func (s *State) changesSince(stream Stream) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changesSinceLocked(stream)
}

// changesSinceLocked is changesSince for callers that hold s.mu.
func (s *State) changesSinceLocked(stream Stream) time.Time {
	at := s.completeAt[stream]
	if at.IsZero() || s.registry.MayBeOutage(registry.Span{From: at, Until: s.clock()}) {
		return time.Time{}
	}
	return at
}

// completeAges returns the ages of the state's streams, or nil if one is not known to be complete.
func (s *State) completeAges(now time.Time) *mesh.CompleteAges {
	s.mu.Lock()
	defer s.mu.Unlock()
	documents, targets := s.completeAt[Documents], s.completeAt[Targets]
	if documents.IsZero() || targets.IsZero() {
		return nil
	}
	return &mesh.CompleteAges{DocumentsMillis: now.Sub(documents).Milliseconds(), TargetsMillis: now.Sub(targets).Milliseconds()}
}
