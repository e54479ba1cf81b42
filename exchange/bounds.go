package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/response"
	"github.com/clementinereel/clementinereel/transfer"
)

// Bounds of what is read of responses for one request, apart from Client.MaxResponseBytes.
const (
	// MaxHeadBytes limits the status line and header of a response, with the interim responses before it.
	MaxHeadBytes = 128 << 10
	// maxHeadLines limits the lines of these. It is above readBufferSize, as the begin of a body may be read
	// with its head.
	maxHeadLines = 8 << 10
	// A head takes headCopies times its bytes, as read and as fields, and fieldBytes for each line. The
	// memory is acquired in steps of headStep bytes.
	headCopies = 2
	fieldBytes = 100
	headStep   = 16 << 10
	// maxInterimResponses limits the interim (1xx) responses before a response.
	maxInterimResponses = 64
	// With its chunk framing a body takes at most framingFactor times its decoded bytes, and in addition MaxHeadBytes
	// and the bound of bodies divided by framingReserve. Chunks of 10 bytes and more never exceed this.
	framingFactor  = 1.5
	framingReserve = 4
)

// Part is a part of a response that has a bound.
type Part string

// Parts of responses.
const (
	PartHead    Part = "head"
	PartInterim Part = "interim responses"
	PartBody    Part = "body"
	// PartFraming is a body with its chunk sizes, chunk extensions and trailer.
	PartFraming Part = "body with framing"
	// PartSkipped is the bodies of responses to other requests.
	PartSkipped Part = "responses to other requests"
)

// BoundError reports that a response exceeded a bound. The target may have run the request.
type BoundError struct {
	Part Part
	// Bound is in bytes, or a number of responses for PartInterim, or of lines for PartHead.
	Bound int64
}

// Error implements error.
func (e *BoundError) Error() string {
	return fmt.Sprintf("response exceeds a bound: %s above %d", e.Part, e.Bound)
}

// ExceededPart returns the part of the response whose bound was exceeded, or "" if the error has another cause.
func ExceededPart(err error) Part {
	if e := new(BoundError); errors.As(err, &e) {
		return e.Part
	}
	return ""
}

// boundedReader reads no more from a connection than is allowed for the part that is being read. Bytes that are
// already buffered after it count towards no part.
type boundedReader struct {
	r     io.Reader
	part  Part
	bound int64
	left  int64
	// head is what is counted of a head, if the part is one.
	head headUse
	// exceeded is why no more may be read; nil while more may be.
	exceeded error
}

// headUse counts the lines of a head and the memory that it takes.
type headUse struct {
	lines, bytes, acquired int64
	// memory is where the memory is acquired; nil if nothing is counted.
	memory *responseMemory
}

// add counts bytes that were read, and acquires memory for them.
func (h *headUse) add(b []byte) error {
	h.lines += int64(bytes.Count(b, []byte("\n")))
	h.bytes += int64(len(b))
	if h.lines > maxHeadLines {
		return &BoundError{PartHead, maxHeadLines}
	}
	for headCopies*h.bytes+fieldBytes*h.lines > h.acquired {
		if err := h.memory.acquire(headStep); err != nil {
			return err
		}
		h.acquired += headStep
	}
	return nil
}

// allow starts a part of at most bound bytes.
func (b *boundedReader) allow(part Part, bound int64) {
	b.part, b.bound, b.left, b.head, b.exceeded = part, bound, bound, headUse{}, nil
}

// allowHead starts a head, which takes memory from mem.
func (b *boundedReader) allowHead(mem *responseMemory) {
	b.allow(PartHead, MaxHeadBytes)
	b.head = headUse{memory: mem, acquired: headStep} // an ordinary head acquires nothing
}

// Read implements io.Reader. It returns a *BoundError once the part has been read up to its bound.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.exceeded = &BoundError{b.part, b.bound}
		return 0, b.exceeded
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.head.memory != nil {
		b.exceeded = b.head.add(p[:n])
	}
	if b.exceeded != nil {
		return 0, b.exceeded
	}
	return n, err
}

// cause returns why the part could not be read: net/http may report an exceeded bound as a malformed line.
func (b *boundedReader) cause(err error) error {
	if err != nil && b.exceeded != nil {
		err = b.exceeded
	}
	return errors.WithStack(err)
}

// maxErrorBytes limits the text of an error that quotes a response.
const maxErrorBytes = 200

// shortError is an error with a bounded text.
type shortError struct{ error }

