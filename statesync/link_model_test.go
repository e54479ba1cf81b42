package statesync

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// This file models the links of the instances: what instances send each other and read from the store
// takes time by its size, and shares the links of both ends.

const (
	// segmentBytes is the unit in which transfers take turns on a link.
	segmentBytes = 8 << 10
	// responseHeaderBytes is the size of a request or of a response's header.
	responseHeaderBytes = 300
	// storedRouteBytes is the size of one route in the store's record of a document.
	storedRouteBytes = 80
)

// linkModel is one direction of an instance's link.
type linkModel struct {
	bytesPerSecond float64 // 0 if the link takes no time
	mu             sync.Mutex
	freeAt         time.Time
	sent           int64
}

// transfer waits until the link has carried the bytes.
func (l *linkModel) transfer(n int) {
	l.mu.Lock()
	l.sent += int64(n)
	if l.bytesPerSecond == 0 {
		l.mu.Unlock()
		return
	}
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// bytesSent returns the bytes that the link has carried.
func (l *linkModel) bytesSent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// setLinks gives all instances links of the given capacity in bytes per second.
func (f *fleetModel) setLinks(bytesPerSecond float64) {
	for _, m := range f.members {
		m.up.bytesPerSecond, m.down.bytesPerSecond = bytesPerSecond, bytesPerSecond
	}
}

// pathModel is the way from one instance's link to another's.
type pathModel struct{ from, to *linkModel }

// carry waits until both links have carried the bytes.
func (p pathModel) carry(n int) {
	p.from.transfer(n)
	p.to.transfer(n)
}

// responseModel is an http.ResponseWriter whose body crosses a path segment by segment.
type responseModel struct {
	path    pathModel
	header  http.Header
	status  int
	started chan struct{}
	once    sync.Once
	body    *io.PipeWriter
}

// serveOver serves the request by the handler and returns the response once its header has crossed
// the path. If the request ends before, serveOver fails; if it ends later, the body breaks off.
func serveOver(path pathModel, h http.Handler, r *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	w := &responseModel{path: path, header: make(http.Header), started: make(chan struct{}), body: writer}
	go func() {
		h.ServeHTTP(w, r)
		w.WriteHeader(http.StatusOK)
		_ = writer.Close() // never fails
	}()
	stop := context.AfterFunc(r.Context(), func() { _ = writer.CloseWithError(r.Context().Err()) })
	select {
	case <-w.started:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: w.status, Header: w.header, Body: &bodyModel{reader, stop}, Request: r}, nil
}

// Header implements http.ResponseWriter.
func (w *responseModel) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseModel) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.path.carry(responseHeaderBytes)
		close(w.started)
	})
}

// Write implements http.ResponseWriter.
func (w *responseModel) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for n := 0; n < len(b); {
		end := min(n+segmentBytes, len(b))
		w.path.carry(end - n)
		if _, err := w.body.Write(b[n:end]); err != nil {
			return n, err
		}
		n = end
	}
	return len(b), nil
}

// bodyModel is the body of a response that crosses a path.
type bodyModel struct {
	*io.PipeReader
	stop func() bool
}

// Close implements io.Closer.
func (b *bodyModel) Close() error {
	b.stop()
	return b.PipeReader.Close()
}
