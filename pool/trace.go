package pool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Trace records the progress of one request through a Set. Use a new one for each try.
type Trace struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore uint64
	dialErr      bool
	dialing      bool
	gotResponse  bool
	sent         bool
}

// With returns a context for the request to trace.
func (t *Trace) With(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart:         func(_, _ string) { t.set(func() { t.dialing = true }) },
		ConnectDone:          func(_, _ string, err error) { t.set(func() { t.dialing, t.dialErr = false, err != nil }) },
		GotConn:              func(i httptrace.GotConnInfo) { t.gotConn(i.Conn) },
		GotFirstResponseByte: func() { t.set(func() { t.gotResponse = true }) },
		// A 100 Continue response is not part of the final response.
		Got100Continue: func() { t.set(func() { t.gotResponse = false }) },
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
		t.sent = true // not opened by a Set: writes are not counted
		return
	}
	t.conn, t.writesBefore = c, c.writeCount()
}

// wrote reports whether a write has started on the current connection. If not,
// it seals the connection, so that none can start later.
func (t *Trace) wrote() bool {
	return t.conn != nil && !t.conn.seal(t.writesBefore)
}

// Sent reports whether the target can have received any byte of the request.
// Call it after the try has ended: if nothing was sent by then, nothing will be.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.wrote()
	return t.sent
}

// Classify returns the result of a try that ended with err, either in the round
// trip or while its response was read. TryDialFailed guarantees that nothing was
// sent; for any other result, see Trace.Sent. A nil err is TryOK.
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
	case t.hasResponse():
		return fleet.TryTruncated
	}
	return fleet.TryReset
}

// neverDialed reports whether the request neither got a connection nor started
// to dial one because all connections of the instance's share were in use.
func (t *Trace) neverDialed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn == nil && !t.dialing && !t.dialErr
}

func (t *Trace) hasResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gotResponse
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
