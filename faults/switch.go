package faults

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

// Switch is an address that leads to another one by way of a Link of its own
// for each instance that connects. The instance is known by the process that
// owns the connection.
type Switch struct {
	t      testing.TB
	name   string
	to     string
	owners *owners
	ln     net.Listener

	mu    sync.Mutex
	links map[fleet.InstanceID]*Link
}

func (f *Fleet) newSwitch(name, to string) *Switch {
	f.t.Helper()
	ln, err := net.Listen("tcp", loopback)
	assert.NilError(f.t, err)
	s := &Switch{t: f.t, name: name, to: to, owners: &f.owners, ln: ln, links: map[fleet.InstanceID]*Link{}}
	f.t.Cleanup(s.close)
	go s.serve()
	return s
}

// Addr is the address at which the switch listens.
func (s *Switch) Addr() string { return s.ln.Addr().String() }

// From is the link of the connections that an instance opens.
func (s *Switch) From(i *Instance) *Link {
	s.t.Helper()
	l, err := s.link(i.ID())
	assert.NilError(s.t, err)
	return l
}

func (s *Switch) link(from fleet.InstanceID) (*Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[from]; l != nil {
		return l, nil
	}
	l, err := startLink(s.t, string(from)+">"+s.name, s.to)
	if err == nil {
		s.links[from] = l
	}
	return l, err
}

func (s *Switch) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.proxy.Stop()
	}
}

func (s *Switch) serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.forward(conn)
	}
}

// forward joins a connection to the link of the instance that opened it.
func (s *Switch) forward(conn net.Conn) {
	defer conn.Close()
	from := s.owners.owner(conn)
	if from == "" {
		return // it is gone already, or no instance's
	}
	l, err := s.link(from)
	if err != nil {
		return
	}
	onward, err := net.Dial("tcp", l.Addr())
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		join(onward, conn)
	}()
	join(conn, onward)
	<-done
}

// join copies one direction. A clean end is passed on as one; after an error
// both connections are closed.
func join(dst, src net.Conn) {
	if _, err := io.Copy(dst, src); err != nil {
		_ = dst.Close()
		_ = src.Close()
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
