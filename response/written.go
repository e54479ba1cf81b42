package response

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// ErrCut is the error of a response whose body ended with a connection on which the request could not be written: the
// connection was reset, and the body may lack its end.
var ErrCut = errors.New("the connection ended while the request was being written")

// Written tells whether a request of an http.Transport was written whole.
type Written struct {
	once sync.Once
	done chan struct{}
	err  error
}

// TrackWrite returns a context for one request, and what tells whether the request was written.
func TrackWrite(ctx context.Context) (context.Context, *Written) {
	w := &Written{done: make(chan struct{})}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		w.once.Do(func() {
			w.err = info.Err
			close(w.done)
		})
	}}), w
}

// CheckEnd is called when the body of r has ended. It returns an error that wraps ErrCut if the body may lack its end. A
// reset is reported once, to whoever reads or writes first: if that was the writer, the reader sees a clean end.
func (w *Written) CheckEnd(ctx context.Context, r *http.Response) error {
	if !EndsWithConnection(r) {
		return nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if w.err == nil || closedHere(w.err) {
		return nil
	}
	return errors.Wrap(ErrCut, w.err.Error())
}

// closedHere reports whether a write failed since the transport itself closed the connection, which it does after a clean
// end. net/http wraps the error in a type that hides it, but for its text.
func closedHere(err error) bool { return strings.HasSuffix(err.Error(), net.ErrClosed.Error()) }

// Transport checks the responses of another RoundTripper, which must send each request once.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, written := TrackWrite(r.Context())
	resp, err := t.Next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close() // it is not read
		return nil, err
	}
	if EndsWithConnection(resp) {
		resp.Body = &checkedBody{ReadCloser: resp.Body, ctx: ctx, response: resp, written: written}
	}
	return resp, nil
}

// CloseIdleConnections closes those of the other RoundTripper, for http.Client.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkedBody is a body that ends with its connection.
type checkedBody struct {
	io.ReadCloser
	ctx      context.Context
	response *http.Response
	written  *Written
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := b.written.CheckEnd(b.ctx, b.response); cut != nil {
			err = cut
		}
	}
	return n, err
}
