package registry

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Grace periods for entries that vanished without an announcement.
const (
	// BaseGracePeriod covers an outage of the log that was too short to be noticed. It counts from
	// the removal, if its time is known.
	BaseGracePeriod = 800 * time.Millisecond
	// gracePeriodShare is the share of the removal bound (see SetRemovalBound) that BaseGracePeriod
	// may take, where the bound is shorter than 2 s.
	gracePeriodShare = 0.4
	// massLapseShare and minMassLapse are the share and the number of a service's entries from
	// which a joint removal may be due to an outage that nobody noticed. Such targets stay in use
	// for as long as the removal bound allows, less drainReserve for the time from the end of the
	// grace period until the last request arrives.
	massLapseShare = 0.5
	minMassLapse   = 3
	drainReserve   = 700 * time.Millisecond
	// defaultRemovalBound is the removal bound if none is set.
	defaultRemovalBound = 2 * time.Second
	// OutageGracePeriod counts from the end of an outage. Live targets register again within about
	// 2 s; another 700 ms may pass until all instances know, 400 ms in which a reader of the log
	// pauses after other changes and 300 ms until its next heartbeat if an announcement is lost.
	OutageGracePeriod = 2700 * time.Millisecond
	// OutageAttributionWindow is how long after the end of an outage a removal is still attributed
	// to it.
	OutageAttributionWindow = 2 * time.Second
)

// vanishedTarget is a target that is still in use after its entry vanished.
type vanishedTarget struct {
	target *Target
	// firstLearnedAt is when any instance first learned of the removal.
	firstLearnedAt time.Time
	// unconfirmedUntil is when an unconfirmed target, one that a restored log lacks, goes out of
	// use; zero if the log reported its removal.
	unconfirmedUntil time.Time
	// massLapse is set once most entries of the service have vanished together. It stays set while
	// the others register again, since this target may be the last to do so.
	massLapse bool
}

// Vanished informs peers that an entry was removed.
type Vanished struct {
	_  struct{} `cbor:",toarray"`
	ID fleet.TargetID
	// AgeMillis is how long ago the first instance learned of the removal.
	AgeMillis int64
}

// SetRemovalBound sets the removal bound: the time within which a removed target must stop getting
// work. Grace periods stay below it unless an outage or a restore of the log is known.
func (r *Registry) SetRemovalBound(bound time.Duration) {
	r.baseGracePeriod = min(BaseGracePeriod, time.Duration(gracePeriodShare*float64(bound)))
	r.massLapseGracePeriod = max(bound-drainReserve, r.baseGracePeriod)
}

// GraceReason is why a target stays in use after its entry vanished.
type GraceReason string

// Reasons of grace periods.
const (
	// GraceUnnoticedOutage covers an outage that nobody noticed.
	GraceUnnoticedOutage GraceReason = "calm"
	// GraceOutage gives targets time to register again after an outage of the log.
	GraceOutage GraceReason = "outage"
	// GraceRestore gives targets time to register again after the log was restored from an older
	// copy.
	GraceRestore GraceReason = "restore"
)

// GracePeriod describes a target that stays in use after its entry vanished.
type GracePeriod struct {
	Target *Target
	// Age is how long ago the removal was first learned of, Remaining how long the target will stay
	// in use as far as known now.
	Age, Remaining time.Duration
	Reason         GraceReason
}

// TakeGracePeriods returns the grace periods that have begun since the last call.
func (r *Registry) TakeGracePeriods() []GracePeriod {
	periods := r.gracePeriods
	r.gracePeriods = nil
	return periods
}

// gracePeriodEnd returns when a vanished target goes out of use, and why it is kept. Only targets
// that vanished during an outage of the log, or shortly after, may be kept past the removal bound,
// since live targets register again then.
func (r *Registry) gracePeriodEnd(now time.Time, h vanishedTarget) (time.Time, GraceReason) {
	end, reason := h.firstLearnedAt.Add(r.baseGracePeriod), GraceUnnoticedOutage
	if !h.unconfirmedUntil.IsZero() {
		end, reason = h.unconfirmedUntil, GraceRestore
	}
	if after := h.firstLearnedAt.Sub(r.restoredAt); after >= 0 && after < OutageAttributionWindow {
		end, reason = later(end, r.restoredAt.Add(OutageGracePeriod)), GraceRestore
	}
	for _, o := range r.availability.outages(now) {
		vanished := h.firstLearnedAt.After(o.From) && h.firstLearnedAt.Sub(o.Until) < OutageAttributionWindow
		waited := reason != GraceUnnoticedOutage && o.From.Before(end) && o.Until.After(h.firstLearnedAt)
		if vanished || waited {
			end, reason = later(end, o.Until.Add(OutageGracePeriod)), GraceOutage
		}
	}
	return end, reason
}

