package callers

import (
	"math"
	"net/netip"
	"sync"
	"time"
)

const (
	// ConnBytes is the memory of an open connection: its goroutine, buffers and entries.
	ConnBytes = 16 << 10
	// A connection leaves as much room as it holds itself, but no more than 1/reservedShare of all and no more than others
	// hold, so that small ones find room beside large ones.
	reservedShare = 8
	// A caller leaves 1/callerShare of what it holds, but no more than others hold (a dynamic threshold).
	callerShare = 8
	// crowdedShare is the share of the memory above which stalled connections are closed before somebody needs the room.
	crowdedShare = 0.75
)

// Limits bound what a process holds for its callers.
type Limits struct {
	// Bytes is the memory for connections, headers and bodies of requests, and for what is sent ahead.
	Bytes int64
	// TotalBytes is the memory for all this and for what is held beside the account; if 0, it is not bounded.
	TotalBytes int64
	// Ahead is the number of requests that run, or wait with their response, before their turn on their connection.
	Ahead int
}

// Account is what a process holds for its callers. It is safe for concurrent use.
type Account struct {
	// Beside, if set, returns the bytes that are held for callers beside the account. It may be set before the account is
	// in use, and must not block.
	Beside func() int64
	limits Limits
	now    Clock

	mu      sync.Mutex
	held    int64
	ahead   int
	callers map[netip.Addr]*caller
	doors   []*Door
	evicted map[Reason]int64
}

// caller is what is held for one IP address.
type caller struct {
	held int64
	// ahead counts its requests that run ahead of their turn.
	ahead int
	// users counts the connections and holders, open or not released.
	users int
}

// Clock returns the time.
type Clock func() time.Time

// New returns an empty account.
func New(l Limits, clock Clock) *Account {
	return &Account{limits: l, now: clock, callers: make(map[netip.Addr]*caller), evicted: make(map[Reason]int64)}
}

// Held returns the bytes that are held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Evicted returns the number of connections that were closed to make room, by reason.
func (a *Account) Evicted() map[Reason]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[Reason]int64, len(a.evicted))
	for r, n := range a.evicted {
		out[r] = n
	}
	return out
}

// Hold returns a holder of memory for a caller without a connection at a door, such as another instance.
func (a *Account) Hold(addr netip.Addr) *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newHolder(addr)
}

// newHolder adds a holder. The caller of this function holds the lock.
func (a *Account) newHolder(addr netip.Addr) *Holder {
	c := a.callers[addr]
	if c == nil {
		c = new(caller)
		a.callers[addr] = c
	}
	c.users++
	return &Holder{account: a, addr: addr, caller: c}
}

// bytes returns the memory of the account beside what others hold now.
func (a *Account) bytes() int64 {
	if a.Beside == nil || a.limits.TotalBytes == 0 {
		return a.limits.Bytes
	}
	return min(a.limits.Bytes, a.limits.TotalBytes-a.Beside())
}

// RoomBeside returns the bytes that the account leaves for what is held beside it.
func (a *Account) RoomBeside() int64 {
	if a.limits.TotalBytes == 0 {
		return math.MaxInt64
	}
	return a.limits.TotalBytes - a.Held()
}

// fits reports whether there is room for n more bytes of a holder. The caller of this function holds the lock.
func (a *Account) fits(h *Holder, n int64) bool {
	bytes := a.bytes()
	left := bytes - a.held - n
	forSmaller := min(h.held+n, bytes/reservedShare, a.held-h.held)
	forOthers := min((h.caller.held+n)/callerShare, a.held-h.caller.held)
	return left >= max(forSmaller, forOthers)
}

// add changes what a holder holds. The caller of this function holds the lock.
func (a *Account) add(h *Holder, n int64) {
	a.held += n
	h.held += n
	h.caller.held += n
}

// Holder holds memory for one caller. Its methods are safe for concurrent use.
type Holder struct {
	account *Account
	addr    netip.Addr
	caller  *caller
	// held is in bytes, released is set once Close was called.
	held     int64
	released bool
}

// Reserve reserves n bytes and reports whether there is room for them. Connections that have stalled are closed to make
// some; Reserve waits for a moment until they have given back what they hold.
func (h *Holder) Reserve(n int64) bool {
	if n <= 0 {
		return true
	}
	if h.tryReserve(n) {
		return true
	}
	if !h.evictFor(n) {
		return false
	}
	for range releaseTries {
		time.Sleep(releasePause)
		if h.tryReserve(n) {
			return true
		}
	}
	return false
}

const (
	// releasePause and releaseTries bound the wait for what closed connections hold.
	releasePause = 2 * time.Millisecond
	releaseTries = 25
)

// tryReserve reserves n bytes if there is room for them.
func (h *Holder) tryReserve(n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(h, n) {
		return false
	}
	a.add(h, n)
	return true
}

// Release releases n reserved bytes.
func (h *Holder) Release(n int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, -n)
	a.forget(h)
}

// Close ends the holder. What it still holds must be released all the same.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.close(h)
}

// close ends a holder. The caller of this function holds the lock.
func (a *Account) close(h *Holder) {
	if h.released {
		return
	}
	h.released = true
	h.caller.users--
	a.forget(h)
}

// forget drops a caller for whom nothing is held. The caller of this function holds the lock.
func (a *Account) forget(h *Holder) {
	if h.caller.users == 0 && h.caller.held == 0 && a.callers[h.addr] == h.caller {
		delete(a.callers, h.addr)
	}
}

// StartAhead reports whether one more request may run ahead of its turn. If so, EndAhead must be called.
func (h *Holder) StartAhead() bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.limits.Ahead - a.ahead - 1
	forOthers := min((h.caller.ahead+1)/callerShare, a.ahead-h.caller.ahead)
	if left < forOthers {
		return false
	}
	a.ahead++
	h.caller.ahead++
	return true
}

// EndAhead is called when a request that ran ahead has handed over its response.
func (h *Holder) EndAhead() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ahead--
	h.caller.ahead--
}
