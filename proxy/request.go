package proxy

import (
	"bytes"

	"github.com/clementinereel/clementinereel/upstream"
)

// bufferedRequest is the request to targets with a body that was read whole.
// Each call makes one that can be tried once.
func (x *exchange) bufferedRequest(body []byte) *upstream.Request {
	req := x.request()
	req.Length = int64(len(body))
	if len(body) > 0 {
		req.Body = bytes.NewReader(body)
	}
	return req
}

// streamedRequest is the request to one target with the caller's body.
func (x *exchange) streamedRequest() *upstream.Request {
	req := x.request()
	req.Body = x.r.Body
	req.OneBody = true
	req.Length = x.r.ContentLength
	return req
}

func (x *exchange) request() *upstream.Request {
	return &upstream.Request{
		Method:           x.r.Method,
		URL:              x.r.URL,
		Header:           x.r.Header,
		ID:               x.id,
		MaxResponseBytes: x.route.MaxAnswer,
	}
}
