package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/response"
)

// Headers holds the names of the header fields that an exchange reads and writes.
type Headers struct {
	// RequestID carries the request ID, which responses echo.
	RequestID string
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Seal proves that a response was produced by the target itself.
	Seal string
	// Target carries the ID of the intended target; any other target refuses the request.
	Target string
	// NotRun is set by a target that did not run the request.
	NotRun string
	// Rate is set by an overloaded target to the number of requests per second that it
	// accepts from all instances together.
	Rate string
	// Leaving is set to 1 by a target that is shutting down.
	Leaving string
}

// Target identifies a process that registered under an ID at an address. Connections
// are not shared with a later process that registers under the same ID.
type Target struct {
	ID   fleet.TargetID
	Addr string
	// Born is the process start in milliseconds since the Unix epoch, or 0 if unknown.
	Born int64
}

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	// URI is the path and query exactly as received.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// Memory, if set, bounds the memory for responses.
	Memory Memory
}

// Memory bounds the memory for the responses to a request.
type Memory interface {
	// Acquire is called before n bytes of a response are read. It returns how long it has
	// waited for room, and an error if ctx ended or the deadline passed before.
	Acquire(ctx context.Context, n int64, deadline time.Time) (waited time.Duration, err error)
}

// Kind is the outcome of an exchange.
type Kind uint8

const (
	// Answered means that the complete response was received.
	Answered Kind = iota + 1
	// Refused means that the target reported that it did not run the request.
	Refused
	// Unsent means that no byte of the request was sent, so it was not run.
	Unsent
	// Broken means that the request may have run but no valid response was received.
	Broken
	// TimedOut means that the deadline passed before a complete response was received.
	TimedOut
	// Canceled means that the caller disconnected.
	Canceled
	// NotAdmitted means that nothing was sent because Client.Admit rejected the target.
	NotAdmitted
)

var kindNames = map[Kind]string{
	Answered: "answered", Refused: "refused", Unsent: "unsent", Broken: "broken", TimedOut: "overdue", Canceled: "abandoned",
	NotAdmitted: "withheld",
}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// NotRun reports whether the target certainly has not run the request and never will.
func (k Kind) NotRun() bool { return k == Refused || !k.MayHaveArrived() }

// MayHaveArrived reports whether any part of the request may have reached the target.
func (k Kind) MayHaveArrived() bool { return k != Unsent && k != NotAdmitted }

// Response is a complete response from a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Sealed reports whether the response carries the target's seal (Headers.Seal).
	Sealed bool
	// endsWithConnection is set if the end of the connection was that of the body.
	endsWithConnection bool
}

// ResponseHeader is the status and header of a response, available before its body.
type ResponseHeader struct {
	Status int
	Header http.Header
	// HasRequestID reports whether the response echoes the request ID. A refusal without
	// it may come from any server that listens at the address.
	HasRequestID bool
}

// Success reports whether the response is a success that may be passed to a caller.
func (r *Response) Success() bool { return r.Status/100 == 2 && r.Sealed }

// Result is the outcome of an exchange.
type Result struct {
	Kind Kind
	// Response is set for Answered and Refused.
	Response *Response
	// Err is the cause of Unsent, Broken, TimedOut and Canceled.
	Err error
	// Reused reports whether the connection had carried requests before, and
	// IdleFor how long it was idle.
	Reused  bool
	IdleFor time.Duration
	// Conn is the number of the connection among those opened by the cache, 0 if there was
	// none. Requests is the number of requests sent on it before this one.
	Conn     int64
	Requests int
	// Skipped is the number of responses to other requests that were read before the
	// response.
	Skipped int
	// Written is the number of bytes of the request that were written, unknownBytes if the write had
	// not ended by the end of the exchange.
	Written int64
	// Took is the duration of the exchange. Waited is the part of it in which the response
	// waited for memory.
	Took, Waited time.Duration
}

// Client sends requests to targets.
type Client struct {
	Cache   *Cache
	Headers Headers
	// MaxResponseBytes limits the body of a response.
	MaxResponseBytes int64
	// OnResponseHeader, if set, is called with the header of each response to the request
	// with the given ID, except for refusals by a different target. The header is valid
	// even if the body fails or the caller disconnects.
	OnResponseHeader func(t Target, request string, h ResponseHeader)
	// Admit, if set, is called before the first byte of a request is written. It reports
	// whether the target still accepts requests, which may have changed since the target
	// was chosen.
	Admit func(t Target) bool
}

