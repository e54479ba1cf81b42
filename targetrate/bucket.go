package targetrate

import "time"

const (
	// A full bucket holds burstBase requests and the requests of burstSeconds. A larger burst could
	// exceed a tenth more than the rate, plus two requests, within four seconds.
	burstBase    = 1.5
	burstSeconds = 0.3
	// urgentReserve is the share of a full bucket that is reserved for urgent requests.
	urgentReserve = 0.25
)

// bucket is a token bucket of requests. It is empty when an instance becomes the holder of a rate.
type bucket struct {
	tokens    float64
	updatedAt time.Time // zero while the rate is not held
}

// refill adds the tokens since the last update.
func (b *bucket) refill(now time.Time, r Rate) {
	if !b.updatedAt.IsZero() {
		b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*float64(r), burst(r))
	}
	b.updatedAt = now
}

// take takes a token, or returns the time after which one may be available.
func (b *bucket) take(now time.Time, r Rate, urgent bool) (wait time.Duration, ok bool) {
	b.refill(now, r)
	need := 1.0
	if !urgent {
		need += urgentReserve * burst(r)
	}
	if b.tokens >= need {
		b.tokens--
		return 0, true
	}
	return time.Duration((need - b.tokens) / float64(r) * float64(time.Second)), false
}

// burst returns the capacity of a bucket, in requests.
func burst(r Rate) float64 { return burstBase + burstSeconds*float64(r) }
