package registry

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Entry is what a target registered.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	ID      fleet.TargetID
	Service document.ServiceName
	Addr    string
	Zone    fleet.Zone
	// Slots is how many requests the target works on at once.
	Slots int
	// Leaving targets finish what they have and get no new work.
	Leaving bool
	// Sequence grows with each renewal by one target.
	Sequence int64
	// Warmup is how long the target stays slow after its start, counted from
	// the renewal.
	Warmup time.Duration
	// Born is when the target's process started, in milliseconds since the Unix epoch; 0
	// if it does not say. A later process under the ID knows nothing of the earlier one,
	// and its sequence starts anew. It travels beside the entry: see Starts.
	Born int64 `cbor:"-"`
}

// after tells whether the entry was written after another of the same ID.
func (e *Entry) after(born, sequence int64) bool {
	if e.Born != born {
		return e.Born > born
	}
	return e.Sequence > sequence
}

// Starts returns when the processes of entries were born, in their order; nil if none says
// so. It travels beside the entries, whose form stays that of instances that know nothing
// of it.
func Starts(entries []*Entry) []int64 {
	starts, told := make([]int64, len(entries)), false
	for i, e := range entries {
		starts[i] = e.Born
		told = told || e.Born != 0
	}
	if !told {
		return nil
	}
	return starts
}

// SetStarts gives entries what Starts returned.
func SetStarts(entries []*Entry, starts []int64) error {
	if len(starts) == 0 {
		return nil
	}
	if len(starts) != len(entries) {
		return errors.Errorf("%d starts for %d entries", len(starts), len(entries))
	}
	for i, e := range entries {
		e.Born = starts[i]
	}
	return nil
}

// Change is one record of the log, of the epoch that the registry is in. Entry is nil if the
// entry was removed.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Offset Offset
	ID     fleet.TargetID
	Entry  *Entry
}

// Target is a registered target in use.
type Target struct {
	Entry
	// WarmAt is when the target is expected to be at full speed.
	WarmAt time.Time
}

// View is an immutable snapshot.
type View struct {
	Next     Position
	Services map[document.ServiceName][]*Target
	byID     map[fleet.TargetID]*Target
}

// Target returns the target in use of an ID, or nil.
func (v *View) Target(id fleet.TargetID) *Target { return v.byID[id] }

// Each calls f with every target in use.
func (v *View) Each(f func(*Target)) {
	for _, t := range v.byID {
		f(t)
	}
}

// Len is how many targets are in use.
func (v *View) Len() int { return len(v.byID) }

const (
	// recentChanges bounds the changes that are kept for peers that lag. Each takes
	// about 100 bytes, and a peer that lags by more gets the whole state.
	recentChanges = 512
	// sequenceMemory bounds for how many removed targets the last renewal is
	// remembered.
	sequenceMemory = 4096
)

// Registry is the state of one instance. It belongs to one goroutine.
type Registry struct {
	next    Position
	entries map[fleet.TargetID]*Target
	held    map[fleet.TargetID]held
	// removed holds the last renewal of targets that are gone, so that a late write of
	// an old one does not bring them back.
	removed map[fleet.TargetID]renewal
	// doubted are entries of targets that had gone before the log was restored.
	doubted map[fleet.TargetID]*Target
	// departures are processes that said in answers that they leave.
	departures map[fleet.TargetID]departure
	// restored tells of the last restore of the log until it is taken; restoredAt is when
	// the fleet first learned of it, and epochSince when this instance learned of the epoch.
	restored   *Restored
	restoredAt time.Time
	epochSince time.Time
	// holds are those that began since they were last taken.
	holds []Hold
	// restarted are targets that have started again since they were last taken.
	restarted []fleet.TargetID
	// recent are the last changes, without a gap up to next.
	recent   []Change
	contact  contact
	changed  bool
	view     *View
	calmHold time.Duration
	// lapsedHold is that of entries of which many of a service vanish together.
	lapsedHold time.Duration
}

