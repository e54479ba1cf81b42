package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Entry is the registration of a target.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	ID      fleet.TargetID
	Service document.ServiceName
	Addr    string
	Zone    fleet.Zone
	// Slots is how many requests the target processes concurrently.
	Slots int
	// Leaving targets finish their requests and get no new work.
	Leaving bool
	// Sequence grows with each renewal by one target process.
	Sequence int64
	// Warmup is how long the target stays slow after its start, counted from the renewal.
	Warmup time.Duration
	// Born is when the target's process started, in milliseconds since the Unix epoch; 0 if it does
	// not report it. A later process with the same ID has no state of the earlier one, and its
	// sequence starts again. Born travels beside the entry: see StartTimes.
	Born int64 `cbor:"-"`
}

// newerThan reports whether the entry was written after another one of the same ID.
func (e *Entry) newerThan(born, sequence int64) bool {
	if e.Born != born {
		return e.Born > born
	}
	return e.Sequence > sequence
}

// StartTimes returns the start times of the entries' processes, in order; nil if none has any. They
// travel beside the entries so that the encoding of an entry stays readable by instances that do
// not support them.
func StartTimes(entries []*Entry) []int64 {
	starts, reported := make([]int64, len(entries)), false
	for i, e := range entries {
		starts[i] = e.Born
		reported = reported || e.Born != 0
	}
	if !reported {
		return nil
	}
	return starts
}

// SetStartTimes sets the start times that StartTimes returned. It fails if their number differs
// from that of the entries.
func SetStartTimes(entries []*Entry, starts []int64) error {
	if len(starts) == 0 {
		return nil
	}
	if len(starts) != len(entries) {
		return errors.Errorf("%d start times for %d entries", len(starts), len(entries))
	}
	for i, e := range entries {
		e.Born = starts[i]
	}
	return nil
}

// Change is one record of the log, in the current epoch of the registry. Entry is nil if the entry
// was removed.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Offset Offset
	ID     fleet.TargetID
	Entry  *Entry
}

// Target is a registered target in use.
type Target struct {
	Entry
	// WarmAt is when the target is expected to reach full speed.
	WarmAt time.Time
}

// View is an immutable snapshot of the targets in use.
type View struct {
	Next     Position
	Services map[document.ServiceName][]*Target
	byID     map[fleet.TargetID]*Target
}

// Target returns the target in use with an ID, or nil.
func (v *View) Target(id fleet.TargetID) *Target { return v.byID[id] }

// Each calls f with every target in use.
func (v *View) Each(f func(*Target)) {
	for _, t := range v.byID {
		f(t)
	}
}

// Len returns the number of targets in use.
func (v *View) Len() int { return len(v.byID) }

const (
	// maxRecentChanges bounds the changes that are kept for lagging peers. Each takes about 100
	// bytes; a peer that lags by more gets a snapshot.
	maxRecentChanges = 512
	// maxRemovals bounds the removed targets whose last renewal is kept.
	maxRemovals = 4096
)

// Registry is the state of one instance. It is not safe for concurrent use.
type Registry struct {
	next          Position
	entries       map[fleet.TargetID]*Target
	inGracePeriod map[fleet.TargetID]vanishedTarget
	// vanishedSinceMark is set if an entry has vanished since markMassLapses was called.
	vanishedSinceMark bool
	// removed holds the last renewal of removed targets, so that a delayed write of an older one
	// does not revive them.
	removed map[fleet.TargetID]removal
	// staleCandidates are entries in a restored log of targets that had vanished before the
	// restore. They get no work until they are confirmed.
	staleCandidates map[fleet.TargetID]*Target
	// departures are processes that announced in responses that they leave.
	departures map[fleet.TargetID]departure
	// restored describes the last restore of the log until it is taken; restoredAt is when the
	// fleet first learned of it, epochSince when the current epoch was first learned of.
	restored   *Restored
	restoredAt time.Time
	epochSince time.Time
	// gracePeriods are those that began since they were last taken.
	gracePeriods []GracePeriod
	// restarted are targets that have restarted since they were last taken.
	restarted []fleet.TargetID
	// recent are the last changes, without a gap up to next.
	recent          []Change
	availability    logAvailability
	changed         bool
	view            *View
	baseGracePeriod time.Duration
	// massLapseGracePeriod applies if most entries of a service vanish together.
	massLapseGracePeriod time.Duration
}

// removal is the recorded state of a removed target.
type removal struct {
	born, sequence int64
	// announced is whether the target announced that it leaves. Otherwise the same process may
	// return.
	announced bool
	// epoch is that of the removal, learnedAt when this instance learned of it, firstLearnedAt when
	// any instance did.
	epoch                     Epoch
	learnedAt, firstLearnedAt time.Time
}

