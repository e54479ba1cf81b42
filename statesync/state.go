package statesync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// State is the configuration and the targets in force. It is safe for concurrent
// use; Table and Targets do not wait.
type State struct {
	seed     uint64
	onChange func()
	// onRestart may be nil.
	onRestart func([]fleet.TargetID)
	refusals  refusals
	table     atomic.Pointer[document.Table]
	targets   atomic.Pointer[registry.View]

	mu       sync.Mutex
	registry *registry.Registry
	// nextDocument is the offset to read Documents from; that of Targets is the
	// registry's.
	nextDocument registry.Offset
	// behindSince is when a peer first told of a newer document than the one in force;
	// zero if none did.
	behindSince time.Time
}

// NewState returns an empty state. OnChange is called after each change.
func NewState(seed uint64, onChange func()) *State {
	s := &State{seed: seed, onChange: onChange, registry: registry.New()}
	s.targets.Store(s.registry.View())
	return s
}

// OnRestart sets what is called with targets that have started again under their ID. It
// must be set before the state is in use.
func (s *State) OnRestart(f func([]fleet.TargetID)) { s.onRestart = f }

// LeaveWithin sets within which time a target that has gone must get no more work.
func (s *State) LeaveWithin(bound time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.LeaveWithin(bound)
}

// Table returns the document in force, or nil if none is known yet.
func (s *State) Table() *document.Table { return s.table.Load() }

// Targets returns the targets in use.
func (s *State) Targets() *registry.View { return s.targets.Load() }

// Versions returns the document's version and the registry's offset.
func (s *State) Versions() (document.Version, registry.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.registry.Next()
}

// Behind tells whether a peer's versions are ahead, and remembers since when one has a
// newer document.
func (s *State) Behind(now time.Time, v document.Version, o registry.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := v > s.version()
	if newer && s.behindSince.IsZero() {
		s.behindSince = now
	}
	return newer || o > s.registry.Next()
}

// behind is for how long peers have had a newer document; 0 if none has.
func (s *State) behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lag()
}

func (s *State) lag() time.Duration {
	if s.behindSince.IsZero() {
		return 0
	}
	return time.Since(s.behindSince)
}

func (s *State) version() document.Version {
	if t := s.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// next is the offset from which the stream is to be read.
func (s *State) next(stream Stream) registry.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream == Targets {
		return s.registry.Next()
	}
	return s.nextDocument
}

// applyDocument takes a document into force if it is newer. From names its
// source in the log.
func (s *State) applyDocument(d *document.Document, from string) bool {
	if d.Version <= s.version() {
		return false
	}
	if err := d.Check(); err != nil {
		eventlog.Error(eventlog.DocumentRefused, err, "version", d.Version, "from", from, "in_force", s.version())
		return false
	}
	eventlog.Info(eventlog.DocumentApplied, "version", d.Version, "before", s.version(), "from", from,
		"behind_ms", s.lag().Milliseconds(), "routes", len(d.Routes), "idle_ms", d.Limits.IdleTimeout.Milliseconds())
	s.behindSince = time.Time{}
	s.table.Store(document.NewTable(d, s.seed))
	return true
}

// applySnapshot takes in the store's whole state of a stream.
func (s *State) applySnapshot(stream Stream, b Batch, from string) {
	s.mu.Lock()
	changed := false
	switch stream {
	case Documents:
		for _, r := range b.Records {
			changed = s.applyRecordDocument(r, from) || changed
		}
		s.nextDocument = max(s.nextDocument, b.Next)
	case Targets:
		changed = s.registry.Replace(time.Now(), b.Next, s.entriesOf(b.Records), nil)
		s.publish(from)
	}
	s.mu.Unlock()
	s.changed(changed)
}

func (s *State) entriesOf(records []Record) []registry.Entry {
	var entries []registry.Entry
	for _, r := range records {
		if r.Err != nil {
			s.refusals.note(eventlog.EntryRefused, Targets, string(r.ID), r.Offset, r.Err)
			continue
		}
		if r.Entry != nil {
			entries = append(entries, *r.Entry)
		}
	}
	return entries
}

// applyBatch takes in changes of a stream.
func (s *State) applyBatch(stream Stream, b Batch, from string) {
	s.mu.Lock()
	changed := false
	for _, r := range b.Records {
		if stream == Documents {
			changed = s.applyRecordDocument(r, from) || changed
			continue
		}
		changed = s.applyRecordTarget(r) || changed
	}
	if stream == Documents {
		s.nextDocument = max(s.nextDocument, b.Next)
	}
	s.publish(from)
	s.mu.Unlock()
	s.changed(changed)
}

