package rig

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to the store for one gateway. While it is silent, nothing is forwarded in either
// direction, on open connections and on new ones, and no connection is reset.
type Proxy struct {
	target string
	ln     net.Listener
	silent atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// pollInterval is the interval at which a silent proxy checks whether it forwards again.
const pollInterval = 10 * time.Millisecond

func newProxy(addr, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, ln: ln}
	go p.accept()
	return p, nil
}

// SetSilent makes the proxy silent or forward again.
func (p *Proxy) SetSilent(silent bool) { p.silent.Store(silent) }

func (p *Proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, up)
	p.mu.Unlock()
	go p.forward(up, c)
	p.forward(c, up)
}

// forward copies bytes while the proxy is not silent, and closes both connections at the end.
func (p *Proxy) forward(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for p.silent.Load() {
			time.Sleep(pollInterval)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