// outdates reports whether an entry is older than the removal, in a log of the given epoch.
//
// If the target was removed without an announcement, an entry that follows in the same epoch is
// newer, whatever its sequence. Across epochs the order of the log says nothing, so the sequence
// decides: otherwise a copy older than the removal would revive the target.
func (rm *removal) outdates(e *Entry, epoch Epoch) bool {
	if e.Born != rm.born {
		return e.Born < rm.born
	}
	if rm.sequence == 0 || e.Sequence == 0 {
		return false
	}
	if rm.announced {
		return e.Sequence <= rm.sequence
	}
	return rm.epoch != epoch && e.Sequence < rm.sequence
}

// mayBeStale reports whether an entry of a snapshot may come from the older copy of the log rather
// than have been written again by the target since.
func (rm *removal) mayBeStale(e *Entry, epoch Epoch) bool {
	return !rm.announced && rm.epoch != epoch && e.Born == rm.born && e.Sequence == rm.sequence && e.Sequence > 0
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{
		entries:         make(map[fleet.TargetID]*Target),
		inGracePeriod:   make(map[fleet.TargetID]vanishedTarget),
		removed:         make(map[fleet.TargetID]removal),
		staleCandidates: make(map[fleet.TargetID]*Target),
		changed:         true,

		departures: make(map[fleet.TargetID]departure),
	}
	r.SetRemovalBound(defaultRemovalBound)
	r.SetRenewalInterval(0)
	r.View()
	return r
}

// Next returns the position of the first change that is not applied yet.
func (r *Registry) Next() Position { return r.next }

// Apply applies the next change. It returns false and does nothing if changes before it are
// missing; a change that is already applied is ignored.
func (r *Registry) Apply(now time.Time, c Change) bool {
	return r.ApplySince(now, c, now)
}

// ApplySince is like Apply; since is when a removal happened or was first learned of.
func (r *Registry) ApplySince(now time.Time, c Change, since time.Time) bool {
	if c.Offset > r.next.Offset {
		return false
	}
	if c.Offset < r.next.Offset {
		return true
	}
	r.next.Offset++
	if len(r.recent) >= 2*maxRecentChanges {
		r.recent = append(r.recent[:0], r.recent[maxRecentChanges:]...)
	}
	r.recent = append(r.recent, c)
	if c.Entry == nil {
		r.remove(now, c.ID, since)
		return true
	}
	r.put(now, *c.Entry)
	return true
}

// ChangesSince returns the changes from a position on, and false if they are not all kept.
func (r *Registry) ChangesSince(p Position) ([]Change, bool) {
	missing := int(r.next.Offset - p.Offset)
	if p.Epoch != r.next.Epoch || missing < 0 || missing > len(r.recent) {
		return nil, false
	}
	return slices.Clone(r.recent[len(r.recent)-missing:]), true
}

// CatchUp applies the changes that a peer kept; vanished are the removals that the peer learned of
// recently. For a removal that is not among them, the grace period is over at the peer. CatchUp
// reports whether the position advanced.
func (r *Registry) CatchUp(now time.Time, changes []Change, vanished []Vanished) bool {
	before := r.next
	since := firstLearned(now, vanished)
	for _, c := range changes {
		from, ok := since[c.ID]
		if !ok {
			from = now.Add(-r.baseGracePeriod)
		}
		r.ApplySince(now, c, from)
	}
	return r.next.After(before)
}

// firstLearned returns when the first instance learned of each removal.
func firstLearned(now time.Time, vanished []Vanished) map[fleet.TargetID]time.Time {
	since := make(map[fleet.TargetID]time.Time, len(vanished))
	for _, v := range vanished {
		since[v.ID] = now.Add(-time.Duration(v.AgeMillis) * time.Millisecond)
	}
	return since
}

// Replace applies a snapshot of the log if it is ahead of the current position, and reports whether
// it is.
func (r *Registry) Replace(now time.Time, s Snapshot) bool {
	if !s.Next.After(r.next) {
		return false
	}
	before := r.next
	r.next = s.Next
	r.recent = nil
	if s.Next.Epoch != before.Epoch || r.epochSince.IsZero() {
		r.epochSince = now.Add(-s.RestoreAge)
	}
	restored := s.Next.Epoch != before.Epoch && len(r.entries)+len(r.inGracePeriod) > 0
	if restored {
		r.handleRestore(now, before, s)
	}
	since := firstLearned(now, s.Vanished)
	listed := make(map[fleet.TargetID]bool, len(s.Entries))
	clear(r.staleCandidates)
	for _, e := range s.Entries {
		listed[e.ID] = true
		if r.mayBeStale(&e) {
			r.staleCandidates[e.ID] = newTarget(now, e)
			continue
		}
		r.put(now, e)
	}
	for id := range r.entries {
		if listed[id] {
			continue
		}
		from, ok := since[id]
		if !ok {
			from = cmp.Or(s.Since, now)
		}
		if restored && !r.entries[id].Leaving {
			r.keepUnconfirmed(id)
			continue
		}
		r.remove(now, id, from)
	}
	r.applyRemoved(now, s.Removed)
	return true
}