// Error implements error.
func (e shortError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Unwrap returns the error with its whole text.
func (e shortError) Unwrap() error { return e.error }

// readFinalHead reads the status and header of the next response, skipping interim ones.
func (cn *conn) readFinalHead(method string, mem *responseMemory) (*http.Response, error) {
	cn.bounded.allowHead(mem)
	req := &http.Request{Method: method}
	for range maxInterimResponses + 1 {
		if err := cn.checkLines(); err != nil {
			return nil, cn.bounded.cause(err)
		}
		resp, err := http.ReadResponse(cn.reader, req)
		if err != nil {
			return nil, cn.bounded.cause(err)
		}
		if err := response.Check(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode/100 != 1 {
			return resp, nil
		}
	}
	return nil, errors.WithStack(&BoundError{PartInterim, maxInterimResponses})
}

// errFolded is the error of a header with a line that goes on in the next one.
var errFolded = errors.New("a line of the header begins with a blank")

// checkLines waits for the next header and returns an error if one of its lines begins with a blank: net/http takes it
// for a part of the line before, but it may be a field whose name holds a blank. Only as much of a header is checked as
// the read buffer takes.
func (cn *conn) checkLines() error {
	for n := 1; ; n = cn.reader.Buffered() + 1 {
		_, err := cn.reader.Peek(n)
		received, _ := cn.reader.Peek(cn.reader.Buffered()) // never waits
		header, complete := cutHeader(received)
		switch {
		case bytes.Contains(header, []byte("\n ")) || bytes.Contains(header, []byte("\n\t")):
			return errors.WithStack(errFolded)
		case complete || len(received) == readBufferSize:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// cutHeader returns the header at the begin of b, and whether it is complete.
func cutHeader(b []byte) (header []byte, complete bool) {
	end := len(b)
	for _, emptyLine := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b[:end], []byte(emptyLine)); i >= 0 {
			end, complete = i, true
		}
	}
	return b[:end], complete
}

// body returns a reader of the body of a response that bounds the bytes of its framing. The caller enforces maxBytes.
func (cn *conn) body(resp *http.Response, maxBytes int64) io.Reader {
	cn.bounded.allow(PartFraming, maxBytes/framingReserve+MaxHeadBytes)
	return &framedBody{resp.Body, cn.bounded}
}

// framedBody is a body that may take framingFactor more bytes on the connection for each decoded byte.
type framedBody struct {
	body    io.Reader
	bounded *boundedReader
}

// Read implements io.Reader.
func (f *framedBody) Read(p []byte) (int, error) {
	n, err := f.body.Read(p)
	f.bounded.left += int64(framingFactor * float64(n))
	return n, err
}

// readBody reads the whole body of a response, with memory from mem.
func (cn *conn) readBody(resp *http.Response, maxBytes int64, mem *responseMemory) ([]byte, error) {
	body := cn.body(resp, maxBytes)
	switch {
	case resp.Body == http.NoBody:
		return nil, nil
	case resp.ContentLength > maxBytes:
		return nil, errors.WithStack(&BoundError{PartBody, maxBytes})
	case resp.ContentLength > 0:
		if err := mem.acquire(resp.ContentLength); err != nil {
			return nil, errors.WithStack(err)
		}
		b := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(body, b)
		return b, cn.bounded.cause(err)
	}
	b, err := transfer.ReadAll(body, maxBytes, mem.acquire)
	return b, cn.bodyError(err, PartBody, maxBytes)
}

// skipBody reads and discards the body of a response of at most maxBytes bytes, and returns its size.
func (cn *conn) skipBody(resp *http.Response, maxBytes int64) (int64, error) {
	body := cn.body(resp, maxBytes)
	if resp.ContentLength > maxBytes {
		return 0, errors.WithStack(&BoundError{PartSkipped, maxBytes})
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes+1))
	if n > maxBytes {
		err = transfer.ErrTooLarge
	}
	return n, cn.bodyError(err, PartSkipped, maxBytes)
}

// bodyError returns why a body could not be read, as a *BoundError if a bound is the cause.
func (cn *conn) bodyError(err error, part Part, maxBytes int64) error {
	switch {
	case errors.Is(err, transfer.ErrTooLarge):
		return errors.WithStack(&BoundError{part, maxBytes})
	case errors.Is(err, http.ErrLineTooLong):
		return errors.WithStack(&BoundError{PartFraming, readBufferSize})
	}
	return cn.bounded.cause(err)
}