var (
	errMismatchedID = errors.New("response to another request")
	errEncoded      = errors.New("response with a content encoding")
)

// Do sends the request, announces targetDeadline to the target, and waits for the
// response until deadline. Canceling ctx closes the connection, so that the target
// can stop processing. Connections idle for longer than maxIdle are not reused because
// the target may be closing them.
func (c *Client) Do(ctx context.Context, t Target, r *Request, targetDeadline, deadline time.Time, maxIdle time.Duration) Result {
	start := time.Now()
	cn, err := c.getConn(ctx, t, r.ID, deadline, maxIdle)
	if err != nil {
		return Result{Kind: Unsent, Err: err, Took: time.Since(start)}
	}
	if c.Admit != nil && !c.Admit(t) {
		_ = cn.Close()
		return Result{Kind: NotAdmitted, Took: time.Since(start)}
	}
	res := Result{Reused: cn.completed > 0, Conn: cn.number, Requests: len(cn.carried)}
	if res.Reused {
		res.IdleFor = start.Sub(cn.idleSince)
	}
	c.Cache.addActive(t, 1)
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	mem := &responseMemory{ctx: ctx, memory: r.Memory, deadline: deadline, waited: &res.Waited}
	keep := c.roundTrip(cn, t, r, mem, targetDeadline, deadline, &res)
	if !stop() {
		keep = false
		if res.Kind == Broken {
			res.Kind = Canceled
		}
	}
	if res.Waited > 0 && (res.Kind == Broken || res.Kind == TimedOut) {
		res.Kind, res.Err = TimedOut, ErrNoMemory
	}
	res.Took = time.Since(start)
	c.Cache.addActive(t, -1)
	if !keep || len(cn.carried) >= maxRequestsPerConn {
		c.Cache.updateStats(func(s *Stats) { s.NotReusable++ })
		_ = cn.Close()
		return res
	}
	c.Cache.put(t, cn, time.Now())
	return res
}

func (c *Client) getConn(ctx context.Context, t Target, requestID string, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	if cn := c.Cache.take(t, requestID, time.Now(), maxIdle); cn != nil {
		return cn, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.Cache.dial(ctx, t)
}

// roundTrip writes the request and reads its response into res. It reports whether
// the connection can be reused.
func (c *Client) roundTrip(cn *conn, t Target, r *Request, mem *responseMemory, targetDeadline, deadline time.Time, res *Result) bool {
	if err := cn.SetDeadline(deadline); err != nil {
		res.Kind, res.Err = Unsent, err
		return false
	}
	cn.carry(c.Cache.hash(r.ID))
	res.Written = unknownBytes
	written := cn.send(c.encodeHeader(t, r, time.Until(targetDeadline)), r.Body)
	resp, closing, err := c.read(cn, t, r, mem, res)
	if err == nil && resp.endsWithConnection {
		err = awaitWritten(written, res)
	}
	if err != nil {
		res.Kind, res.Err = kindOfError(err), shortError{err}
		if failedBeforeFirstByte(written, res) {
			res.Kind = Unsent
		}
		return false
	}
	cn.idleTimeout = parseIdleTimeout(resp.Header)
	res.Response = resp
	res.Kind = Answered
	if resp.Header.Get(c.Headers.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		res.Kind = Refused
	}
	select {
	case w := <-written:
		res.Written = w.bytes
		return w.err == nil && !closing && cn.reader.Buffered() == 0
	case <-time.After(writeDoneTimeout):
		// The target responded before it received the whole body: it would read
		// the next request as the rest of that body.
		return false
	}
}

// writeResult is the result of writing a request.
type writeResult struct {
	bytes int64
	err   error
}

// send writes a request. A request with a body is written concurrently with reading,
// since a target may respond before it has received the whole body.
func (cn *conn) send(header, body []byte) chan writeResult {
	written := make(chan writeResult, 1)
	if len(body) == 0 {
		n, err := cn.Write(header)
		written <- writeResult{int64(n), err}
		return written
	}
	go func() {
		buffers := net.Buffers{header, body}
		n, err := buffers.WriteTo(cn.Conn)
		written <- writeResult{n, err}
	}()
	return written
}

// awaitWritten returns an error if the request could not be written whole. The connection may then have been reset, and the
// response lack its end: a reset is reported once, to whoever reads or writes first. The deadline of the connection bounds
// the wait; a target that has closed the connection ends it at once.
func awaitWritten(written chan writeResult, res *Result) error {
	w := <-written
	written <- w
	res.Written = w.bytes
	if w.err != nil {
		return errors.Wrap(response.ErrCut, w.err.Error())
	}
	return nil
}

// unknownBytes is Result.Written while the write goes on.
const unknownBytes = -1

// failedBeforeFirstByte reports whether the write has failed without sending a byte. It sets Written if the write
// has ended.
func failedBeforeFirstByte(written <-chan writeResult, res *Result) bool {
	select {
	case w := <-written:
		res.Written = w.bytes
		return w.err != nil && w.bytes == 0
	default:
		return false
	}
}

// parseIdleTimeout returns the timeout of the Keep-Alive field less
// idleTimeoutMargin, or defaultIdleTimeout if the field has none.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

func kindOfError(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return TimedOut
	}
	return Broken
}

