// Package partial provides peers that send a part of a response and close the connection, for tests of readers: a
// response that breaks off must not be taken for a whole one.
package partial

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/clementinereel/clementinereel/endless"
)

// Ending is how a connection ends.
type Ending uint8

// Endings of connections.
const (
	// Closed: what was sent arrives, and then the end.
	Closed Ending = iota
	// Reset: the connection is reset.
	Reset
)

// Framings returns responses of status 200 with the body and the header lines, each of which ends in "\r\n". Each
// tells in its own way where it ends.
func Framings(lines, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + lines
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := "\r\n" + chunk(body[:len(body)/2]) + chunk(body[len(body)/2:]) + "0\r\n"
	return map[string]string{
		"length":                 head + length,
		"length after an early":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + length,
		"chunks":                 head + "Transfer-Encoding: chunked\r\n" + chunks + "\r\n",
		"chunks with a trailer":  head + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n" + chunks + "X-A: a\r\n\r\n",
		"length, then the close": head + "Connection: close\r\n" + length,
	}
}

// chunk returns a chunk of a body; an empty one would end it.
func chunk(part string) string {
	if part == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}

// Each calls check with the address of a peer that answers every request with the first n bytes of a response,
// for each framing, each n less than its length, and each ending. Responses that arrive whole are up to the caller.
func Each(t *testing.T, framings map[string]string, check func(t *testing.T, addr string)) {
	for name, response := range framings {
		for _, ending := range []Ending{Closed, Reset} {
			t.Run(fmt.Sprintf("%s, ending %d", name, ending), func(t *testing.T) {
				for n := range response {
					addr := Serve(t, response[:n], ending)
					check(t, addr)
					if t.Failed() {
						t.Fatalf("after %q", response[:n])
					}
				}
			})
		}
	}
}

// Serve answers every request with part and ends the connection, until the end of the test. It returns the address.
func Serve(t testing.TB, part string, ending Ending) string {
	return endless.Accept(t, "127.0.0.1", func(c net.Conn) { answer(c, part, ending) })
}

// answer reads a request's header and sends the part.
func answer(c net.Conn, part string, ending Ending) {
	endless.SkipHeader(c)
	if _, err := io.WriteString(c, part); err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && ending == Reset {
		_ = tcp.SetLinger(0) // closing resets the connection
	}
}
