package statesync

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/registry"
)

// Whole is what an instance hands to a peer: all that is newer than the peer has. The
// targets come as the changes that the peer lacks, or as all entries if it lacks more
// changes than are kept.
type Whole struct {
	Document     *document.Document `cbor:"1,keyasint,omitempty"`
	NextDocument registry.Offset    `cbor:"2,keyasint"`
	Registry     registry.Offset    `cbor:"3,keyasint"`
	Entries      []registry.Entry   `cbor:"4,keyasint,omitempty"`
	Changes      []registry.Change  `cbor:"6,keyasint,omitempty"`
	// Vanished are entries that were removed lately, and how long ago.
	Vanished []registry.Vanished `cbor:"5,keyasint,omitempty"`
	// Starts are when the processes of the entries were born.
	Starts []int64 `cbor:"7,keyasint,omitempty"`
	// Epoch and DocumentEpoch are those of Registry and NextDocument.
	Epoch         registry.Epoch `cbor:"8,keyasint,omitempty"`
	DocumentEpoch registry.Epoch `cbor:"9,keyasint,omitempty"`
	// RestoreAgeMillis is how long ago the sender learned of the epoch; 0 if it knows no other.
	RestoreAgeMillis int64 `cbor:"10,keyasint,omitempty"`
	// Removed are targets that have gone lately, for who knows the store's copy alone.
	Removed []registry.Removed `cbor:"11,keyasint,omitempty"`
	// Departures are processes that said in answers that they leave, of which the log may not tell.
	Departures []registry.Departure `cbor:"12,keyasint,omitempty"`
}

func (w *Whole) position() registry.Position {
	return registry.Position{Epoch: w.Epoch, Offset: w.Registry}
}

func (w *Whole) snapshot() registry.Snapshot {
	return registry.Snapshot{
		Next: w.position(), Entries: w.Entries, Vanished: w.Vanished, Removed: w.Removed,
		RestoreAge: time.Duration(w.RestoreAgeMillis) * time.Millisecond,
	}
}

// entries are those that the state carries, by themselves or in changes.
func (w *Whole) entries() []*registry.Entry {
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

// request is what a peer asks for.
type request struct {
	// document and registry are what the peer has.
	document document.Version
	registry registry.Position
	// all tells that it wants to know all of the targets whatever its position.
	all bool
}

// whole returns what a peer lacks.
func (s *State) whole(r request) Whole {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, next := s.clock(), s.registry.Next()
	w := Whole{
		NextDocument: s.nextDocument.Offset, DocumentEpoch: s.nextDocument.Epoch,
		Registry: next.Offset, Epoch: next.Epoch, RestoreAgeMillis: s.registry.RestoreAge(now).Milliseconds(),
		Departures: s.registry.Departures(now),
	}
	if t := s.table.Load(); t != nil && t.Document.Version > r.document {
		w.Document = t.Document
	}
	if !r.all && !next.After(r.registry) {
		return w
	}
	changes, kept := s.registry.ChangesSince(r.registry)
	if kept && !r.all {
		w.Changes, w.Vanished = changes, s.registry.VanishedAmong(now, changes)
	} else {
		w.Entries, w.Vanished = s.registry.Entries(), s.registry.Vanished(now)
		w.Removed = s.registry.Removed(now)
	}
	w.Starts = registry.StartTimes(w.entries())
	return w
}

// applyWhole takes in a peer's state as far as it is newer. All tells that the peer was asked for
// all that it knows.
func (s *State) applyWhole(w Whole, from string, all bool) {
	s.mu.Lock()
	changed := false
	if w.Document != nil {
		changed = s.applyDocument(w.Document, from)
	}
	if w.Document == nil || s.version() >= w.Document.Version {
		s.nextDocument = registry.Later(s.nextDocument, registry.Position{Epoch: w.DocumentEpoch, Offset: w.NextDocument})
	}
	departed := len(s.depart(w.Departures, from)) > 0
	ahead := all || w.position().After(s.registry.Next())
	if ahead {
		changed = s.catchUp(w) || changed
		s.recordRestore(from)
	}
	if ahead || departed {
		s.publish(from)
	}
	if all {
		s.storeOnly = false
	}
	s.mu.Unlock()
	s.notifyChanges(changed)
}

// catchUp takes in a peer's targets. Changes follow only in the epoch that both know: a peer of
// the version before does not know of epochs.
func (s *State) catchUp(w Whole) bool {
	if len(w.Changes) > 0 && w.Epoch == s.registry.Next().Epoch {
		return s.registry.CatchUp(s.clock(), w.Changes, w.Vanished)
	}
	return s.registry.Merge(s.clock(), w.snapshot())
}
