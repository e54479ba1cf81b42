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
}

// NewDoor returns a door with at most max connections.
func (a *Account) NewDoor(max int) *Door {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &Door{account: a, max: max, conns: make(map[*Conn]struct{})}
	a.doors = append(a.doors, d)
	return d
}

// Len returns the number of connections.
func (d *Door) Len() int {
	d.account.mu.Lock()
	defer d.account.mu.Unlock()
	return len(d.conns)
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

// SetPhase records what the connection is doing from now on.
func (c *Conn) SetPhase(p Phase) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.served = c.served || p != Waiting
	if c.phase != p {
		c.phase, c.progressAt, c.received = p, a.now(), 0
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
	c.account.add(&c.Holder, -ConnBytes)
	c.account.close(&c.Holder)
}
