package registry

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Holds for an entry that vanished without a notice.
const (
	// CalmHold covers an outage of the log that was too short to be noticed, from
	// the moment of the removal, as far as it is known.
	CalmHold = 800 * time.Millisecond
	// holdShare is the part of the bound for work at targets that are gone that a
	// hold may take, where the bound is shorter than 2 s.
	holdShare = 0.4
	// lapsedShare and lapsedLeast are the part and the number of a service's entries
	// from which those that vanish together may be put down to an outage that nobody noticed.
	// They are held for as long as the bound for work at targets that are gone allows:
	// leaveReserve less, for what follows the end of a hold until the last request arrives.
	lapsedShare  = 0.5
	lapsedLeast  = 3
	leaveReserve = 700 * time.Millisecond
	// defaultBound is that bound where nobody tells it.
	defaultBound = 2 * time.Second
	// OutageHold counts from the return of the log: live targets register anew
	// within about 2 s of it.
	OutageHold = 2300 * time.Millisecond
	// OutageMemory is for how long after the log's return a vanished entry
	// is put down to the outage.
	OutageMemory = 2 * time.Second
)

// held is a target that is in use though its entry has vanished.
type held struct {
	target *Target
	// since is when the removal was first learned of.
	since time.Time
	// trusted is until when the target is kept since a restored log lacks it; zero if the log
	// says that it is gone.
	trusted time.Time
}

// Vanished tells peers of an entry that was removed.
type Vanished struct {
	_  struct{} `cbor:",toarray"`
	ID fleet.TargetID
	// AgeMillis is how long ago the sender, or whoever told it, learned of the
	// removal.
	AgeMillis int64
}

// LeaveWithin sets within which time a target that has gone must get no more work;
// holds are kept below it.
func (r *Registry) LeaveWithin(bound time.Duration) {
	r.calmHold = min(CalmHold, time.Duration(holdShare*float64(bound)))
	r.lapsedHold = max(bound-leaveReserve, r.calmHold)
}

// HoldReason says why a target stays in use though its entry has vanished.
type HoldReason string

// Reasons of holds.
const (
	// HoldCalm covers an outage that nobody noticed.
	HoldCalm HoldReason = "calm"
	// HoldOutage gives targets the time to register anew after an outage of the log.
	HoldOutage HoldReason = "outage"
	// HoldRestore is the same after the log was restored from an older copy.
	HoldRestore HoldReason = "restore"
)

// Hold tells that a target stays in use though its entry has vanished.
type Hold struct {
	Target *Target
	// Age is how long ago the removal was first learned of, For how long the target stays in use
	// by what is known now.
	Age, For time.Duration
	Why      HoldReason
}

// TakeHolds returns the holds that have begun since the last call.
func (r *Registry) TakeHolds() []Hold {
	holds := r.holds
	r.holds = nil
	return holds
}

// holdEnd is until when a target is held. Only what vanished in an outage of the log, or a moment
// after, is held for longer than the bound for work at targets that are gone allows: live targets
// register anew then.
func (r *Registry) holdEnd(now time.Time, h held) (time.Time, HoldReason) {
	end, why := h.since.Add(r.calmHold), HoldCalm
	if !h.trusted.IsZero() {
		end, why = h.trusted, HoldRestore
	}
	if after := h.since.Sub(r.restoredAt); after >= 0 && after < OutageMemory {
		end, why = later(end, r.restoredAt.Add(OutageHold)), HoldRestore
	}
	for _, o := range r.contact.outages(now) {
		vanished := h.since.After(o.From) && h.since.Sub(o.Until) < OutageMemory
		waited := why != HoldCalm && o.From.Before(end) && o.Until.After(h.since)
		if vanished || waited {
			end, why = later(end, o.Until.Add(OutageHold)), HoldOutage
		}
	}
	return end, why
}

// Tick ends the holds and doubts that are over.
func (r *Registry) Tick(now time.Time) {
	r.contact.forget(now)
	r.forgetDepartures(now)
	if !r.contact.away {
		r.endDoubts(now)
	}
	if len(r.held) == 0 {
		return
	}
	lapsed := r.lapsed()
	for id, h := range r.held {
		until, _ := r.holdEnd(now, h)
		if lapsed[h.target.Service] {
			until = later(until, h.since.Add(r.lapsedHold))
		}
		if now.After(until) {
			delete(r.held, id)
			r.changed = true
			if _, known := r.removed[id]; !known { // it was kept on trust
				r.remember(now, h.target, h.since)
			}
		}
	}
}

// lapsed returns the services of which most entries vanished together: nobody takes so
// many targets away at once without a notice, so the log may have been away for a time that
// went unnoticed.
func (r *Registry) lapsed() map[document.ServiceName]bool {
	vanished, all := make(map[document.ServiceName]int), make(map[document.ServiceName]int)
	for _, h := range r.held {
		vanished[h.target.Service]++
		all[h.target.Service]++
	}
	for _, t := range r.entries {
		all[t.Service]++
	}
	lapsed := make(map[document.ServiceName]bool)
	for name, n := range vanished {
		lapsed[name] = n >= lapsedLeast && float64(n) > lapsedShare*float64(all[name])
	}
	return lapsed
}

// Vanished returns the removals that somebody may not have heard of yet, with their ages: all that
// learn of one count its hold from the same moment, however late they learn.
func (r *Registry) Vanished(now time.Time) []Vanished {
	vs := make([]Vanished, 0, len(r.held))
	age := func(since time.Time) int64 { return now.Sub(since).Milliseconds() }
	for id, h := range r.held {
		vs = append(vs, Vanished{ID: id, AgeMillis: age(h.since)})
	}
	for id, l := range r.removed {
		if _, held := r.held[id]; !held && !l.since.IsZero() && now.Sub(l.since) < removedFor {
			vs = append(vs, Vanished{ID: id, AgeMillis: age(l.since)})
		}
	}
	return vs
}

// VanishedIn returns those of Vanished that changes are about.
func (r *Registry) VanishedIn(now time.Time, changes []Change) []Vanished {
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