func (s *State) applyRecordDocument(r Record, from string) bool {
	if r.Err != nil {
		s.refusals.note(eventlog.DocumentRefused, Documents, string(r.ID), r.Offset, r.Err)
		return false
	}
	return r.Document != nil && s.applyDocument(r.Document, from)
}

// applyRecordTarget takes in a change of a target's entry. One that cannot be used names no
// target, as if the entry had been removed without a notice: every instance, whether it
// reads changes or a snapshot, comes to the same targets.
func (s *State) applyRecordTarget(r Record) bool {
	if r.Err != nil {
		s.refusals.note(eventlog.EntryRefused, Targets, string(r.ID), r.Offset, r.Err)
	}
	return s.registry.Apply(time.Now(), registry.Change{Offset: r.Offset, ID: r.ID, Entry: r.Entry})
}

// Tick ends what is over by time. Away tells that the store's log answers nobody.
func (s *State) Tick(now time.Time, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.registry.LogAway(now)
	} else {
		s.registry.LogBack(now)
	}
	s.registry.Tick(now)
	s.publish("tick")
}

// publish makes the registry's view the one in force and logs what changed.
func (s *State) publish(from string) {
	before, after := s.targets.Load(), s.registry.View()
	if before == after {
		return
	}
	s.targets.Store(after)
	after.Each(func(t *registry.Target) {
		if old := before.Target(t.ID); old == nil || old.Born != t.Born {
			eventlog.Info(eventlog.TargetAdded, "target", t.ID, "service", t.Service, "addr", t.Addr, "zone", t.Zone,
				"slots", t.Slots, "warmup_ms", t.Warmup.Milliseconds(), "born", t.Born, "again", old != nil, "offset", after.Next, "from", from)
		}
	})
	before.Each(func(t *registry.Target) {
		if after.Target(t.ID) == nil {
			eventlog.Info(eventlog.TargetGone, "target", t.ID, "service", t.Service, "offset", after.Next, "from", from)
		}
	})
}

// changed tells of changes; the lock is not held.
func (s *State) changed(yes bool) {
	s.mu.Lock()
	again := s.registry.TakeRestarted()
	s.mu.Unlock()
	if len(again) > 0 && s.onRestart != nil {
		s.onRestart(again)
	}
	if yes && s.onChange != nil {
		s.onChange()
	}
}

// Whole is what an instance hands to a peer: all that is newer than the peer has. The
// targets come as the changes that the peer lacks, or as all entries if it lacks more
// changes than are kept.
type Whole struct {
	Document     *document.Document `cbor:"1,keyasint,omitempty"`
	NextDocument registry.Offset    `cbor:"2,keyasint"`
	Registry     registry.Offset    `cbor:"3,keyasint"`
	Entries      []registry.Entry   `cbor:"4,keyasint,omitempty"`
	Changes      []registry.Change  `cbor:"6,keyasint,omitempty"`
	// Vanished are entries that were removed lately without a notice.
	Vanished []registry.Vanished `cbor:"5,keyasint,omitempty"`
	// Starts are when the processes of the entries were born.
	Starts []int64 `cbor:"7,keyasint,omitempty"`
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

// whole returns what is newer than the given versions.
func (s *State) whole(v document.Version, o registry.Offset) Whole {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := Whole{NextDocument: s.nextDocument, Registry: s.registry.Next()}
	if t := s.table.Load(); t != nil && t.Document.Version > v {
		w.Document = t.Document
	}
	if w.Registry > o {
		w.Vanished = s.registry.Vanished(time.Now())
		changes, kept := s.registry.Since(o)
		if kept {
			w.Changes = changes
		} else {
			w.Entries = s.registry.Entries()
		}
		w.Starts = registry.Starts(w.entries())
	}
	return w
}

// applyWhole takes in a peer's state as far as it is newer.
func (s *State) applyWhole(w Whole, from string) {
	s.mu.Lock()
	changed := false
	if w.Document != nil {
		changed = s.applyDocument(w.Document, from)
	}
	if w.Document == nil || s.version() >= w.Document.Version {
		s.nextDocument = max(s.nextDocument, w.NextDocument)
	}
	if w.Registry > s.registry.Next() {
		changed = s.catchUp(w) || changed
		s.publish(from)
	}
	s.mu.Unlock()
	s.changed(changed)
}

// catchUp takes in a peer's targets.
func (s *State) catchUp(w Whole) bool {
	if len(w.Changes) > 0 {
		return s.registry.Catch(time.Now(), w.Changes, w.Vanished)
	}
	return s.registry.Replace(time.Now(), w.Registry, w.Entries, w.Vanished)
}
