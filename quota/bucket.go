package quota

import "time"

// bucket is the token bucket of a holder or of a reserve.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	demand    demand
	// queuedUntil is, for each rank, when all refused requests that are at least as urgent could have been granted.
	queuedUntil [Ranks]time.Time
}

// refill adds the tokens since the last update at a rate per second.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	b.tokens = min(b.tokens+max(now.Sub(b.updatedAt).Seconds(), 0)*rate, capacity)
	b.updatedAt = now
}

// expire removes the tokens that expired since the last update, at a rate per second.
func (b *bucket) expire(now time.Time, rate float64) {
	b.tokens = max(b.tokens-max(now.Sub(b.updatedAt).Seconds(), 0)*rate, 0)
	b.updatedAt = now
}

// take takes a token, if at least the reserved ones remain after it. A bucket that cannot hold a whole token grants with
// a probability equal to its tokens, and is then empty, so that many small buckets together grant what they are due.
func (b *bucket) take(capacity, reserved float64, random func() float64) bool {
	available := b.tokens - reserved
	switch {
	case available >= 1:
		b.tokens--
		return true
	case capacity >= 1 || available <= 0:
		return false
	}
	granted := random() < available
	b.tokens = reserved
	return granted
}

// takeRanked takes a token for a request of a rank.
func (b *bucket) takeRanked(now time.Time, rank Rank, capacity float64, random func() float64) bool {
	b.demand.add(now, rank)
	return b.take(capacity, b.demand.reserved(rank, capacity), random)
}

// maxWait bounds the time after which a refused request is told to come back.
const maxWait = 3 * time.Second

// queue returns the time after which a refused request may be granted, behind those refused before it that are at least
// as urgent, at the rate that the more urgent demand leaves.
func (b *bucket) queue(now time.Time, rank Rank, rate float64) time.Duration {
	if rate <= b.demand.moreUrgent(rank) {
		return maxWait
	}
	for i := rank; i < Ranks; i++ {
		if left := rate - b.demand.moreUrgent(i); left > 0 {
			b.queuedUntil[i] = queueBehind(now, b.queuedUntil[i], time.Duration(float64(time.Second)/left))
		}
	}
	return b.queuedUntil[rank].Sub(now)
}

// queueBehind returns when a request that is refused now could be granted, an interval after those before it.
func queueBehind(now, before time.Time, interval time.Duration) time.Time {
	if before.Before(now) {
		before = now
	}
	at, latest := before.Add(interval), now.Add(maxWait)
	if at.After(latest) {
		return latest
	}
	return at
}