// encodeHeader serializes the request line and header.
func (c *Client) encodeHeader(t Target, r *Request, left time.Duration) []byte {
	h := r.Header.Clone()
	h.Set(c.Headers.RequestID, r.ID)
	h.Set(c.Headers.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(c.Headers.Target, string(t.ID))
	h.Del("Content-Length")
	if r.HasBody || len(r.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = h.Write(&b) // a bytes.Buffer never fails
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeDoneTimeout is how long to wait for the write to finish after the response
// was received: the writing goroutine may not have been scheduled yet.
const writeDoneTimeout = 10 * time.Millisecond

// maxResponsesRead limits the responses read for one request, including those to other
// requests. Their bodies are at most Client.MaxResponseBytes together.
const maxResponsesRead = 3

// read returns the response to r and whether the connection must be closed after it. It counts the responses to other
// requests in res.
func (c *Client) read(cn *conn, t Target, r *Request, mem *responseMemory, res *Result) (*Response, bool, error) {
	skipped := int64(0)
	for n := range maxResponsesRead {
		head, err := cn.readFinalHead(r.Method, mem)
		if err != nil {
			return nil, true, err
		}
		id := head.Header.Get(c.Headers.RequestID)
		matched := id == r.ID
		first := n == 0 && cn.completed == 0
		refused := id == "" && first && head.Header.Get(c.Headers.NotRun) != ""
		if matched || refused {
			c.reportHeader(t, r, ResponseHeader{Status: head.StatusCode, Header: head.Header, HasRequestID: matched})
			resp, err := c.readResponse(cn, head, mem)
			if err == nil && matched {
				err = checkEncoding(resp)
			}
			return resp, head.Close || n > 0 || refused, err
		}
		res.Skipped++
		size, err := cn.skipBody(head, c.MaxResponseBytes-skipped)
		if err != nil {
			return nil, true, err
		}
		if head.Close {
			return nil, true, errors.Wrapf(errMismatchedID, "id %q, status %d", id, head.StatusCode)
		}
		skipped += size
	}
	return nil, true, errMismatchedID
}

// readResponse reads the body of a response whose head was read.
func (c *Client) readResponse(cn *conn, head *http.Response, mem *responseMemory) (*Response, error) {
	body, err := cn.readBody(head, c.MaxResponseBytes, mem)
	if err != nil {
		return nil, err
	}
	return &Response{Status: head.StatusCode, Header: head.Header, Body: body, Sealed: head.Header.Get(c.Headers.Seal) != "", endsWithConnection: response.EndsWithConnection(head)}, nil
}

// reportHeader passes a response header to OnResponseHeader unless the request reached
// a different target.
func (c *Client) reportHeader(t Target, r *Request, h ResponseHeader) {
	if c.OnResponseHeader != nil && h.Status != http.StatusMisdirectedRequest {
		c.OnResponseHeader(t, r.ID, h)
	}
}

func checkEncoding(r *Response) error {
	if enc := r.Header.Get("Content-Encoding"); enc != "" && !strings.EqualFold(enc, "identity") {
		return errors.Wrap(errEncoded, enc)
	}
	return nil
}
