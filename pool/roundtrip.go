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

// RoundTrip sends the request once. The caller's request is not modified.
func (rt roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return rt.transport.RoundTrip(withoutRetry(req, rt.addr))
}

// withoutRetry returns a copy of the request that http.Transport never retries
// itself: without GetBody, with a body not known to be empty if the method is
// one that it retries, and without the headers that mark a request as
// retryable. These headers are still sent, in lower case.
func withoutRetry(req *http.Request, addr string) *http.Request {
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

// retryHeaders maps the headers that mark a request as retryable to
// http.Transport, which checks canonical case only, to their lower case.
var retryHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

func lowerKeys(h http.Header) http.Header {
	cloned := false
	for canonical, lower := range retryHeaders {
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

// setEmptyBody sets a body that http.Transport does not recognize as empty, for
// the methods that it retries; others keep their Content-Length: 0. The identity
// encoding keeps http.Transport from probing the body, which costs a goroutine
// and a timer; no header is written for it.
func setEmptyBody(r *http.Request) {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = opaqueBody{}
		r.TransferEncoding = identity
	default:
		r.Body = nil
	}
}

var identity = []string{"identity"}

type opaqueBody struct{}

func (opaqueBody) Read([]byte) (int, error) { return 0, io.EOF }
func (opaqueBody) Close() error             { return nil }

// WriteTo saves http.Transport the allocation of a copy buffer.
func (opaqueBody) WriteTo(io.Writer) (int64, error) { return 0, nil }
