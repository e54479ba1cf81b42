package callers

import (
	"net/netip"
	"time"
)

// Phase is what a connection is doing.
type Phase uint8

const (
	// Waiting means that the caller has sent no request, or a part of one.
	Waiting Phase = iota
	// Serving means that a complete request is being served.
	Serving
	// Responding means that a response is being written.
	Responding
)

// String returns the name used in logs.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Responding:
		return "responding"
	}
	return "waiting"
}

// progressBytes is how much a caller sends at least to make progress.
const progressBytes = 1 << 10

// Conn is an open connection of a caller.
type Conn struct {
	Holder
	door *Door
	// closeSocket ends the connection at once.
	closeSocket func()
	// onEvict is told why the connection is closed to make room.
	onEvict func(Eviction)
	phase   Phase
	// served is set once a request of the connection has been served.
	served bool
	// progressAt is when the connection last made progress: it was opened, its phase changed, or progressBytes were
	// received since. received counts the bytes since then.
	progressAt time.Time
	received   int
	// gone is set once the connection does not count any more.
	gone bool
}

// Door counts the connections at one listening address.
type Door struct {
	account *Account
	// max is the number of connections.
	max   int
	conns map[*Conn]struct{}
	// wanted is set while a newcomer waits for a place, room receives once there is one.
	wanted bool
	room   chan struct{}
}

// NewDoor returns a door with at most max connections.
func (a *Account) NewDoor(max int) *Door {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &Door{account: a, max: max, conns: make(map[*Conn]struct{}), room: make(chan struct{}, 1)}
	a.doors = append(a.doors, d)
	return d
}

// Len returns the number of connections.
func (d *Door) Len() int {
	d.account.mu.Lock()
	defer d.account.mu.Unlock()
	return len(d.conns)
}

// roomTimeout bounds the wait for a place at a door.
const roomTimeout = 20 * time.Millisecond

// AwaitRoom waits while requests of all connections are being served, for roomTimeout at most. The next connection whose
// request is done then makes room. Only one newcomer waits at a time.
func (d *Door) AwaitRoom() {
	if !d.wants() {
		return
	}
	t := time.NewTimer(roomTimeout)
	defer t.Stop()
	select {
	case <-d.room:
	case <-t.C:
		d.stopWanting()
	}
}

// wants reports whether a newcomer has to wait, and records it.
func (d *Door) wants() bool {
	d.account.mu.Lock()
	defer d.account.mu.Unlock()
	d.wanted = len(d.conns) >= d.max && d.firstToClose() == nil
	return d.wanted
}

// stopWanting ends a wait without a place.
func (d *Door) stopWanting() {
	d.account.mu.Lock()
	defer d.account.mu.Unlock()
	d.wanted = false
	select {
	case <-d.room: // it came with the end of the wait
	default:
	}
}

// Open adds a connection. If there is no room it closes another one; it returns nil if none may be closed. onEvict
// is told if the connection is closed to make room; it must not block.
func (d *Door) Open(addr netip.Addr, closeSocket func(), onEvict func(Eviction)) *Conn {
	a := d.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &Conn{Holder: *a.newHolder(addr), door: d, closeSocket: closeSocket, onEvict: onEvict, progressAt: a.now()}
	if len(d.conns) >= d.max && !d.evictOne() {
		a.close(&c.Holder)
		return nil
	}
	if !a.fits(&c.Holder, ConnBytes) && !(d.evictOne() && a.fits(&c.Holder, ConnBytes)) {
		a.close(&c.Holder)
		return nil
	}
	a.add(&c.Holder, ConnBytes)
	d.conns[c] = struct{}{}
	return c
}

// Received records that bytes were received.
func (c *Conn) Received(n int) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.received += n
	if c.received >= progressBytes {
		c.progressAt, c.received = a.now(), 0
	}
}

// SetPhase records what the connection is doing from now on. One that waits from now on makes room if a newcomer waits for
// a place.
func (c *Conn) SetPhase(p Phase) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.served = c.served || p != Waiting
	if c.phase != p {
		c.phase, c.progressAt, c.received = p, a.now(), 0
	}
	if p == Waiting && c.door.wanted && !c.gone {
		c.evict(DoorFull)
	}
}

// Close removes the connection. What its requests hold must be released all the same.
func (c *Conn) Close() {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.remove()
}

// remove removes the connection. The caller of this function holds the lock.
func (c *Conn) remove() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.door.conns, c)
	if c.door.wanted {
		c.door.wanted = false
		select {
		case c.door.room <- struct{}{}:
		default: // a newcomer knows already
		}
	}
	c.account.add(&c.Holder, -ConnBytes)
	c.account.close(&c.Holder)
}
