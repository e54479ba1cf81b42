package statesync

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/registry"
)

// PeerSnapshot is the response to a peer's pull: all state newer than the peer's. Targets are sent
// as the changes that the peer lacks, or as all entries if it lacks more changes than are kept.
type PeerSnapshot struct {
	Document     *document.Document `cbor:"1,keyasint,omitempty"`
	NextDocument registry.Offset    `cbor:"2,keyasint"`
	Registry     registry.Offset    `cbor:"3,keyasint"`
	Entries      []registry.Entry   `cbor:"4,keyasint,omitempty"`
	Changes      []registry.Change  `cbor:"6,keyasint,omitempty"`
	// Vanished lists the entries removed recently, with the time since their removal.
	Vanished []registry.Vanished `cbor:"5,keyasint,omitempty"`
	// Starts holds the start times of the processes of the entries.
	Starts []int64 `cbor:"7,keyasint,omitempty"`
	// Epoch and DocumentEpoch are the epochs of Registry and NextDocument.
	Epoch         registry.Epoch `cbor:"8,keyasint,omitempty"`
	DocumentEpoch registry.Epoch `cbor:"9,keyasint,omitempty"`
	// RestoreAgeMillis is the time since the sender learned of the epoch; 0 if it has seen no
	// restore.
	RestoreAgeMillis int64 `cbor:"10,keyasint,omitempty"`
	// Removed lists targets removed recently, for a peer that has only the store's copy.
	Removed []registry.Removed `cbor:"11,keyasint,omitempty"`
	// Departures lists processes that announced in responses that they are leaving, which the
	// store's log may not contain.
	Departures []registry.Departure `cbor:"12,keyasint,omitempty"`
}

func (w *PeerSnapshot) position() registry.Position {
	return registry.Position{Epoch: w.Epoch, Offset: w.Registry}
}

func (w *PeerSnapshot) registrySnapshot() registry.Snapshot {
	return registry.Snapshot{
		Next: w.position(), Entries: w.Entries, Vanished: w.Vanished, Removed: w.Removed,
		RestoreAge: time.Duration(w.RestoreAgeMillis) * time.Millisecond,
	}
}

// entries returns pointers to all entries in the snapshot, including those in changes.
func (w *PeerSnapshot) entries() []*registry.Entry {
	var es []*registry.Entry
	for i := range w.Entries {
		es = append(es, &w.Entries[i])
	}
	for i := range w.Changes {
		if e := w.Changes[i].Entry; e != nil {
			es = append(es, e)
		}
	}
	return es
}

// dropForeign removes what is not of targets: entries of other writers whose keys are no text, which
// instances of earlier versions pass on. Their changes stay, without an effect, as changes have no gaps.
func (w *PeerSnapshot) dropForeign() {
	w.Entries = slices.DeleteFunc(w.Entries, func(e registry.Entry) bool { return !utf8.ValidString(string(e.ID)) })
	for i := range w.Changes {
		w.Changes[i] = withoutForeign(w.Changes[i])
	}
}

// withoutForeign returns the change, or one without an effect in its place if it is not of a target.
func withoutForeign(c registry.Change) registry.Change {
	if utf8.ValidString(string(c.ID)) {
		return c
	}
	return registry.Change{Offset: c.Offset}
}

// pullRequest describes what a peer requests.
type pullRequest struct {
	// document and registry are the versions that the requester has.
	document document.Version
	registry registry.Position
	// full requests all targets regardless of the requester's position.
	full bool
	// targetsOnly leaves the document out.
	targetsOnly bool
}

// peerSnapshot returns the state that the requester lacks.
func (s *State) peerSnapshot(r pullRequest) PeerSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, next := s.clock(), s.registry.Next()
	w := PeerSnapshot{
		Registry: next.Offset, Epoch: next.Epoch, RestoreAgeMillis: s.registry.RestoreAge(now).Milliseconds(),
		Departures: s.registry.Departures(now),
	}
	// The position in the stream of documents is of use only to a requester that has the document.
	newer := s.version() > r.document
	if !newer || !r.targetsOnly {
		w.NextDocument, w.DocumentEpoch = s.nextDocument.Offset, s.nextDocument.Epoch
	}
	if newer && !r.targetsOnly {
		w.Document = s.table.Load().Document
	}
	if !r.full && !next.After(r.registry) {
		return w
	}
	changes, kept := s.registry.ChangesSince(r.registry)
	if kept && !r.full {
		w.Changes, w.Vanished = changes, s.registry.VanishedAmong(now, changes)
	} else {
		w.Entries, w.Vanished = s.registry.Entries(), s.registry.Vanished(now)
		w.Removed = s.registry.Removed(now)
	}
	w.Starts = registry.StartTimes(w.entries())
	return w
}

// applyPeerSnapshot applies the parts of a peer's state that are newer. Full is set if the pull
// requested all targets.
func (s *State) applyPeerSnapshot(w PeerSnapshot, from string, full bool) {
	s.mu.Lock()
	changed := false
	if w.Document != nil {
		changed = s.applyDocument(w.Document, from)
	}
	if w.Document == nil || s.version() >= w.Document.Version {
		s.nextDocument = registry.Later(s.nextDocument, registry.Position{Epoch: w.DocumentEpoch, Offset: w.NextDocument})
	}
	departed := len(s.recordDeparturesLocked(w.Departures, from)) > 0
	ahead := full || w.position().After(s.registry.Next())
	if ahead {
		changed = s.applyPeerTargets(w) || changed
		s.recordRestore(from)
	}
	if ahead || departed {
		s.publish(from)
	}
	if full {
		s.storeOnly = false
	}
	s.mu.Unlock()
	s.notifyChanges(changed)
}

// applyPeerTargets applies a peer's targets. Changes are applied only if both are in the same
// epoch; a peer of the previous version has no epochs.
func (s *State) applyPeerTargets(w PeerSnapshot) bool {
	if len(w.Changes) > 0 && w.Epoch == s.registry.Next().Epoch {
		return s.registry.CatchUp(s.clock(), w.Changes, w.Vanished)
	}
	snapshot := w.registrySnapshot()
	snapshot.Since = s.changesSinceLocked(Targets)
	return s.registry.Merge(s.clock(), snapshot)
}
