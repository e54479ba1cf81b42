package pool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Trace follows one request through a Set. Use a new one for each try.
type Trace struct {
	mu       sync.Mutex
	conn     *conn
	since    uint64
	dialErr  bool
	dialing  bool
	answered bool
	sent     bool
}

// With returns a context whose request the trace follows.
func (t *Trace) With(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart:         func(_, _ string) { t.set(func() { t.dialing = true }) },
		ConnectDone:          func(_, _ string, err error) { t.set(func() { t.dialing, t.dialErr = false, err != nil }) },
		GotConn:              func(i httptrace.GotConnInfo) { t.gotConn(i.Conn) },
		GotFirstResponseByte: func() { t.set(func() { t.answered = true }) },
		// The target's word to go on is no part of its answer.
		Got100Continue: func() { t.set(func() { t.answered = false }) },
	})
}

func (t *Trace) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

func (t *Trace) gotConn(nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.wrote()
	c, ok := nc.(*conn)
	if !ok {
		t.sent = true // not one of ours: nothing can be said for sure
		return
	}
	t.conn, t.since = c, c.count()
}

// wrote tells whether a write began on the present connection. If none did,
// none will: the connection is sealed.
func (t *Trace) wrote() bool {
	return t.conn != nil && !t.conn.seal(t.since)
}

// Sent tells whether the target can have seen any byte of the request. Call
// it when the try is over: if nothing was sent by then, nothing will be.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.wrote()
	return t.sent
}

// Classify tells how a try ended that failed with err, either in the round
// trip or while its answer was read. TryDialFailed is certain: nothing was
// sent. For any other result the trace's Sent tells. A nil err is TryOK.
func Classify(err error, t *Trace) fleet.TryResult {
	if err == nil {
		return fleet.TryOK
	}
	sent := t.Sent()
	switch {
	case errors.Is(err, context.Canceled):
		return fleet.TryCanceled
	case !sent && t.neverDialed():
		return fleet.TryCanceled
	case !sent:
		return fleet.TryDialFailed
	case isTimeout(err):
		return fleet.TryTimeout
	case t.gotAnswer():
		return fleet.TryTruncated
	}
	return fleet.TryReset
}

// neverDialed tells whether the request got neither a connection nor an
// attempt at one: the instance's own share was in use.
func (t *Trace) neverDialed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil && !t.dialing && !t.dialErr
}

func (t *Trace) gotAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
