package tcpproxy

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// copyBufferBytes is the size of the buffer of one direction of a connection.
const copyBufferBytes = 32 << 10

// Proxy forwards the connections to its address to another one.
type Proxy struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	open   map[*conn]bool
	opened int
	closed bool
}

// conn is a forwarded connection.
type conn struct {
	caller, target net.Conn
	silent         atomic.Bool
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen starts a proxy on addr that forwards to the address to. Port 0 picks a free port.
func Listen(addr, to string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Proxy{ln: ln, to: to, open: make(map[*conn]bool)}
	go p.serve()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Silence makes all open connections silent for good and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
	return len(p.open)
}

// Opened returns the number of connections accepted so far.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.open {
		c.close()
	}
}

func (p *Proxy) serve() {
	for {
		caller, err := p.ln.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(caller)
	}
}

// forward connects a caller with the target until either closes its connection or the proxy is
// closed. A silent connection is forgotten by the caller at some time, and then ends here too.
func (p *Proxy) forward(caller net.Conn) {
	target, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = caller.Close()
		return
	}
	c := &conn{caller: caller, target: target, closed: make(chan struct{})}
	defer c.close()
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	done := make(chan struct{}, 2)
	go func() { c.copy(target, caller); done <- struct{}{} }()
	go func() { c.copy(caller, target); done <- struct{}{} }()
	<-done
}

func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[c] = true
	p.opened++
	return true
}

func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (c *conn) close() {
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.caller.Close()
	_ = c.target.Close()
}

// copy forwards one direction until the connection ends. Once the connection is silent, what
// arrives is read and dropped, and the end of the target's side is not passed on.
func (c *conn) copy(to, from net.Conn) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() && from == c.target && err != nil {
			<-c.closed
		}
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
