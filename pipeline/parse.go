package pipeline

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headerScanner finds the empty line that ends a request's header in a stream of bytes.
type headerScanner struct {
	// line is what has been read of the current line, as far as it matters.
	line linePart
}

type linePart uint8

const (
	// text is a line that is not empty.
	text linePart = iota
	// none is the begin of a line.
	none
	// carriageReturn is a line that so far holds a carriage return alone.
	carriageReturn
)

// end reads b until the end of a header and returns the position behind it, -1 if b has none.
// After an end the scanner is at the begin of the next request.
func (s *headerScanner) end(b []byte) int {
	for i := 0; i < len(b); i++ {
		if s.line == text {
			n := bytes.IndexByte(b[i:], '\n')
			if n < 0 {
				return -1
			}
			i += n
			s.line = none
			continue
		}
		switch {
		case b[i] == '\n':
			s.line = text
			return i + 1
		case b[i] == '\r' && s.line == none:
			s.line = carriageReturn
		default:
			s.line = text
		}
	}
	return -1
}

// skip reads b without looking for an end.
func (s *headerScanner) skip(b []byte) {
	const enough = 3 // the longest end of b that determines the current line
	b = b[max(0, len(b)-enough):]
	for len(b) > 0 {
		n := s.end(b)
		if n < 0 {
			return
		}
		s.line = none
		b = b[n:]
	}
}

// parse returns the request whose complete header is given, nil if it may not be started
// early whatever its route: anything but a well-formed HTTP/1.1 GET or HEAD without body
// is left to net/http.
func parse(head []byte) *http.Request {
	reader := bufio.NewReader(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || reader.Buffered() > 0 {
		return nil
	}
	if !startable(r) || r.Proto != "HTTP/1.1" || r.Host == "" || !strings.HasPrefix(r.RequestURI, "/") {
		return nil
	}
	if !validFields(r) {
		return nil
	}
	return r
}

// validFields reports whether a request passes the checks of an http.Server that
// http.ReadRequest does not make.
func validFields(r *http.Request) bool {
	if !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// startable reports whether requests behind r may run beside it, and r beside those before
// it, if its route allows that.
func startable(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return false
	}
	return !hasBody(r) && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 || len(r.TransferEncoding) > 0 }

// equal reports whether two requests are the same for a handler.
func equal(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && a.Close == b.Close &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal)
}
