package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forgetIdle is the idle time after which forgetful connections are reset by whatever
// is sent next.
const forgetIdle = 150 * time.Millisecond

type forgetfulListener struct{ net.Listener }

// Accept implements net.Listener.
func (l forgetfulListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &forgetfulConn{TCPConn: c.(*net.TCPConn)}, nil
}

// forgetfulConn belongs to one goroutine of a server at a time.
type forgetfulConn struct {
	*net.TCPConn
	wrote time.Time
}

// Write implements net.Conn.
func (c *forgetfulConn) Write(b []byte) (int, error) {
	c.wrote = time.Now()
	return c.TCPConn.Write(b)
}

// Read implements net.Conn.
func (c *forgetfulConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.wrote.IsZero() && time.Since(c.wrote) > forgetIdle {
		_ = c.SetLinger(0)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// TestConnectionsThatAreForgottenAreNotTrustedAgain lets targets drop idle connections
// without a word: one request is lost to learn it, not every one.
func TestConnectionsThatAreForgottenAreNotTrustedAgain(t *testing.T) {
	b := new(backend)
	b.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		answer(http.StatusOK)(w, r)
	}))
	b.Listener = forgetfulListener{b.Listener}
	b.Start()
	t.Cleanup(b.Close)
	url := startGateway(t, b)
	lost := 0
	for range 8 {
		status, _, _ := ask(t.Context(), t, "POST", url+"/buy/1")
		if status != http.StatusOK {
			lost++
		}
		time.Sleep(2 * forgetIdle)
	}
	assert.Equal(t, lost, 1)
}

func TestTheBoundOfReuseIsForgotten(t *testing.T) {
	var r reuse
	assert.Equal(t, r.most(start, false), reuseIdle)
	r.broke(start, time.Second)
	assert.Equal(t, r.most(start, false), 600*time.Millisecond)
	assert.Equal(t, r.most(start, true), 600*time.Millisecond)
	r.broke(start, 3*time.Second)
	assert.Equal(t, r.most(start, true), 600*time.Millisecond, "the shortest counts")
	assert.Equal(t, r.most(start.Add(reuseMemory), true), reuseRepeatable)
}
