package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
)

const (
	// headerTimeout bounds the sending of a request's header where the document
	// does not say.
	headerTimeout = 10 * time.Second
	// maxHeader bounds what is read of a request's header, in bytes, whatever the document says.
	maxHeader = 1 << 20
	// keepAliveProbe finds callers that are gone without a word.
	keepAliveProbe = 15 * time.Second
)

// front is the server for callers. It closes connections by the idle timeout of
// the document in force, which may change while they are open.
type front struct {
	server   *http.Server
	listener net.Listener

	mu sync.Mutex
	// idle holds when each idle connection became so; open counts all.
	idle map[net.Conn]time.Time
	open int
	busy int
}

func listenFront(addr string, h http.Handler) (*front, error) {
	lc := net.ListenConfig{KeepAlive: keepAliveProbe}
	ln, err := lc.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f := &front{listener: ln, idle: make(map[net.Conn]time.Time)}
	f.server = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         f.track,
		ErrorLog:          log.New(serverErrors{}, "", 0),
	}
	return f, nil
}

// serverErrors passes the server's complaints about callers on to the log.
type serverErrors struct{}

// Write implements io.Writer.
func (serverErrors) Write(b []byte) (int, error) {
	eventlog.Info(eventlog.ServerError, "text", strings.TrimSpace(string(b)))
	return len(b), nil
}

func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, wasIdle := f.idle[c]
	delete(f.idle, c)
	switch s {
	case http.StateNew:
		f.open++
		f.idle[c] = time.Now()
	case http.StateIdle:
		f.busy--
		f.idle[c] = time.Now()
	case http.StateActive:
		f.busy++
	case http.StateClosed, http.StateHijacked:
		f.open--
		if !wasIdle {
			f.busy--
		}
	}
}

// closeIdle closes the connections that were idle for longer than the limit.
func (f *front) closeIdle(limit time.Duration) {
	now := time.Now()
	var closing []net.Conn
	f.mu.Lock()
	for c, since := range f.idle {
		if now.Sub(since) > limit {
			closing = append(closing, c)
		}
	}
	f.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// counts returns the open connections and those with a request.
func (f *front) counts() (open, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.busy
}