// renewal is what is remembered of a target that has gone.
type renewal struct {
	born, sequence int64
	// noticed tells that the target announced that it leaves. Else the same process may come back.
	noticed bool
	// epoch is that of the removal, at when this instance learned of it, since when the first of
	// all did.
	epoch     Epoch
	at, since time.Time
}

// outdates tells whether an entry is older than the removal, in a log of the given epoch.
//
// Of a target that left without a notice an entry that follows in the log is news, whatever its
// sequence. One of a later epoch follows in nothing, so that the sequence decides: else a copy
// that is older than the removal would bring back what has gone.
func (l *renewal) outdates(e *Entry, epoch Epoch) bool {
	if e.Born != l.born {
		return e.Born < l.born
	}
	if l.sequence == 0 || e.Sequence == 0 {
		return false
	}
	if l.noticed {
		return e.Sequence <= l.sequence
	}
	return l.epoch != epoch && e.Sequence < l.sequence
}

// doubts tells whether an entry of a whole state may be what the log's older copy shows of the
// target, or what the target has written again since.
func (l *renewal) doubts(e *Entry, epoch Epoch) bool {
	return !l.noticed && l.epoch != epoch && e.Born == l.born && e.Sequence == l.sequence && e.Sequence > 0
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{
		entries: make(map[fleet.TargetID]*Target),
		held:    make(map[fleet.TargetID]held),
		removed: make(map[fleet.TargetID]renewal),
		doubted: make(map[fleet.TargetID]*Target),
		changed: true,

		departures: make(map[fleet.TargetID]departure),
	}
	r.LeaveWithin(defaultBound)
	r.View()
	return r
}

// Next is the position of the first change that was not applied yet.
func (r *Registry) Next() Position { return r.next }

// Apply takes in the next change. It tells false, and does nothing, if changes
// before it are missing; a change that was applied before is passed over.
func (r *Registry) Apply(now time.Time, c Change) bool {
	return r.ApplySince(now, c, now)
}

// ApplySince takes in a change; since is when its removal was first learned of, or happened.
func (r *Registry) ApplySince(now time.Time, c Change, since time.Time) bool {
	if c.Offset > r.next.Offset {
		return false
	}
	if c.Offset < r.next.Offset {
		return true
	}
	r.next.Offset++
	if len(r.recent) >= 2*recentChanges {
		r.recent = append(r.recent[:0], r.recent[recentChanges:]...)
	}
	r.recent = append(r.recent, c)
	if c.Entry == nil {
		r.remove(now, c.ID, since)
		return true
	}
	r.put(now, *c.Entry)
	return true
}

// Since returns the changes from a position on, and false if not all are kept.
func (r *Registry) Since(p Position) ([]Change, bool) {
	missing := int(r.next.Offset - p.Offset)
	if p.Epoch != r.next.Epoch || missing < 0 || missing > len(r.recent) {
		return nil, false
	}
	return slices.Clone(r.recent[len(r.recent)-missing:]), true
}

// Catch takes in the changes that a peer kept; vanished are removals that it learned
// of lately. One that is not among these has gone for the peer. It tells whether there was any
// news.
func (r *Registry) Catch(now time.Time, changes []Change, vanished []Vanished) bool {
	before := r.next
	since := firstLearned(now, vanished)
	for _, c := range changes {
		from, told := since[c.ID]
		if !told {
			from = now.Add(-r.calmHold)
		}
		r.ApplySince(now, c, from)
	}
	return r.next.After(before)
}

// firstLearned is when peers first learned of removals.
func firstLearned(now time.Time, vanished []Vanished) map[fleet.TargetID]time.Time {
	since := make(map[fleet.TargetID]time.Time, len(vanished))
	for _, v := range vanished {
		since[v.ID] = now.Add(-time.Duration(v.AgeMillis) * time.Millisecond)
	}
	return since
}

