package callers

import "time"

// Reason is why a connection was closed.
type Reason string

// Reasons for closing connections.
const (
	// DoorFull means that another caller needed the connection.
	DoorFull Reason = "connections"
	// MemoryFull means that another caller needed the memory.
	MemoryFull Reason = "memory"
)

// Eviction tells why a connection was closed to make room.
type Eviction struct {
	Reason Reason
	Phase  Phase
	// Stalled is how long the connection had made no progress.
	Stalled time.Duration
	// HeldBytes is what was held for the connection.
	HeldBytes int64
}

const (
	// stallTimeout is how long a connection makes no progress until it is closed because much memory is in use.
	stallTimeout = time.Second
	// needTimeout is the same if somebody needs the memory now.
	needTimeout = 250 * time.Millisecond
	// slowReadTimeout is how long a response may be written until its connection is closed because all are in use.
	slowReadTimeout = time.Second
	// firstRequestTime is how long a connection may take to send something before it is closed because all are in use,
	// as long as others can be closed.
	firstRequestTime = 100 * time.Millisecond
)

// Tick closes stalled connections while much memory is in use.
func (a *Account) Tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	crowded := int64(crowdedShare * float64(a.bytes()))
	expected := a.held
	for expected > crowded {
		c := a.mostStalled(stallTimeout)
		if c == nil {
			return
		}
		expected -= c.held
		c.evict(MemoryFull)
	}
}

// evictFor closes stalled connections that hold enough for n more bytes of the holder. It reports whether one was closed;
// what it holds is released a moment later.
func (h *Holder) evictFor(n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes := a.bytes()
	missing := a.held + n + min(h.held+n, bytes/reservedShare) - bytes
	closed := false
	for missing > 0 {
		c := a.mostStalled(needTimeout)
		if c == nil || &c.Holder == h {
			break
		}
		missing -= c.held
		c.evict(MemoryFull)
		closed = true
	}
	return closed
}

// mostStalled returns the waiting connection that has made no progress for longest, at least for the given time, at any
// door; nil if there is none. Only connections that hold more than their own memory count. The caller of this function
// holds the lock.
func (a *Account) mostStalled(atLeast time.Duration) *Conn {
	before := a.now().Add(-atLeast)
	dominant := a.dominant()
	var most *Conn
	for _, d := range a.doors {
		for c := range d.conns {
			if c.phase != Waiting || c.held <= ConnBytes || c.progressAt.After(before) {
				continue
			}
			if most == nil || c.goesBefore(most, dominant) {
				most = c
			}
		}
	}
	return most
}

// dominant returns the caller for whom more than half of everything is held, nil if there is none. The caller of this
// function holds the lock.
func (a *Account) dominant() *caller {
	for _, c := range a.callers {
		if 2*c.held > a.held {
			return c
		}
	}
	return nil
}

// evictOne closes a connection of the door, if one may be closed. The caller of this function holds the lock.
func (d *Door) evictOne() bool {
	c := d.firstToClose()
	if c == nil {
		return false
	}
	c.evict(DoorFull)
	return true
}

// firstToClose returns the connection that makes room at the door: the one that has waited longest without progress or,
// if all are being served, the one to which a response has been written for longest; nil if there is none. The caller of
// this function holds the lock.
func (d *Door) firstToClose() *Conn {
	slow := d.account.now().Add(-slowReadTimeout)
	dominant := d.account.dominant()
	var first *Conn
	for c := range d.conns {
		if c.phase == Serving || (c.phase == Responding && c.progressAt.After(slow)) {
			continue
		}
		if first == nil || c.goesBefore(first, dominant) {
			first = c
		}
	}
	return first
}

// goesBefore reports whether c is closed before other: waiting connections go first, then those of the dominant
// caller, then those whose first request is not on its way, then those that have made no progress for longer.
func (c *Conn) goesBefore(other *Conn, dominant *caller) bool {
	if c.phase != other.phase {
		return c.phase == Waiting
	}
	if c.caller != other.caller && dominant != nil {
		if c.caller == dominant || other.caller == dominant {
			return c.caller == dominant
		}
	}
	if arriving := c.arriving(); arriving != other.arriving() {
		return !arriving
	}
	return c.progressAt.Before(other.progressAt)
}

// arriving reports whether the first request of the connection may be on its way. Without this, callers that come back
// at once push out everyone who has connected before a request could arrive.
func (c *Conn) arriving() bool {
	return !c.served && c.account.now().Sub(c.progressAt) < firstRequestTime
}

// evict closes the connection. The caller of this function holds the lock.
func (c *Conn) evict(r Reason) {
	a := c.account
	a.evicted[r]++
	c.onEvict(Eviction{Reason: r, Phase: c.phase, Stalled: a.now().Sub(c.progressAt), HeldBytes: c.held})
	c.remove()
	go c.closeSocket() // may wait for a reader of the connection
}
