package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// This file keeps for how long targets that turned requests away want no others.

const (
	// longestRest bounds for how long a target is left alone that asks for it.
	longestRest = 5 * time.Minute
	// restJitter is the part of a rest by which it is stretched at most, and restJitterMost bounds that:
	// instances that were told the same moment do not all come back in it.
	restJitter     = 0.1
	restJitterMost = 300 * time.Millisecond
	// toldRestMost bounds for how long it counts that others were turned away.
	toldRestMost = 5 * time.Second
	// restTellGap is the least by which a rest must outlast what was last told of the target to be told.
	restTellGap = 200 * time.Millisecond
)

// rest is until when a target wants no requests.
type rest struct {
	// until is that of this instance, which was turned away itself and sends nothing before.
	until time.Time
	// others is that of others in the zone, as they told. The target is likely to turn this instance away
	// too, but has not asked it for anything: it is used where the alternatives are worse.
	others time.Time
}

// TurnedAway takes in that a target turned a request of this instance away and wants no others for a time. It
// tells whether that is news to the others.
func (k *Knowledge) TurnedAway(now time.Time, name document.ServiceName, id fleet.TargetID, lasts time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := &k.target(id).rest
	end := now.Add(lasts)
	if !end.After(r.until) {
		return false
	}
	eventlog.Info(eventlog.TargetRests, "target", id, "service", name, "rest_ms", lasts.Milliseconds(), "resting", now.Before(r.until), "others_ms", max(r.others.Sub(now), 0).Milliseconds())
	most := min(restJitter*float64(lasts), float64(restJitterMost))
	r.until = end.Add(time.Duration(k.chooser.Random() * most))
	news := min(lasts, toldRestMost) > r.others.Sub(now)+restTellGap
	if news {
		r.others = now.Add(min(lasts, toldRestMost))
	}
	return news
}

// takeRests takes in that targets turned other instances away; the lock is held.
func (k *Knowledge) takeRests(now time.Time, rests []mesh.TargetRest) {
	for _, told := range rests {
		lasts := min(max(told.ForMillis, 0), toldRestMost.Milliseconds())
		r := &k.target(told.Target).rest
		if end := now.Add(millis(lasts)); end.After(r.others) {
			r.others = end
		}
	}
}

// Rests tells whether a target wants no request of this instance now.
func (k *Knowledge) Rests(now time.Time, id fleet.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.targets[id]
	return t != nil && now.Before(t.rest.until)
}

// restsUntil are the targets that want no request of this instance now, and until when.
func (k *Knowledge) restsUntil(now time.Time) map[fleet.TargetID]time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	resting := make(map[fleet.TargetID]time.Time)
	for id, t := range k.targets {
		if now.Before(t.rest.until) {
			resting[id] = t.rest.until
		}
	}
	return resting
}

// endRest ends a target's rest, and tells false if there is none.
func (k *Knowledge) endRest(now time.Time, id fleet.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.targets[id]
	if t == nil || !now.Before(t.rest.until) {
		return false
	}
	t.rest = rest{}
	return true
}

// firstBack is after which time the first of the targets takes requests again; 0 if one does now, or if
// there is none.
func (k *Knowledge) firstBack(now time.Time, ts []*registry.Target) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := time.Duration(0)
	for _, t := range ts {
		left := k.target(t.ID).rest.until.Sub(now)
		if left <= 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// ConcernedBy tells whether an instance of the zone, named by its address, should hear what becomes of one of a
// service's targets: it mostly uses it.
func (k *Knowledge) ConcernedBy(addr string, t *registry.Target, ts []*registry.Target) bool {
	return k.chooser.Considers(fleet.InstanceID(addr), t.ID, inZone(ts, t.Zone))
}
