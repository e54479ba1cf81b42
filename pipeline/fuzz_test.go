package pipeline

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rowParts are what rows of the fuzz test consist of.
var rowParts = []string{
	get("/a"),
	"HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nx\r\n\r\ny\n\n",
	"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n",
	"GET /e HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
	"GET /f HTTP/1.1\nHost: h\n\n",
	"GET /buy/g HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /h HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("long ", 1700) + "\r\n\r\n",
	"POST /i HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n",
	"GET /j HTTP/1.1\r\nHost: h\r\nX-Folded: a\r\n b\r\n\t\r\n\r\n",
	"POST /k HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	"GET /l HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
	"GET /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n\r\n\r\nab",
	"GET /m HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"GET /n HTTP/1.1\r\n\r\n",
	"GET /o HTTP/1.1\r\nHost h\r\n\r\n",
	"GET /p HTTP/1.1\r\nHost: h\r\nExpect: nonsense\r\n\r\n",
	"\r\n",
	"DELETE /q HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /r HTTP/1.1\r\nHost: h\r\nX y: a\r\n\r\n",
	"GET /s HTTP/1.1\r\nHost: h h\r\n\r\n",
}

const rowEnd = "GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

// FuzzRows checks that any row of requests, split at any places, gets the responses that
// net/http gives without this package.
func FuzzRows(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0}, []byte{})
	f.Add([]byte{0, 2, 0, 0, 2, 0}, []byte{10, 3, 200})
	f.Add([]byte{0, 7, 0, 7, 7, 7, 7, 0}, []byte{1, 1, 1, 255})
	f.Add([]byte{1, 3, 1, 4, 0, 5, 6, 0}, []byte{30})
	f.Add([]byte{0, 8, 0, 9, 0, 10, 0, 11, 0}, []byte{4, 4, 4, 4})
	f.Add([]byte{0, 0, 12, 0, 0, 13, 0}, []byte{40, 41})
	f.Add([]byte{0, 0, 14, 0}, []byte{2})
	f.Add([]byte{0, 15, 0}, []byte{})
	f.Add([]byte{0, 16, 0}, []byte{})
	f.Add([]byte{0, 2, 17, 0, 17, 0}, []byte{7})
	f.Add([]byte{18, 0, 18, 0, 0}, []byte{100})
	f.Add([]byte{0, 19, 0}, []byte{})
	f.Add([]byte{0, 20, 0}, []byte{})
	f.Fuzz(func(t *testing.T, parts, sizes []byte) {
		const maxParts = 20
		var row strings.Builder
		for _, p := range parts[:min(len(parts), maxParts)] {
			row.WriteString(rowParts[int(p)%len(rowParts)])
		}
		row.WriteString(rowEnd)
		want := exchangeRow(t, nil, row.String(), nil)
		s := &Server{
			Handler: http.HandlerFunc(describe), AccountOf: func(net.Conn) Account { return new(account) }, Report: func(*http.Request, Outcome, time.Duration) {},
			MayStart: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/buy/") },
		}
		assert.Equal(t, exchangeRow(t, s, row.String(), sizes), want)
	})
}

// describe responds with what the handler sees of a request.
func describe(w http.ResponseWriter, r *http.Request) {
	body := ""
	if r.URL.Path != "/unread" {
		b, err := io.ReadAll(r.Body)
		body = fmt.Sprintf("%q %v", b, err)
	}
	w.Header()["Date"] = nil
	respond(w, fmt.Sprint(r.Method, r.URL, r.Host, r.Close, r.Header, body))
}

// exchangeRow sends a row in pieces of the given sizes, then the rest, and returns the responses.
func exchangeRow(t *testing.T, s *Server, row string, sizes []byte) string {
	client, conn := net.Pipe()
	ln := &singleListener{conns: make(chan net.Conn, 1)}
	ln.conns <- conn
	server := &http.Server{Handler: http.HandlerFunc(describe), ErrorLog: log.New(io.Discard, "", 0)}
	var accepting net.Listener = ln
	if s != nil {
		server.Handler, server.ConnContext, accepting = s, s.ConnContext, s.Listener(ln)
	}
	go func() { _ = server.Serve(accepting) }()
	defer server.Close()
	defer close(ln.conns)
	assert.NilError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		for _, n := range sizes {
			n := min(int(n), len(row))
			_, _ = io.WriteString(client, row[:n])
			row = row[n:]
		}
		_, _ = io.WriteString(client, row) // fails if the server has closed the connection
	}()
	responses, err := io.ReadAll(client)
	assert.NilError(t, err)
	return dateField.ReplaceAllString(string(responses), "")
}

// dateField is a field that net/http adds to its own responses, and that differs by the time.
var dateField = regexp.MustCompile("Date: [^\r\n]*GMT\r\n")

// singleListener accepts the connections of a channel.
type singleListener struct{ conns chan net.Conn }

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, context.Canceled
	}
	return c, nil
}

// Close implements net.Listener.
func (l *singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }
