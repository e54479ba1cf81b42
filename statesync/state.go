package statesync

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// State holds the current configuration and targets. It is safe for concurrent
// use; Table and Targets do not block.
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
	// transfers limits the responses to peers that are sent at once.
	transfers *transfer.Limiter
	// encoded is the document as last sent to peers; it may be an earlier one, or nil. encoding is
	// held while one is encoded.
	encoded  atomic.Pointer[encodedDocument]
	encoding sync.Mutex

	mu       sync.Mutex
	registry *registry.Registry
	// nextDocument is the position to read Documents from. The registry holds that of
	// Targets.
	nextDocument registry.Position
	// storeOnly is true until a peer has sent all of its targets, at the start and after a new
	// epoch was read from the store: its copy may be older than what peers have.
	storeOnly bool
	// restores counts restores of the store, and unconfirmed the targets that were kept then
	// although the copy lacked them.
	restores, unconfirmed int64
	// completeAt is, per stream, the time as of which the state is known to be complete.
	completeAt [streamCount]time.Time
	// lastGap is the time without answers of the store that was last logged.
	lastGap registry.Gap
	// epochAdvanced is true if the epoch has advanced since onRestore was last called.
	epochAdvanced bool
	// behindSince is when a peer first reported a newer document than the current one;
	// zero if none did.
	behindSince time.Time
}

// NewState returns an empty state. onChange is called after each change; it may be nil.
func NewState(seed uint64, onChange func()) *State {
	s := &State{seed: seed, clock: time.Now, onChange: onChange, registry: registry.New(), storeOnly: true, transfers: transfer.NewLimiter(mesh.DefaultLinkBytes)}
	s.targets.Store(s.registry.View())
	return s
}

// OnRestart sets the callback for targets that have restarted under the same ID. It must
// be set before the state is in use.
func (s *State) OnRestart(f func([]fleet.TargetID)) { s.onRestart = f }

// OnRestore sets the callback for a later epoch of the store. It must be set before the
// state is in use.
func (s *State) OnRestore(f func()) { s.onRestore = f }

// SetLink sets the capacity of the instance's link in bytes per second. It must be called before the
// state is in use; until then it is mesh.DefaultLinkBytes.
func (s *State) SetLink(bytesPerSecond int64) { s.transfers = transfer.NewLimiter(bytesPerSecond) }

// Transfers returns statistics of the large responses to peers.
func (s *State) Transfers() transfer.Stats { return s.transfers.Stats() }

// SetRemovalBound sets the time within which a removed target must stop getting requests.
func (s *State) SetRemovalBound(bound time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.SetRemovalBound(bound)
}

// SetRenewalInterval sets the interval at which targets renew their entries; 0 if it is not known.
func (s *State) SetRenewalInterval(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.SetRenewalInterval(interval)
}

// Table returns the current document, or nil if there is none yet.
func (s *State) Table() *document.Table { return s.table.Load() }

// Targets returns the targets in use.
func (s *State) Targets() *registry.View { return s.targets.Load() }

// Versions returns the document's version and the registry's position.
func (s *State) Versions() (document.Version, registry.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version(), s.registry.Next()
}

// Behind reports whether a peer with the given versions is ahead, or may have more than the
// store, and records when a peer first had a newer document.
func (s *State) Behind(now time.Time, v document.Version, p registry.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := v > s.version()
	if newer && s.behindSince.IsZero() {
		s.behindSince = now
	}
	return newer || s.storeOnly || p.After(s.registry.Next())
}

// Lag returns how long peers have had a newer document; 0 if none has.
func (s *State) Lag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagLocked()
}

// lagLocked is lag for callers that hold s.mu.
func (s *State) lagLocked() time.Duration {
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

// next returns the position to read the stream from.
func (s *State) next(stream Stream) registry.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream == Targets {
		return s.registry.Next()
	}
	return s.nextDocument
}

// epoch returns the latest known epoch of the store.
func (s *State) epoch() registry.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.registry.Next().Epoch, s.nextDocument.Epoch)
}

// needsPeerState reports whether peers may have targets that the store lacks, so that one
// must be asked for all of its targets.
func (s *State) needsPeerState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeOnly
}

// after returns the position after the batch's records. A batch without an epoch counts as
// one of the known epoch.
func (b *Batch) after(known registry.Epoch) registry.Position {
	return registry.Position{Epoch: cmp.Or(b.Epoch, known), Offset: b.Next}
}

// earlierThan reports whether the batch is of an epoch before the given one.
func (b *Batch) earlierThan(known registry.Epoch) bool { return b.Epoch != 0 && b.Epoch < known }

