package peer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
)

var (
	// ErrUnknownPeer tells that the member view has no such instance.
	ErrUnknownPeer = errors.New("unknown peer")
	// ErrUnreachable tells that neither the direct path nor a relay gave an
	// answer. The call may have taken effect.
	ErrUnreachable = errors.New("peer unreachable")

	errPathCut     = errors.New("path to peer cut")
	errMisdirected = errors.New("another instance has the peer's address")
)

// maxRelays bounds how many relays are tried for one call.
const maxRelays = 3

// Transport is the client's side of calls between instances. Its requests
// carry hosts that URL made. It is safe for concurrent use.
type Transport struct {
	self     fleet.Holder
	settings Settings
	counters *counters
	dial     dialFunc
	view     atomic.Pointer[membership.View]

	mu    sync.Mutex
	paths map[fleet.InstanceID]*path
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns the transport of an instance. Metrics go to the
// registry unless it is nil.
func NewTransport(self fleet.Holder, s Settings, r metrics.Registry) *Transport {
	t := &Transport{
		self:     self,
		settings: s.withDefaults(),
		counters: newCounters(r),
		dial:     new(net.Dialer).DialContext,
		paths:    map[fleet.InstanceID]*path{},
	}
	t.view.Store(&membership.View{Self: self.Instance})
	return t
}

// Client returns an HTTP client on the transport, as connect clients take it.
func (t *Transport) Client() *http.Client { return &http.Client{Transport: t} }

// Stats returns the counts of this instance, those of its Server included.
func (t *Transport) Stats() Stats { return t.counters.stats() }

// View returns the member view by which peers are found.
func (t *Transport) View() *membership.View { return t.view.Load() }

// SetView sets the member view by which peers are found, and gives up the
// paths to instances that are no longer in it.
func (t *Transport) SetView(v *membership.View) {
	t.view.Store(v)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.paths {
		if m, ok := v.Get(id); !ok || m.Addr != p.addr {
			p.close()
			delete(t.paths, id)
		}
	}
}

// Close closes the connections that carry no call.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.paths {
		p.close()
	}
}

// Cut tells whether the direct path to a peer is known to be cut.
func (t *Transport) Cut(id fleet.InstanceID) bool {
	t.mu.Lock()
	p := t.paths[id]
	t.mu.Unlock()
	return p != nil && p.isCut()
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.counters.callsOut.Inc(1)
	id, err := instanceOf(req.URL.Host)
	if err != nil {
		closeBody(req)
		return nil, err
	}
	p, err := t.path(id, addrOf(req.Context()))
	if err != nil {
		closeBody(req)
		return nil, err
	}
	if withoutRelay(req.Context()) {
		return p.call(req)
	}
	body, ok, err := t.buffer(req)
	if err != nil {
		return nil, err
	}
	if !ok {
		return p.call(req)
	}
	return t.directOrRelay(req, body, p)
}

// path returns the path to a peer at the given address or, without one, at
// the address that the view has.
func (t *Transport) path(id fleet.InstanceID, addr string) (*path, error) {
	if addr == "" {
		m, ok := t.view.Load().Get(id)
		if !ok {
			return nil, errors.Wrap(ErrUnknownPeer, string(id))
		}
		addr = m.Addr
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.paths[id]
	if !ok || p.addr != addr {
		if ok {
			p.close()
		}
		p = newPath(id, addr, t)
		t.paths[id] = p
	}
	return p, nil
}

// buffer reads the body of a request, so that each try gets its own reader: a
// try that was given up may read on for a moment. It is not ok, and the body
// untouched, if the body's length is unknown or above the bound.
func (t *Transport) buffer(req *http.Request) (body []byte, ok bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, true, nil
	}
	if req.ContentLength < 0 || req.ContentLength > t.settings.MaxBody {
		return nil, false, nil
	}
	defer req.Body.Close()
	body = make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, body); err != nil {
		return nil, false, errors.Wrap(err, "body of call to peer")
	}
	return body, true, nil
}

// withBody returns a copy of the request for one try.
func withBody(req *http.Request, body []byte) *http.Request {
	req = req.Clone(req.Context())
	if len(body) == 0 {
		req.Body = http.NoBody
		return req
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	return req
}

func (t *Transport) directOrRelay(req *http.Request, body []byte, p *path) (*http.Response, error) {
	cause := errPathCut
	usable := p.usable()
	if usable {
		resp, err := p.call(withBody(req, body))
		if err == nil || req.Context().Err() != nil {
			return resp, err
		}
		cause = err
	}
	relays := t.relays(p)
	if !usable && len(relays) == 0 {
		return p.call(withBody(req, body))
	}
	for _, id := range relays {
		resp, err := t.relayed(withBody(req, body), p, id)
		if err == nil || req.Context().Err() != nil {
			return resp, err
		}
	}
	// The connection may be lost and not the path, or the peer be starved.
	resp, err := p.call(withBody(req, body))
	if err == nil || req.Context().Err() != nil {
		return resp, err
	}
	return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.id, cause)
}

// relayed sends a call through a third instance.
func (t *Transport) relayed(req *http.Request, p *path, relay fleet.InstanceID) (*http.Response, error) {
	via, err := t.path(relay, "")
	if err != nil {
		return nil, err
	}
	t.counters.relayedOut.Inc(1)
	req.URL.Host = string(relay) + hostSuffix
	req.Host = ""
	req.Header.Set(HeaderRelayTo, string(p.id))
	req.Header.Set(HeaderRelayHops, "1")
	resp, err := via.call(req)
	if err != nil {
		return nil, err
	}
	if reason := resp.Header.Get(HeaderRelayFailed); reason != "" {
		_ = resp.Body.Close()
		return nil, errors.Errorf("relay %s: %s", relay, reason)
	}
	p.setRelay(relay)
	return resp, nil
}

// relays returns the instances to try as relays: the one that last worked,
// then others in random order.
func (t *Transport) relays(p *path) []fleet.InstanceID {
	last := p.lastRelay()
	live := t.view.Load().Live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var ids []fleet.InstanceID
	for _, m := range live {
		if m.ID == last {
			ids = append([]fleet.InstanceID{last}, ids...)
			continue
		}
		if m.ID != t.self.Instance && m.ID != p.id && len(ids) < maxRelays && !t.Cut(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids[:min(len(ids), maxRelays)]
}

func bearer(secret string) string { return "Bearer " + secret }

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// callBody releases a call's context when its answer was read.
type callBody struct {
	io.ReadCloser
	done context.CancelCauseFunc
}

func (b *callBody) Close() error {
	err := b.ReadCloser.Close()
	b.done(nil)
	return err
}