// Replace takes in the whole state of the log, if that is ahead of what was applied.
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
	restored := s.Next.Epoch != before.Epoch && len(r.entries)+len(r.held) > 0
	if restored {
		r.restore(now, before, s)
	}
	since := firstLearned(now, s.Vanished)
	listed := make(map[fleet.TargetID]bool, len(s.Entries))
	clear(r.doubted)
	for _, e := range s.Entries {
		listed[e.ID] = true
		if r.doubts(&e) {
			r.doubted[e.ID] = newTarget(now, e)
			continue
		}
		r.put(now, e)
	}
	for id := range r.entries {
		if listed[id] {
			continue
		}
		from, told := since[id]
		if !told {
			from = now
		}
		if restored && !r.entries[id].Leaving {
			r.trust(id)
			continue
		}
		r.remove(now, id, from)
	}
	r.forget(now, s.Removed)
	return true
}

func (r *Registry) put(now time.Time, e Entry) {
	if r.outdated(&e) {
		r.countOutdated(&e)
		return
	}
	if r.startsAgain(&e) {
		r.restarted = append(r.restarted, e.ID)
	}
	r.use(newTarget(now, e))
}

func newTarget(now time.Time, e Entry) *Target {
	return &Target{Entry: e, WarmAt: now.Add(e.Warmup)}
}

// use takes a target's entry for what the log says of it now.
func (r *Registry) use(t *Target) {
	delete(r.held, t.ID)
	delete(r.removed, t.ID)
	delete(r.doubted, t.ID)
	r.entries[t.ID] = t
	r.changed = true
}

// outdated tells whether something newer than the entry is known of its target.
func (r *Registry) outdated(e *Entry) bool {
	if last, ok := r.removed[e.ID]; ok && last.outdates(e, r.next.Epoch) {
		return true
	}
	old := r.entries[e.ID]
	return old != nil && old.after(e.Born, e.Sequence)
}

// startsAgain tells whether the entry is that of a later process than the one known.
func (r *Registry) startsAgain(e *Entry) bool {
	if old := r.entries[e.ID]; old != nil {
		return e.Born > old.Born
	}
	last, ok := r.removed[e.ID]
	return ok && e.Born > last.born
}

// TakeRestarted returns the targets that have started again since the last call.
func (r *Registry) TakeRestarted() []fleet.TargetID {
	ids := r.restarted
	r.restarted = nil
	return ids
}

// remove takes out an entry whose removal was first learned of at the given time.
func (r *Registry) remove(now time.Time, id fleet.TargetID, since time.Time) {
	delete(r.doubted, id)
	t := r.entries[id]
	if t == nil {
		return
	}
	delete(r.entries, id)
	r.remember(now, t, since)
	r.changed = true
	if r.leaving(t) {
		return
	}
	h := held{target: t, since: since}
	r.held[id] = h
	end, why := r.holdEnd(now, h)
	r.holds = append(r.holds, Hold{Target: t, Age: now.Sub(since), For: end.Sub(now), Why: why})
}

// remember notes that a target has gone, which was first learned of at the given time.
func (r *Registry) remember(now time.Time, t *Target, since time.Time) {
	if len(r.removed) >= sequenceMemory {
		r.removed = make(map[fleet.TargetID]renewal)
	}
	r.removed[t.ID] = renewal{born: t.Born, sequence: t.Sequence, noticed: r.leaving(t), epoch: r.next.Epoch, at: now, since: since}
}

// Entries returns what the log holds, held entries left out.
func (r *Registry) Entries() []Entry {
	entries := make([]Entry, 0, len(r.entries)+len(r.doubted))
	for _, t := range r.entries {
		entries = append(entries, t.Entry)
	}
	for _, t := range r.doubted {
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
	for _, h := range r.held {
		if !r.leaving(h.target) {
			v.add(h.target)
		}
	}
	r.view = v
	return v
}

// leaving tells whether a target has announced that it leaves, by its entry or in an answer.
func (r *Registry) leaving(t *Target) bool { return t.Leaving || r.departed(&t.Entry) }

func (v *View) add(t *Target) {
	v.Services[t.Service] = append(v.Services[t.Service], t)
	v.byID[t.ID] = t
}