// applyDocument applies a document if it is newer, and reports whether it did. from names
// the source in the log.
func (s *State) applyDocument(d *document.Document, from string) bool {
	if d.Version <= s.version() {
		return false
	}
	if err := d.Check(); err != nil {
		eventlog.Error(eventlog.DocumentRefused, err, "version", d.Version, "from", from, "in_force", s.version())
		return false
	}
	eventlog.Info(eventlog.DocumentApplied, "version", d.Version, "before", s.version(), "from", from,
		"behind_ms", s.lagLocked().Milliseconds(), "routes", len(d.Routes), "idle_ms", d.Limits.IdleTimeout.Milliseconds())
	s.behindSince = time.Time{}
	s.table.Store(document.NewTable(d, s.seed))
	return true
}

// applySnapshot applies a snapshot of a stream from the store.
func (s *State) applySnapshot(stream Stream, b Batch, from string) {
	s.mu.Lock()
	changed := false
	switch stream {
	case Documents:
		for _, r := range b.Records {
			changed = s.applyDocumentRecord(r, from) || changed
		}
		s.epochAdvanced = s.epochAdvanced || b.Epoch > s.nextDocument.Epoch
		s.nextDocument = registry.Later(s.nextDocument, b.after(s.nextDocument.Epoch))
	case Targets:
		before := s.registry.Next()
		changed = s.registry.Replace(s.clock(), registry.Snapshot{Next: b.after(before.Epoch), Entries: s.entriesOf(b), Since: s.changesSinceLocked(Targets)})
		s.storeOnly = s.storeOnly || s.registry.Next().Epoch != before.Epoch
		s.recordRestore(from)
		s.publish(from)
	}
	s.mu.Unlock()
	s.notifyChanges(changed)
}

// recordRestore logs and counts a restore of the store that the registry has just applied.
func (s *State) recordRestore(from string) {
	r := s.registry.TakeRestored()
	if r == nil {
		return
	}
	s.restores++
	s.unconfirmed += int64(r.Kept)
	s.epochAdvanced = true
	eventlog.Info(eventlog.StoreRestored, "epoch", r.To.Epoch, "offset", r.To.Offset, "epoch_before", r.From.Epoch, "offset_before", r.From.Offset,
		"kept_on_trust", r.Kept, "outdated", r.Outdated, "trust_ms", r.Until.Sub(s.clock()).Milliseconds(), "document", s.version(), "from", from)
}

// Restores returns how often the store was restored from an older copy, and how many targets
// stayed in use although the copy lacked them.
func (s *State) Restores() (restores, kept int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores, s.unconfirmed
}

// entriesOf returns the entries of a snapshot. Records that could not be decoded are logged
// and skipped.
func (s *State) entriesOf(b Batch) []registry.Entry {
	var entries []registry.Entry
	s.refusals.countDropped(Targets, b.Dropped)
	for _, r := range b.Records {
		if r.Err != nil {
			s.refusals.record(eventlog.EntryRefused, Targets, string(r.ID), r.Offset, r.Err)
			continue
		}
		if r.Entry != nil {
			entries = append(entries, *r.Entry)
		}
	}
	return entries
}

// applyBatch applies changes of a stream. Batches of another epoch are ignored: one of an
// earlier epoch is a late response, and changes of a later epoch build on records that are
// not yet available here.
func (s *State) applyBatch(stream Stream, b Batch, from string) {
	s.mu.Lock()
	if known := s.streamEpoch(stream); b.Epoch != 0 && b.Epoch != known {
		s.mu.Unlock()
		return
	}
	changed := false
	for _, r := range b.Records {
		if stream == Documents {
			changed = s.applyDocumentRecord(r, from) || changed
			continue
		}
		changed = s.applyTargetRecord(r, b.MaxAge) || changed
	}
	if stream == Documents {
		s.nextDocument = registry.Later(s.nextDocument, b.after(s.nextDocument.Epoch))
	}
	s.publish(from)
	s.mu.Unlock()
	s.notifyChanges(changed)
}

// streamEpoch returns the epoch of the stream's position. The caller holds s.mu.
func (s *State) streamEpoch(stream Stream) registry.Epoch {
	if stream == Targets {
		return s.registry.Next().Epoch
	}
	return s.nextDocument.Epoch
}

func (s *State) applyDocumentRecord(r Record, from string) bool {
	if r.Err != nil {
		s.refusals.record(eventlog.DocumentRefused, Documents, string(r.ID), r.Offset, r.Err)
		return false
	}
	return r.Document != nil && s.applyDocument(r.Document, from)
}