func (r *Registry) put(now time.Time, e Entry) {
	if r.outdated(&e) {
		r.countOutdated(&e)
		return
	}
	if r.isRestart(&e) {
		r.restarted = append(r.restarted, e.ID)
	}
	r.activate(newTarget(now, e))
}

func newTarget(now time.Time, e Entry) *Target {
	return &Target{Entry: e, WarmAt: now.Add(e.Warmup)}
}

// activate makes a target's entry the current one.
func (r *Registry) activate(t *Target) {
	if _, vanished := r.inGracePeriod[t.ID]; vanished {
		r.markMassLapses() // before this return hides that most had vanished
	}
	delete(r.inGracePeriod, t.ID)
	delete(r.removed, t.ID)
	delete(r.staleCandidates, t.ID)
	r.entries[t.ID] = t
	r.changed = true
}

// outdated reports whether a newer state of the entry's target is recorded.
func (r *Registry) outdated(e *Entry) bool {
	if last, ok := r.removed[e.ID]; ok && last.outdates(e, r.next.Epoch) {
		return true
	}
	old := r.entries[e.ID]
	return old != nil && old.newerThan(e.Born, e.Sequence)
}

// isRestart reports whether the entry is of a later process than the recorded one.
func (r *Registry) isRestart(e *Entry) bool {
	if old := r.entries[e.ID]; old != nil {
		return e.Born > old.Born
	}
	last, ok := r.removed[e.ID]
	return ok && e.Born > last.born
}

// TakeRestarted returns the targets that have restarted since the last call.
func (r *Registry) TakeRestarted() []fleet.TargetID {
	ids := r.restarted
	r.restarted = nil
	return ids
}

// remove deletes an entry and starts its grace period unless the target is leaving; since is when
// the removal was first learned of.
func (r *Registry) remove(now time.Time, id fleet.TargetID, since time.Time) {
	delete(r.staleCandidates, id)
	t := r.entries[id]
	if t == nil {
		return
	}
	delete(r.entries, id)
	r.recordRemoval(now, t, since)
	r.changed = true
	if r.leaving(t) {
		return
	}
	h := vanishedTarget{target: t, firstLearnedAt: since}
	r.inGracePeriod[id] = h
	r.vanishedSinceMark = true
	end, reason := r.gracePeriodEnd(now, h)
	r.gracePeriods = append(r.gracePeriods, GracePeriod{Target: t, Age: now.Sub(since), Remaining: end.Sub(now), Reason: reason})
}

// recordRemoval records that a target was removed; since is when that was first learned of.
func (r *Registry) recordRemoval(now time.Time, t *Target, since time.Time) {
	if len(r.removed) >= maxRemovals {
		r.removed = make(map[fleet.TargetID]removal)
	}
	r.removed[t.ID] = removal{born: t.Born, sequence: t.Sequence, announced: r.leaving(t), epoch: r.next.Epoch, learnedAt: now, firstLearnedAt: since}
}

// Entries returns the entries in the log, without vanished ones in their grace period.
func (r *Registry) Entries() []Entry {
	entries := make([]Entry, 0, len(r.entries)+len(r.staleCandidates))
	for _, t := range r.entries {
		entries = append(entries, t.Entry)
	}
	for _, t := range r.staleCandidates {
		entries = append(entries, t.Entry)
	}
	return entries
}

// View returns the targets that may get new work.
func (r *Registry) View() *View {
	if !r.changed && r.view.Next == r.next {
		return r.view
	}
	r.changed = false
	v := &View{
		Next:     r.next,
		Services: make(map[document.ServiceName][]*Target),
		byID:     make(map[fleet.TargetID]*Target),
	}
	for _, t := range r.entries {
		if !r.leaving(t) {
			v.add(t)
		}
	}
	for _, h := range r.inGracePeriod {
		if !r.leaving(h.target) {
			v.add(h.target)
		}
	}
	r.view = v
	return v
}

// leaving reports whether a target has announced that it leaves, in its entry or in a response.
func (r *Registry) leaving(t *Target) bool { return t.Leaving || r.departed(&t.Entry) }

func (v *View) add(t *Target) {
	v.Services[t.Service] = append(v.Services[t.Service], t)
	v.byID[t.ID] = t
}
