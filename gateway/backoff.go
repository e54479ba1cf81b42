package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// This file implements the backoff from targets that rejected requests with a Retry-After.

const (
	// maxBackoff bounds a backoff, whatever the target requests.
	maxBackoff = 5 * time.Minute
	// backoffJitter is the largest fraction by which a backoff is extended at random, and
	// maxBackoffJitter bounds the extension. Without it instances that were rejected together would
	// return together.
	backoffJitter    = 0.1
	maxBackoffJitter = 300 * time.Millisecond
	// maxReportedBackoff bounds the time for which a backoff that another instance reported counts.
	maxReportedBackoff = 5 * time.Second
	// minBackoffExtension is the least time by which a backoff must exceed the last reported one of
	// the target to be reported as well.
	minBackoffExtension = 200 * time.Millisecond
)

// backoff has the times until which instances back off from a target.
type backoff struct {
	// until is the end of this instance's backoff: it was rejected itself and sends nothing before.
	until time.Time
	// peersUntil is the end of the backoffs that other instances of the zone reported. The target has
	// not rejected this instance but is likely to: it is used only if the alternatives are worse.
	peersUntil time.Time
}

// RecordBackoff records that a target rejected a request of this instance and wants none for the
// given time. It returns true if this has to be reported to other instances.
func (k *Knowledge) RecordBackoff(now time.Time, name document.ServiceName, id fleet.TargetID, duration time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := &k.target(id).backoff
	end := now.Add(duration)
	if !end.After(b.until) {
		return false
	}
	eventlog.Info(eventlog.TargetBackoff, "target", id, "service", name, "backoff_ms", duration.Milliseconds(), "again", now.Before(b.until), "others_ms", max(b.peersUntil.Sub(now), 0).Milliseconds())
	maxJitter := min(backoffJitter*float64(duration), float64(maxBackoffJitter))
	b.until = end.Add(time.Duration(k.chooser.Random() * maxJitter))
	report := min(duration, maxReportedBackoff) > b.peersUntil.Sub(now)+minBackoffExtension
	if report {
		b.peersUntil = now.Add(min(duration, maxReportedBackoff))
	}
	return report
}

// applyPeerBackoffs records the backoffs that another instance reported. The caller holds the lock.
func (k *Knowledge) applyPeerBackoffs(now time.Time, backoffs []mesh.TargetBackoff) {
	for _, r := range backoffs {
		duration := min(max(r.RemainingMillis, 0), maxReportedBackoff.Milliseconds())
		b := &k.target(r.Target).backoff
		if end := now.Add(millis(duration)); end.After(b.peersUntil) {
			b.peersUntil = end
		}
	}
}

// InBackoff reports whether this instance backs off from a target at present.
func (k *Knowledge) InBackoff(now time.Time, id fleet.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.targets[id]
	return t != nil && now.Before(t.backoff.until)
}

// activeBackoffs returns the targets from which this instance backs off, with the ends of the
// backoffs.
func (k *Knowledge) activeBackoffs(now time.Time) map[fleet.TargetID]time.Time {
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

// endBackoff ends the backoff from a target. It returns false if there is none.
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

// minBackoffLeft returns the time until the first of the targets accepts requests again; 0 if one
// does now, or if there are no targets.
func (k *Knowledge) minBackoffLeft(now time.Time, ts []*registry.Target) time.Duration {
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

// PrefersTarget reports whether an instance of the zone, given by its address, mostly uses one of a
// service's targets and so needs reports on it.
func (k *Knowledge) PrefersTarget(addr string, t *registry.Target, ts []*registry.Target) bool {
	return k.chooser.Considers(fleet.InstanceID(addr), t.ID, countInZone(ts, t.Zone))
}