// applyTargetRecord applies a change of a target's entry. An invalid record is handled as a
// removal without a leaving notice, so that instances that read changes and those that read
// a snapshot arrive at the same targets. age is the maximum age of the record.
func (s *State) applyTargetRecord(r Record, age time.Duration) bool {
	if r.Err != nil {
		s.refusals.record(eventlog.EntryRefused, Targets, string(r.ID), r.Offset, r.Err)
	}
	now := s.clock()
	return s.registry.ApplySince(now, withoutForeign(registry.Change{Offset: r.Offset, ID: r.ID, Entry: r.Entry}), now.Add(-age))
}

// storeStatus is the availability of the store's log by the reports of all instances.
type storeStatus struct {
	// unavailable is true if some instance gets no responses and none is known to get any.
	unavailable bool
	// answeredSpans are periods in which others got responses, failedSpans such in which calls of
	// others got none.
	answeredSpans, failedSpans []registry.Span
}

// recordAnswered records a period in which the store's log responded to this instance.
func (s *State) recordAnswered(span registry.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordAnswered(span)
}

// recordFailed records a period in which a call of this instance had no response from the store's log.
func (s *State) recordFailed(span registry.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.RecordFailed(span)
}

// lastAnswered returns the latest period in which the store's log is known to have responded
// to any instance.
func (s *State) lastAnswered() registry.Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.LastAnswered()
}

// hasMassLapse reports whether targets are in use whose entries vanished together.
func (s *State) hasMassLapse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HasMassLapse()
}

// tick records the store's status and ends grace periods that have expired.
func (s *State) tick(now time.Time, status storeStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateAvailability(now, status)
	s.registry.Tick(now)
	s.publish("tick")
}

// updateAvailability passes the store's status to the registry and logs changes.
func (s *State) updateAvailability(now time.Time, status storeStatus) {
	for _, span := range status.answeredSpans {
		s.registry.RecordAnswered(span)
	}
	for _, span := range status.failedSpans {
		s.registry.RecordFailed(span)
	}
	if s.registry.SetUnavailable(now, status.unavailable) {
		eventlog.Info(eventlog.StoreUnavailable, "away", status.unavailable, "answered_ms", now.Sub(s.registry.LastAnswered().Until).Milliseconds())
	}
	s.logGap(now)
}

// logGap logs the last time without answers of the store when it becomes known, or when what it
// counts as changes. Spans are pruned, so that a gap may also be forgotten.
func (s *State) logGap(now time.Time) {
	gap := s.registry.LastGap()
	if gap.From.Equal(s.lastGap.From) && gap.Outage == s.lastGap.Outage {
		return
	}
	logged, why := gap, "nobody called"
	switch {
	case gap.IsZero():
		logged, why = s.lastGap, "others were answered, or it is long ago"
	case gap.Outage:
		why = "calls failed"
	case gap.Failing > 0:
		why = "calls failed for a short time"
	}
	s.lastGap = gap
	eventlog.Info(eventlog.StoreOutage, "known", gap.Outage, "why", why, "lasted_ms", logged.Until.Sub(logged.From).Milliseconds(),
		"failing_ms", logged.Failing.Milliseconds(), "ended_ms", now.Sub(logged.Until).Milliseconds())
}

// logGracePeriods logs targets that stay in use for a grace period after their entries have
// vanished.
func (s *State) logGracePeriods(from string) {
	for _, h := range s.registry.TakeGracePeriods() {
		eventlog.Info(eventlog.TargetGracePeriod, "target", h.Target.ID, "service", h.Target.Service, "age_ms", h.Age.Milliseconds(), "hold_ms", h.Remaining.Milliseconds(), "why", h.Reason, "from", from)
	}
}

// publish makes the registry's view the current one and logs the changes.
func (s *State) publish(from string) {
	s.logGracePeriods(from)
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
			eventlog.Info(eventlog.TargetRemoved, "target", t.ID, "service", t.Service, "epoch", after.Next.Epoch, "offset", after.Next.Offset, "from", from)
		}
	})
}

// notifyChanges calls the callbacks that are due. The caller must not hold s.mu.
func (s *State) notifyChanges(changed bool) {
	s.mu.Lock()
	restarted, advanced := s.registry.TakeRestarted(), s.epochAdvanced
	s.epochAdvanced = false
	s.mu.Unlock()
	if advanced && s.onRestore != nil {
		s.onRestore()
	}
	if len(restarted) > 0 && s.onRestart != nil {
		s.onRestart(restarted)
	}
	if changed && s.onChange != nil {
		s.onChange()
	}
}
