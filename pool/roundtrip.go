package pool

import (
	"io"
	"maps"
	"net/http"
)

// roundTripper sends requests to one address, each at most once.
type roundTripper struct {
	transport *http.Transport
	addr      string
}

// RoundTrip sends the request once. The caller's request isn't changed.
func (rt roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return rt.transport.RoundTrip(once(req, rt.addr))
}

// once returns a copy of the request that http.Transport never repeats by
// itself: without GetBody, with a body that isn't known to be empty where the
// method is one that it repeats, and without the header by which it takes a
// request for repeatable. The header is sent all the same, in lower case.
func once(req *http.Request, addr string) *http.Request {
	r := *req
	u := *req.URL
	u.Scheme, u.Host = "http", addr
	r.URL = &u
	if r.Host == "" {
		r.Host = req.URL.Host
	}
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		setEmptyBody(&r)
	}
	r.Header = lowerKeys(r.Header)
	return &r
}

// repeatHeaders mark a request as repeatable to http.Transport, which looks
// for them in canonical case only.
var repeatHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func lowerKeys(h http.Header) http.Header {
	cloned := false
	for canonical, lower := range repeatHeaders {
		v, ok := h[canonical]
		if !ok {
			continue
		}
		if !cloned {
			h, cloned = maps.Clone(h), true
		}
		delete(h, canonical)
		h[lower] = v
	}
	return h
}

// setEmptyBody gives the request a body of which http.Transport doesn't know
// that it is empty, for the methods that it repeats; others keep their
// Content-Length: 0. The encoding keeps http.Transport from finding out, which
// costs a goroutine and a timer; it writes no header for it.
func setEmptyBody(r *http.Request) {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = opaque{}
		r.TransferEncoding = identity
	default:
		r.Body = nil
	}
}

var identity = []string{"identity"}

type opaque struct{}

func (opaque) Read([]byte) (int, error) { return 0, io.EOF }
func (opaque) Close() error             { return nil }

// WriteTo spares http.Transport a buffer to copy nothing.
func (opaque) WriteTo(io.Writer) (int64, error) { return 0, nil }
