package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMemoryOfManyConnections logs the memory of 1,000 connections with rows of two requests,
// with this package and with net/http alone, and bounds the buffers.
func TestMemoryOfManyConnections(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		t.Run(fmt.Sprint("ahead=", ahead), func(t *testing.T) { measureMemory(t, ahead) })
	}
}

func measureMemory(t *testing.T, ahead bool) {
	const connections = 1000
	proceed := make(chan struct{})
	s := newSite(t, nil)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		respond(w, r.URL.Path)
	})
	if !ahead {
		s.addr = serveWithNetHTTP(t, s.Handler)
	}
	before := usedMemory()
	conns := make([]net.Conn, connections)
	for i := range conns {
		conns[i] = s.dialRaw(t)
		send(t, conns[i], get("/1"))
	}
	const settle = 300 * time.Millisecond
	time.Sleep(settle)
	single := usedMemory()
	assert.Equal(t, s.memory.held.Load(), int64(0))
	for _, c := range conns {
		send(t, c, get("/2"))
	}
	time.Sleep(settle)
	row := usedMemory()
	assert.Assert(t, s.memory.held.Load() <= connections*minBufferBytes)
	assert.Assert(t, s.memory.ahead.Load() <= maxStarted)
	t.Logf("%d bytes a connection with one request, %d with two", (single-before)/connections, (row-before)/connections)
	close(proceed)
	for _, c := range conns {
		r := bufio.NewReader(io.LimitReader(c, 1<<10))
		wantBody(t, r, "/1")
		wantBody(t, r, "/2")
	}
}

// serveWithNetHTTP serves without this package and returns the address.
func serveWithNetHTTP(t *testing.T, h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// usedMemory returns the bytes of the heap and of stacks in use.
func usedMemory() int64 {
	runtime.GC()
	runtime.GC() // frees what the first one found to be finalized
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
