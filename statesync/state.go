package statesync

import (
	"cmp"
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
	clock    func() time.Time
	onChange func()
	// onRestart and onRestore may be nil.
	onRestart func([]fleet.TargetID)
	onRestore func()
	refusals  refusals
	table     atomic.Pointer[document.Table]
	targets   atomic.Pointer[registry.View]

	mu       sync.Mutex
	registry *registry.Registry
	// nextDocument is the position to read Documents from; that of Targets is the
	// registry's.
	nextDocument registry.Position
	// alone tells that the targets are known from the store alone, or not at all: peers may
	// know more than a copy from which the store was restored.
	alone bool
	// restores counts how often the store was restored, kept the targets that were then kept
	// on trust.
	restores, kept int64
	// moved tells that a later epoch was learned of since it was last false.
	moved bool
	// behindSince is when a peer first told of a newer document than the one in force;
	// zero if none did.
	behindSince time.Time
}

// NewState returns an empty state. OnChange is called after each change.
func NewState(seed uint64, onChange func()) *State {
	s := &State{seed: seed, clock: time.Now, onChange: onChange, registry: registry.New(), alone: true}
	s.targets.Store(s.registry.View())
	return s
}

// OnRestart sets what is called with targets that have started again under their ID. It
// must be set before the state is in use.
func (s *State) OnRestart(f func([]fleet.TargetID)) { s.onRestart = f }

// OnRestore sets what is called when a later epoch of the store was learned of. It must be set
// before the state is in use.
func (s *State) OnRestore(f func()) { s.onRestore = f }

// LeaveWithin sets within which time a target that has gone must get no more work.
func (s *State) LeaveWithin(bound time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.SetRemovalBound(bound)
}

// Table returns the document in force, or nil if none is known yet.
func (s *State) Table() *document.Table { return s.table.Load() }

// Targets returns the targets in use.
func (s *State) Targets() *registry.View { return s.targets.Load() }

// Versions returns the document's version and the registry's position.
func (s *State) Versions() (document.Version, registry.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.registry.Next()
}

// Behind tells whether a peer's versions are ahead, or the peer may know more than the store,
// and remembers since when one has a newer document.
func (s *State) Behind(now time.Time, v document.Version, p registry.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := v > s.version()
	if newer && s.behindSince.IsZero() {
		s.behindSince = now
	}
	return newer || s.alone || p.After(s.registry.Next())
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
	return s.clock().Sub(s.behindSince)
}

func (s *State) version() document.Version {
	if t := s.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// next is the position from which the stream is to be read.
func (s *State) next(stream Stream) registry.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream == Targets {
		return s.registry.Next()
	}
	return s.nextDocument
}

// epoch is the latest epoch of the store that is known.
func (s *State) epoch() registry.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.registry.Next().Epoch, s.nextDocument.Epoch)
}

// asksPeers tells whether peers may know more than the store.
func (s *State) asksPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone
}

// after is the position after a batch's records. A store that tells no epoch is in the one
// that is known.
func (b *Batch) after(known registry.Epoch) registry.Position {
	return registry.Position{Epoch: cmp.Or(b.Epoch, known), Offset: b.Next}
}

// earlierThan tells whether the batch is of an epoch before the given one.
func (b *Batch) earlierThan(known registry.Epoch) bool { return b.Epoch != 0 && b.Epoch < known }

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
		s.moved = s.moved || b.Epoch > s.nextDocument.Epoch
		s.nextDocument = registry.Later(s.nextDocument, b.after(s.nextDocument.Epoch))
	case Targets:
		before := s.registry.Next()
		changed = s.registry.Replace(s.clock(), registry.Snapshot{Next: b.after(before.Epoch), Entries: s.entriesOf(b.Records)})
		s.alone = s.alone || s.registry.Next().Epoch != before.Epoch
		s.noteRestore(from)
		s.publish(from)
	}
	s.mu.Unlock()
	s.changed(changed)
}

// noteRestore logs and counts a restore of the store that the registry has just taken in.
func (s *State) noteRestore(from string) {
	r := s.registry.TakeRestored()
	if r == nil {
		return
	}
	s.restores++
	s.kept += int64(r.Kept)
	s.moved = true
	eventlog.Info(eventlog.StoreRestored, "epoch", r.To.Epoch, "offset", r.To.Offset, "epoch_before", r.From.Epoch, "offset_before", r.From.Offset,
		"kept_on_trust", r.Kept, "outdated", r.Outdated, "trust_ms", r.Until.Sub(s.clock()).Milliseconds(), "document", s.version(), "from", from)
}

