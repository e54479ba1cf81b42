package gateway

import (
	"math"
	"time"
)

const (
	// defaultMaxIdle is the longest idle time of a reusable connection if no break was seen: as
	// long as targets keep connections open.
	defaultMaxIdle = time.Minute
	// idleBoundFactor is the fraction of the idle time at which a connection broke that is still
	// allowed.
	idleBoundFactor = 0.6
	// idleBoundDuration is how long a bound applies after a break. Opening connections costs less
	// than a lost request, but the cost must not last for ever.
	idleBoundDuration = 8 * time.Second
	// minRestedIdle is the shortest idle time that counts as rested. A target that has just
	// answered still has the connection.
	minRestedIdle = 100 * time.Millisecond
	// restedDecayTime is the time constant with which counts of rested connections decay. Targets
	// may begin to drop connections at any time.
	restedDecayTime = 15 * time.Second
	// idleClasses is the number of idle-time classes. Each spans a factor of two, starting at
	// minRestedIdle.
	idleClasses = 8
	// priorStaleShare is the assumed share of rested connections that break, and priorRestedCount
	// the number of exchanges it weighs as. The share is about the rate at which a target that
	// has just answered fails at once. So a first break is attributed to the connection, and a
	// break where targets are often unhealthy to the target.
	priorStaleShare  = 0.02
	priorRestedCount = 10
	// maxStaleShare is the share of rested connections that may break before the service stops
	// using them. A new connection costs about a twentieth of a request. Twice that requires more
	// than one break, since one unhealthy period of a target causes one.
	maxStaleShare = 0.1
)

// reuseStats limits the idle time of reused connections to a service's targets. Targets may drop
// idle connections without notice, and a request sent on such a connection is lost.
//
// After one break the target's rested connections are not used for some time; after several
// breaks, those of the whole service.
//
// Unhealthy targets also reset requests, on rested and on new connections. A break is attributed
// to the target if other connections with as long an idle time succeed.
type reuseStats struct {
	idleBound
	// succeeded counts successful exchanges by idle-time class. broken counts breaks, each
	// weighted by the probability that the connection was stale.
	succeeded [idleClasses]float64
	broken    float64
	updatedAt time.Time
}

// idleClass returns the class of an idle time.
func idleClass(idle time.Duration) int {
	x := math.Log2(float64(idle) / float64(minRestedIdle))
	return min(max(int(x), 0), idleClasses-1)
}

// decay reduces the counts by the time since the last call.
func (r *reuseStats) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds() / restedDecayTime.Seconds())
	r.updatedAt = now
	r.broken *= factor
	for i := range r.succeeded {
		r.succeeded[i] *= factor
	}
}

// recordSuccess records a successful exchange on a connection that had been idle.
func (r *reuseStats) recordSuccess(now time.Time, idle time.Duration) {
	if idle < minRestedIdle {
		return
	}
	r.decay(now)
	r.succeeded[idleClass(idle)]++
}

// staleProbability estimates the share of connections with about this idle time that break.
func (r *reuseStats) staleProbability(idle time.Duration) float64 {
	n := 0.0
	for i := idleClass(time.Duration(idleBoundFactor * float64(idle))); i < idleClasses; i++ {
		n += r.succeeded[i]
	}
	return (priorStaleShare*priorRestedCount + r.broken) / (priorRestedCount + r.broken + n)
}

// recordBreak records an immediate break on an idle connection. targetFails is the probability
// that the target itself fails such a request at once. weight is 1 for an observation of this
// instance and 1/n for a report of one of n other instances: they use as many rested connections
// each, and report only the breaks.
func (r *reuseStats) recordBreak(now time.Time, idle time.Duration, targetFails, weight float64) {
	r.decay(now)
	s := r.staleProbability(idle)
	r.broken += weight * s / (s + (1-s)*targetFails)
	if r.staleProbability(idle) < maxStaleShare {
		return
	}
	r.tighten(now, idle)
}

// idleBound temporarily limits the idle time of reused connections.
type idleBound struct {
	bound time.Duration
	until time.Time
}

// tighten lowers the bound after a break of a connection with the given idle time.
func (b *idleBound) tighten(now time.Time, idle time.Duration) {
	bound := time.Duration(idleBoundFactor * float64(idle))
	if now.Before(b.until) {
		bound = min(bound, b.bound)
	}
	b.bound, b.until = bound, now.Add(idleBoundDuration)
}

// maxIdle returns the longest idle time of a reusable connection.
func (b *idleBound) maxIdle(now time.Time) time.Duration {
	if now.Before(b.until) {
		return min(b.bound, defaultMaxIdle)
	}
	return defaultMaxIdle
}
