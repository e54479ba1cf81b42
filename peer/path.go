package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/response"
)

// dialFunc opens a connection, as net.Dialer's DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// path is the direct way to one peer at one address: its connection and
// whether it is cut.
type path struct {
	self     fleet.Holder
	id       fleet.InstanceID
	addr     string
	settings Settings
	counters *counters
	dial     dialFunc

	mu      sync.Mutex
	rt      *http.Transport
	cut     bool
	retryAt time.Time     // when a cut path is tried again
	backoff time.Duration // from one try to the next
	heard   time.Time     // when the peer last answered
	relay   fleet.InstanceID
	pinging bool // a ping in the background is under way
}

func newPath(id fleet.InstanceID, addr string, t *Transport) *path {
	p := &path{
		self: t.self, id: id, addr: addr,
		settings: t.settings,
		counters: t.counters,
		dial:     t.dial,
		backoff:  t.settings.RetryMin,
	}
	p.rt = p.newRoundTripper()
	return p
}

// newRoundTripper returns a client of its own for the peer, so that a
// connection on which nothing comes through can be given up with it.
func (p *path) newRoundTripper() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:              protocols,
		IdleConnTimeout:        p.settings.IdleTimeout,
		MaxResponseHeaderBytes: int64(p.settings.MaxHeader),
		DisableCompression:     true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, p.settings.ConnectTimeout)
			defer cancel()
			c, err := p.dial(ctx, network, p.addr)
			if err != nil {
				return nil, err
			}
			return newCountedConn(c, p.counters, p.counters.connsOut), nil
		},
	}
}

// close gives up the path's connection once its calls have ended.
func (p *path) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rt.CloseIdleConnections()
}

// usable tells whether calls should try the path. It starts a try in the
// background if the path is cut and its time has come.
func (p *path) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		return true
	}
	if time.Now().After(p.retryAt) {
		p.pingInBackground()
	}
	return false
}

// verify starts a ping if a call ended by its deadline without a sign of the
// peer.
func (p *path) verify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut && time.Since(p.heard) > p.settings.PingAfter {
		p.pingInBackground()
	}
}

// pingInBackground starts a ping unless one is under way. The lock is held.
func (p *path) pingInBackground() {
	if p.pinging {
		return
	}
	p.pinging = true
	go func() {
		_ = p.ping(context.Background())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pinging = false
	}()
}

// isCut tells the path's state without a try.
func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// markCut notes that the path did not carry a call.
func (p *path) markCut(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		p.backoff = min(2*p.backoff, p.settings.RetryMax)
	} else {
		p.cut = true
		p.backoff = p.settings.RetryMin
		p.counters.pathsCut.Inc(1)
		klog.InfoS("peer path cut", "peer", p.id, "addr", p.addr, "cause", cause)
	}
	p.retryAt = time.Now().Add(p.backoff)
	p.rt.CloseIdleConnections()
	p.rt = p.newRoundTripper()
}

// markOpen notes that the peer answered.
func (p *path) markOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
	if p.cut {
		p.cut = false
		p.relay = ""
		klog.InfoS("peer path open", "peer", p.id, "addr", p.addr)
	}
}

func (p *path) heardWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.heard) < d
}

func (p *path) roundTripper() *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rt
}

// lastRelay returns the relay that last carried a call to the peer.
func (p *path) lastRelay() fleet.InstanceID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay
}

func (p *path) setRelay(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relay = id
}

// ping asks the peer for a sign of life and notes the path's state, unless
// the context ends first.
func (p *path) ping(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, p.settings.PingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, URL(p.id)+pathPing, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	p.setHeaders(req)
	resp, err := p.roundTripper().RoundTrip(req)
	if err == nil && resp.StatusCode == http.StatusMisdirectedRequest {
		err = errMisdirected
	}
	if err != nil && parent.Err() == nil {
		p.markCut(err)
	}
	if err != nil {
		return errors.WithStack(err)
	}
	p.markOpen()
	return resp.Body.Close()
}

// call sends a request directly. While no answer begins it pings the peer, and
// gives up with errPathCut when a ping fails.
func (p *path) call(req *http.Request) (*http.Response, error) {
	caller := req.Context()
	ctx, cancel := context.WithCancelCause(caller)
	watch := time.AfterFunc(p.settings.PingAfter, func() { p.watch(ctx, cancel) })
	req = req.Clone(ctx)
	p.setHeaders(req)
	resp, err := p.roundTripper().RoundTrip(req)
	watch.Stop()
	if err == nil {
		err = checkResponse(resp)
	}
	if err != nil {
		cancel(nil)
		return nil, p.failed(ctx, caller, err)
	}
	p.markOpen()
	body := http.MaxBytesReader(nil, resp.Body, p.settings.MaxBody)
	resp.Body = &callBody{ReadCloser: body, done: cancel}
	return resp, nil
}

// checkResponse closes a response that is not one of the peer, and returns why.
func checkResponse(resp *http.Response) error {
	err := response.Check(resp.StatusCode, resp.Header)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		err = errMisdirected
	}
	if err != nil {
		_ = resp.Body.Close() // it is not read
	}
	return err
}

// failed notes what a call without an answer tells of the path.
func (p *path) failed(ctx, caller context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errPathCut):
		return errPathCut
	case caller.Err() != nil:
		p.verify()
	default:
		p.markCut(err)
	}
	return err
}

// setHeaders names both ends. A forwarded call keeps its first sender's name.
func (p *path) setHeaders(req *http.Request) {
	if req.Header.Get(HeaderFrom) == "" {
		req.Header.Set(HeaderFrom, p.self.String())
	}
	req.Header.Set(HeaderTo, string(p.id))
	if p.settings.Secret != "" {
		req.Header.Set("Authorization", bearer(p.settings.Secret))
	}
}

// watch pings the peer until the call ends or a ping fails.
func (p *path) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		if !p.heardWithin(p.settings.PingAfter) && p.ping(ctx) != nil && ctx.Err() == nil {
			cancel(errPathCut)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.PingAfter):
		}
	}
}