// Restores is how often the store was restored from an older copy, and how many targets were kept
// in use then though the copy lacked them.
func (s *State) Restores() (restores, kept int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores, s.kept
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

// applyBatch takes in changes of a stream. Those of another epoch than the one that is known
// are passed over: an answer of an earlier one may come late, and those of a later one follow
// what is not known yet.
func (s *State) applyBatch(stream Stream, b Batch, from string) {
	s.mu.Lock()
	if known := s.knownEpoch(stream); b.Epoch != 0 && b.Epoch != known {
		s.mu.Unlock()
		return
	}
	changed := false
	for _, r := range b.Records {
		if stream == Documents {
			changed = s.applyRecordDocument(r, from) || changed
			continue
		}
		changed = s.applyRecordTarget(r, b.Age) || changed
	}
	if stream == Documents {
		s.nextDocument = registry.Later(s.nextDocument, b.after(s.nextDocument.Epoch))
	}
	s.publish(from)
	s.mu.Unlock()
	s.changed(changed)
}

// knownEpoch is the epoch of the stream's position; the lock is held.
func (s *State) knownEpoch(stream Stream) registry.Epoch {
	if stream == Targets {
		return s.registry.Next().Epoch
	}
	return s.nextDocument.Epoch
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
// reads changes or a snapshot, comes to the same targets. Age is that of the record, at most.
func (s *State) applyRecordTarget(r Record, age time.Duration) bool {
	if r.Err != nil {
		s.refusals.note(eventlog.EntryRefused, Targets, string(r.ID), r.Offset, r.Err)
	}
	now := s.clock()
	return s.registry.ApplySince(now, registry.Change{Offset: r.Offset, ID: r.ID, Entry: r.Entry}, now.Add(-age))
}

// contact is what is known of whether the store's log answers anybody, beside what this instance
// was answered itself.
type contact struct {
	// away tells that somebody gets no answer, and nobody is known to get any.
	away bool
	// answered are times in which others had answers.
	answered []registry.Span
}

// answered notes a time in which the store's log answered this instance.
func (s *State) answered(span registry.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordAnswered(span)
}

// lastAnswered is the latest time in which the store's log is known to have answered somebody.
func (s *State) lastAnswered() registry.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.LastAnswered()
}

// tick ends what is over by time.
func (s *State) tick(now time.Time, c contact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(now, c)
	s.registry.Tick(now)
	s.publish("tick")
}

// take tells the registry whether the store's log answers anybody, and logs what changed.
func (s *State) take(now time.Time, c contact) {
	before := s.registry.LastOutage()
	for _, span := range c.answered {
		s.registry.RecordAnswered(span)
	}
	if s.registry.SetUnavailable(c.away) {
		eventlog.Info(eventlog.StoreAway, "away", c.away, "answered_ms", now.Sub(s.registry.LastAnswered().Until).Milliseconds())
	}
	after := s.registry.LastOutage()
	if before.From.Equal(after.From) {
		return
	}
	told := after
	if told.IsZero() {
		told = before
	}
	eventlog.Info(eventlog.StoreOutage, "known", !after.IsZero(), "lasted_ms", told.Until.Sub(told.From).Milliseconds(),
		"ended_ms", now.Sub(told.Until).Milliseconds())
}

// logHolds tells of targets that stay in use though their entries have vanished.
func (s *State) logHolds(from string) {
	for _, h := range s.registry.TakeGracePeriods() {
		eventlog.Info(eventlog.TargetHeld, "target", h.Target.ID, "service", h.Target.Service, "age_ms", h.Age.Milliseconds(), "hold_ms", h.Remaining.Milliseconds(), "why", h.Reason, "from", from)
	}
}

// publish makes the registry's view the one in force and logs what changed.
func (s *State) publish(from string) {
	s.logHolds(from)
	before, after := s.targets.Load(), s.registry.View()
	if before == after {
		return
	}
	s.targets.Store(after)
	after.Each(func(t *registry.Target) {
		if old := before.Target(t.ID); old == nil || old.Born != t.Born {
			eventlog.Info(eventlog.TargetAdded, "target", t.ID, "service", t.Service, "addr", t.Addr, "zone", t.Zone,
				"slots", t.Slots, "warmup_ms", t.Warmup.Milliseconds(), "born", t.Born, "again", old != nil, "epoch", after.Next.Epoch, "offset", after.Next.Offset, "from", from)
		}
	})
	before.Each(func(t *registry.Target) {
		if after.Target(t.ID) == nil {
			eventlog.Info(eventlog.TargetGone, "target", t.ID, "service", t.Service, "epoch", after.Next.Epoch, "offset", after.Next.Offset, "from", from)
		}
	})
}

// changed tells of changes; the lock is not held.
func (s *State) changed(yes bool) {
	s.mu.Lock()
	again, moved := s.registry.TakeRestarted(), s.moved
	s.moved = false
	s.mu.Unlock()
	if moved && s.onRestore != nil {
		s.onRestore()
	}
	if len(again) > 0 && s.onRestart != nil {
		s.onRestart(again)
	}
	if yes && s.onChange != nil {
		s.onChange()
	}
}
