package peer

import (
	"io"
	"maps"
	"net/http"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// relay forwards calls of peers whose direct path is cut.
type relay struct {
	transport *Transport
	slots     chan struct{}
}

func newRelay(t *Transport) *relay {
	return &relay{transport: t, slots: make(chan struct{}, t.settings.MaxRelayed)}
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	HeaderRelayTo, HeaderRelayHops, "Authorization",
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forward sends a call on, directly only, and passes back the answer.
func (rl *relay) forward(w http.ResponseWriter, r *http.Request, to fleet.InstanceID) {
	if r.Header.Get(HeaderRelayHops) != "1" {
		relayFailed(w, http.StatusBadRequest, errors.New("relay hops must be 1"))
		return
	}
	select {
	case rl.slots <- struct{}{}:
		defer func() { <-rl.slots }()
	default:
		relayFailed(w, http.StatusServiceUnavailable, errors.New("too many relayed calls"))
		return
	}
	rl.transport.counters.relayedIn.Inc(1)
	resp, err := rl.send(r, to)
	if err != nil {
		klog.InfoS("relay failed", "from", r.Header.Get(HeaderFrom), "to", to, "err", err)
		relayFailed(w, http.StatusBadGateway, err)
		return
	}
	defer resp.Body.Close()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // resets the stream: half an answer is none
	}
}

// send makes the call, unless the relay's own path is known to be cut.
func (rl *relay) send(r *http.Request, to fleet.InstanceID) (*http.Response, error) {
	p, err := rl.transport.path(to, "")
	if err != nil {
		return nil, err
	}
	if !p.usable() {
		return nil, errPathCut
	}
	return rl.transport.RoundTrip(outgoing(r, to))
}

// outgoing returns the call as the relay sends it.
func outgoing(r *http.Request, to fleet.InstanceID) *http.Request {
	out := r.Clone(WithoutRelay(r.Context()))
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = string(to) + hostSuffix
	out.Host = ""
	for _, h := range hopHeaders {
		out.Header.Del(h)
	}
	return out
}

func relayFailed(w http.ResponseWriter, status int, cause error) {
	w.Header().Set(HeaderRelayFailed, cause.Error())
	w.WriteHeader(status)
}