// Tick ends the grace periods, and admits the stale candidates, whose time is over.
func (r *Registry) Tick(now time.Time) {
	r.availability.prune(now)
	r.pruneDepartures(now)
	if !r.availability.unavailable {
		r.admitStaleCandidates(now)
	}
	if len(r.inGracePeriod) == 0 {
		return
	}
	r.markMassLapses()
	for id, h := range r.inGracePeriod {
		until, _ := r.gracePeriodEnd(now, h)
		if h.massLapse {
			until = later(until, h.firstLearnedAt.Add(r.massLapseGracePeriod))
		}
		if now.After(until) {
			delete(r.inGracePeriod, id)
			r.changed = true
			if _, recorded := r.removed[id]; !recorded { // it was kept unconfirmed
				r.recordRemoval(now, h.target, h.firstLearnedAt)
			}
		}
	}
}

// markMassLapses marks the targets of services of which most entries vanished together. It does
// nothing unless an entry has vanished since the last call.
func (r *Registry) markMassLapses() {
	if !r.vanishedSinceMark {
		return
	}
	r.vanishedSinceMark = false
	lapsed := r.massLapsed()
	for id, h := range r.inGracePeriod {
		h.massLapse = h.massLapse || lapsed[h.target.Service]
		r.inGracePeriod[id] = h
	}
}

// HasMassLapse reports whether targets are in use whose entries vanished together with most of their
// service's, so that their registrations are urgent.
func (r *Registry) HasMassLapse() bool {
	for _, h := range r.inGracePeriod {
		if h.massLapse {
			return true
		}
	}
	return false
}

// massLapsed returns the services of which most entries vanished together: nobody removes
// so many targets at once without an announcement, so an outage of the log may have gone unnoticed.
func (r *Registry) massLapsed() map[document.ServiceName]bool {
	vanished, all := make(map[document.ServiceName]int), make(map[document.ServiceName]int)
	for _, h := range r.inGracePeriod {
		vanished[h.target.Service]++
		all[h.target.Service]++
	}
	for _, t := range r.entries {
		all[t.Service]++
	}
	lapsed := make(map[document.ServiceName]bool)
	for name, n := range vanished {
		lapsed[name] = n >= minMassLapse && float64(n) > massLapseShare*float64(all[name])
	}
	return lapsed
}

// Vanished returns the removals that a peer may not have received yet, with their ages, so that the
// grace period counts from the same moment on all instances, however late they learn of a removal.
func (r *Registry) Vanished(now time.Time) []Vanished {
	vs := make([]Vanished, 0, len(r.inGracePeriod))
	age := func(since time.Time) int64 { return now.Sub(since).Milliseconds() }
	for id, h := range r.inGracePeriod {
		vs = append(vs, Vanished{ID: id, AgeMillis: age(h.firstLearnedAt)})
	}
	for id, rm := range r.removed {
		if _, kept := r.inGracePeriod[id]; !kept && !rm.firstLearnedAt.IsZero() && now.Sub(rm.firstLearnedAt) < removalRetention {
			vs = append(vs, Vanished{ID: id, AgeMillis: age(rm.firstLearnedAt)})
		}
	}
	return vs
}

// VanishedAmong returns the elements of Vanished that the changes removed.
func (r *Registry) VanishedAmong(now time.Time, changes []Change) []Vanished {
	removed := make(map[fleet.TargetID]bool)
	for _, c := range changes {
		if c.Entry == nil {
			removed[c.ID] = true
		}
	}
	if len(removed) == 0 {
		return nil
	}
	return slices.DeleteFunc(r.Vanished(now), func(v Vanished) bool { return !removed[v.ID] })
}
