package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// This file backs off from targets that turned requests away and said for how long (Retry-After).

const (
	// longestBackoff bounds a backoff, whatever a target says.
	longestBackoff = 5 * time.Minute
	// backoffJitter is the part of a backoff by which it is stretched at most, and backoffJitterMost bounds that:
	// instances that were told the same moment do not all come back in it.
	backoffJitter     = 0.1
	backoffJitterMost = 300 * time.Millisecond
	// toldBackoffMost bounds for how long it counts that others were turned away.
	toldBackoffMost = 5 * time.Second
	// backoffTellGap is the least by which a backoff must outlast what was last told of the target to be told.
	backoffTellGap = 200 * time.Millisecond
)

// backoff is until when instances back off from a target.
type backoff struct {
	// until is that of this instance, which was turned away itself and sends nothing before.
	until time.Time
	// others is that of others in the zone, as they told. The target is likely to turn this instance away
	// too, but has told it nothing: it is used where the alternatives are worse.
	others time.Time
}

// TurnedAway takes in that a target turned a request of this instance away and wants no others for a time. It
// tells whether that is news to the others.
func (k *Knowledge) TurnedAway(now time.Time, name document.ServiceName, id fleet.TargetID, lasts time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := &k.target(id).backoff
	end := now.Add(lasts)
	if !end.After(b.until) {
		return false
	}
	eventlog.Info(eventlog.TargetBackoff, "target", id, "service", name, "backoff_ms", lasts.Milliseconds(), "again", now.Before(b.until), "others_ms", max(b.others.Sub(now), 0).Milliseconds())
	most := min(backoffJitter*float64(lasts), float64(backoffJitterMost))
	b.until = end.Add(time.Duration(k.chooser.Random() * most))
	news := min(lasts, toldBackoffMost) > b.others.Sub(now)+backoffTellGap
	if news {
		b.others = now.Add(min(lasts, toldBackoffMost))
	}
	return news
}

// takeBackoffs takes in that targets turned other instances away; the lock is held.
func (k *Knowledge) takeBackoffs(now time.Time, backoffs []mesh.TargetBackoff) {
	for _, told := range backoffs {
		lasts := min(max(told.RemainingMillis, 0), toldBackoffMost.Milliseconds())
		b := &k.target(told.Target).backoff
		if end := now.Add(millis(lasts)); end.After(b.others) {
			b.others = end
		}
	}
}

// BacksOff tells whether this instance backs off from a target now.
func (k *Knowledge) BacksOff(now time.Time, id fleet.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.targets[id]
	return t != nil && now.Before(t.backoff.until)
}

// backoffs are the targets from which this instance backs off, and until when.
func (k *Knowledge) backoffs(now time.Time) map[fleet.TargetID]time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	backoffs := make(map[fleet.TargetID]time.Time)
	for id, t := range k.targets {
		if now.Before(t.backoff.until) {
			backoffs[id] = t.backoff.until
		}
	}
	return backoffs
}

// endBackoff ends the backoff from a target, and tells false if there is none.
func (k *Knowledge) endBackoff(now time.Time, id fleet.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.targets[id]
	if t == nil || !now.Before(t.backoff.until) {
		return false
	}
	t.backoff = backoff{}
	return true
}

// firstBack is after which time the first of the targets takes requests again; 0 if one does now, or if
// there is none.
func (k *Knowledge) firstBack(now time.Time, ts []*registry.Target) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := time.Duration(0)
	for _, t := range ts {
		left := k.target(t.ID).backoff.until.Sub(now)
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
