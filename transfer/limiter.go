package transfer

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body is sent whatever else is being sent: 13 ms of a
	// link of 10 Mbit/s.
	SmallBytes = 16 << 10
	// bytesPerSlot is the part of the link, in bytes per second, for which one body is sent at a
	// time. Few at once finish sooner, and each receiver can pass the body on.
	bytesPerSlot = 625_000
	// minSlots keeps the sender useful if one receiver stops reading, and maxSlots bounds the work
	// of a sender whose link is not the limit.
	minSlots = 2
	maxSlots = 16
	// minRetryAfter is the shortest time after which a declined receiver is told to ask again.
	minRetryAfter = 20 * time.Millisecond
)

// Limiter limits the number of bodies that are sent at the same time. It is safe for concurrent use.
type Limiter struct {
	bytesPerSecond float64
	slots          int

	mu                sync.Mutex
	active            int
	started, declined int64
}

// NewLimiter returns a limiter for a link of the given capacity in bytes per second.
func NewLimiter(bytesPerSecond int64) *Limiter {
	return &Limiter{
		bytesPerSecond: float64(bytesPerSecond),
		slots:          int(min(max(bytesPerSecond/bytesPerSlot, minSlots), maxSlots)),
	}
}

// Start reports whether a body of the given size may be sent now. If so, done must be called once
// it has been written; otherwise retryAfter is the time in which the bodies that are being sent are
// likely to have left the link.
func (l *Limiter) Start(size int) (done func(), retryAfter time.Duration, ok bool) {
	if size <= SmallBytes {
		return func() {}, 0, true
	}
	// The time that a body takes while all slots are in use.
	onLink := time.Duration(float64(size*l.slots) / l.bytesPerSecond * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active >= l.slots {
		l.declined++
		return nil, max(onLink, minRetryAfter), false
	}
	l.active++
	l.started++
	start := time.Now()
	// A socket may take a whole body at once, which then still occupies the link.
	return func() { time.AfterFunc(time.Until(start.Add(onLink)), l.release) }, 0, true
}

func (l *Limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
}

// Stats counts bodies above SmallBytes.
type Stats struct {
	// Active is the number being sent.
	Active            int
	Started, Declined int64
}

// Stats returns the counts so far.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Active: l.active, Started: l.started, Declined: l.declined}
}
