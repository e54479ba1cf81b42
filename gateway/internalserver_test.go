package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInternalServerEndsBlockedResponse checks that a response to a connection that takes no more
// bytes ends, and with it the memory that the response holds: the connection may have gone silent.
func TestInternalServerEndsBlockedResponse(t *testing.T) {
	t.Parallel()
	const chunk, chunks = 1 << 20, 64 // more than the buffers of a connection take
	ended := make(chan error, 1)
	s := newInternalServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range chunks {
			if _, err := w.Write(make([]byte, chunk)); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}))
	server := httptest.NewUnstartedServer(nil)
	server.Config = s
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	c, err := net.Dial("tcp4", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	select {
	case err := <-ended:
		assert.Assert(t, err != nil, "the response was taken")
	case <-time.After(internalWriteTimeout + 5*time.Second):
		t.Fatal("the response is still pending")
	}
}
