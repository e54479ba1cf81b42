package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Headers names the fields that an exchange reads and writes.
type Headers struct {
	// RequestID names the request; answers echo it.
	RequestID string
	// Deadline carries the time left in milliseconds.
	Deadline string
	// Seal is the target's proof that an answer is its own.
	Seal string
	// Target names the target that is meant; another one refuses the request.
	Target string
	// NotRun is set by a target that did not run the request.
	NotRun string
	// Rate is set by a target in need: the requests a second that it takes from all instances.
	Rate string
	// Leaving is set to 1 by a target that is about to end.
	Leaving string
}

// Target is where a request goes: a process that registered under an ID at an address. A
// later process under the ID gets none of its connections.
type Target struct {
	ID   fleet.TargetID
	Addr string
	// Born is when the process started, in milliseconds since the Unix epoch; 0 if that
	// is not known.
	Born int64
}

// Request is what a caller asked.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
}

// Kind tells how an exchange ended.
type Kind uint8

const (
	// Answered means that the whole answer is there.
	Answered Kind = iota + 1
	// Refused means that the target says that it did not run the request.
	Refused
	// Unsent means that no byte of the request left: it was not run.
	Unsent
	// Broken means that the request may have run and its answer is lost.
	Broken
	// Overdue means that the time ran out before an answer came.
	Overdue
	// Abandoned means that the caller left.
	Abandoned
	// Withheld means that nothing was sent since the target is to get no request any more.
	Withheld
)

var kindNames = map[Kind]string{
	Answered: "answered", Refused: "refused", Unsent: "unsent", Broken: "broken", Overdue: "overdue", Abandoned: "abandoned",
	Withheld: "withheld",
}

// String names the kind as logs and metrics write it.
func (k Kind) String() string { return kindNames[k] }

// Unrun tells whether the target certainly did not run the request, and never will.
func (k Kind) Unrun() bool { return k == Refused || !k.MayHaveArrived() }

// MayHaveArrived tells whether any part of the request may have reached the target.
func (k Kind) MayHaveArrived() bool { return k != Unsent && k != Withheld }

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Sealed tells whether the answer carries the target's seal.
	Sealed bool
}

// Head is the head of an answer, which is there before its body.
type Head struct {
	Status int
	Header http.Header
	// Named tells whether the answer names the request. One without may be a refusal by whoever listens
	// at the address.
	Named bool
}

// Success tells whether the answer is a success that may reach a caller.
func (a *Answer) Success() bool { return a.Status/100 == 2 && a.Sealed }

// Result is what is known after an exchange.
type Result struct {
	Kind Kind
	// Answer is set for Answered and Refused.
	Answer *Answer
	// Err says why, for the other kinds.
	Err error
	// Reused tells whether the connection had carried requests before, and
	// IdleFor how long it was idle.
	Reused  bool
	IdleFor time.Duration
	// Took is the time from the start of the exchange.
	Took time.Duration
}

// Client sends requests to targets.
type Client struct {
	Cache   *Cache
	Headers Headers
	// MaxAnswer bounds an answer's body in bytes.
	MaxAnswer int64
	// OnHead, if set, is called with the head of each answer to the request of the given ID, unless another
	// target gave it. What it says holds whatever becomes of the body and of the caller.
	OnHead func(t Target, request string, h Head)
	// Admit, if set, is asked before the first byte of a request is written whether the target takes requests:
	// it may have said otherwise since it was chosen.
	Admit func(t Target) bool
}

var (
	errForeign  = errors.New("answer of another request")
	errEncoded  = errors.New("answer with a content encoding")
	errTooLarge = errors.New("answer too large")
)

// Do sends the request, tells the target that its answer is wanted until wanted,
// and waits until deadline. Cancelling ctx gives up: the connection is closed, so
// that the target may stop. A connection that was idle for longer than maxIdle is not
// used: the target may be closing it.
func (c *Client) Do(ctx context.Context, t Target, r *Request, wanted, deadline time.Time, maxIdle time.Duration) Result {
	start := time.Now()
	cn, err := c.connect(ctx, t, deadline, maxIdle)
	if err != nil {
		return Result{Kind: Unsent, Err: err, Took: time.Since(start)}
	}
	if c.Admit != nil && !c.Admit(t) {
		_ = cn.Close()
		return Result{Kind: Withheld, Took: time.Since(start)}
	}
	res := Result{Reused: cn.served > 0}
	if res.Reused {
		res.IdleFor = start.Sub(cn.idleSince)
	}
	c.Cache.lend(t, 1)
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	keep := c.converse(cn, t, r, wanted, deadline, &res)
	if !stop() {
		keep = false
		if res.Kind == Broken {
			res.Kind = Abandoned
		}
	}
	res.Took = time.Since(start)
	c.Cache.lend(t, -1)
	if !keep {
		c.Cache.count(func(u *Uses) { u.Ended++ })
		_ = cn.Close()
		return res
	}
	c.Cache.put(t, cn, time.Now())
	return res
}

func (c *Client) connect(ctx context.Context, t Target, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	if cn := c.Cache.take(t, time.Now(), maxIdle); cn != nil {
		return cn, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.Cache.dial(ctx, t)
}

// converse writes the request and reads its answer. It tells whether the
// connection can be used again.
func (c *Client) converse(cn *conn, t Target, r *Request, wanted, deadline time.Time, res *Result) bool {
	if err := cn.SetDeadline(deadline); err != nil {
		res.Kind, res.Err = Unsent, err
		return false
	}
	written := cn.send(c.requestHead(t, r, time.Until(wanted)), r.Body)
	answer, closing, err := c.read(cn, t, r)
	if err != nil {
		res.Kind, res.Err = kindOf(err), err
		if nothingLeft(written) {
			res.Kind = Unsent
		}
		return false
	}
	cn.keep = keepTime(answer.Header)
	res.Answer = answer
	res.Kind = Answered
	if answer.Header.Get(c.Headers.NotRun) != "" || answer.Status == http.StatusMisdirectedRequest {
		res.Kind = Refused
	}
	select {
	case w := <-written:
		return w.err == nil && !closing && cn.reader.Buffered() == 0
	case <-time.After(writeSettle):
		// The target answered before it had the whole body: whatever came next
		// on the connection would be taken for the rest of it.
		return false
	}
}

// writeResult is how the writing of a request ended.
type writeResult struct {
	bytes int64
	err   error
}

// send writes a request; one with a body is written beside the reading, since a
// target may answer before it has the whole body.
func (cn *conn) send(head, body []byte) <-chan writeResult {
	written := make(chan writeResult, 1)
	if len(body) == 0 {
		n, err := cn.Write(head)
		written <- writeResult{int64(n), err}
		return written
	}
	go func() {
		buffers := net.Buffers{head, body}
		n, err := buffers.WriteTo(cn.Conn)
		written <- writeResult{n, err}
	}()
	return written
}

// nothingLeft tells whether the writing has failed before its first byte.
func nothingLeft(written <-chan writeResult) bool {
	select {
	case w := <-written:
		return w.err != nil && w.bytes == 0
	default:
		return false
	}
}

// keepTime is how long the target leaves the connection open while it is idle,
// less a margin.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return defaultKeep
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return Overdue
	}
	return Broken
}

// requestHead prints the request's first line and header.
func (c *Client) requestHead(t Target, r *Request, left time.Duration) []byte {
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
	_ = h.Write(&b) // a bytes.Buffer takes every write
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeSettle is how long after an answer the end of the request's writing is waited
// for: the writer may not have been scheduled yet to say that it is done.
const writeSettle = 10 * time.Millisecond

// maxForeign bounds how many answers of other requests are passed over.
const maxForeign = 3

// read returns the answer to r, and whether the connection ends with it.
func (c *Client) read(cn *conn, t Target, r *Request) (*Answer, bool, error) {
	fresh := cn.served == 0
	foreign := false
	for range maxForeign {
		named, unnamed := false, false
		answer, closing, err := c.readOne(cn.reader, r.Method, func(h Head) {
			id := h.Header.Get(c.Headers.RequestID)
			named = id == r.ID
			unnamed = id == "" && fresh && !foreign && h.Header.Get(c.Headers.NotRun) != ""
			if named || unnamed {
				h.Named = named
				c.handOn(t, r, h)
			}
		})
		switch {
		case err != nil:
			return nil, true, err
		case named:
			return answer, closing || foreign, verify(answer)
		case unnamed:
			return answer, true, nil
		case closing:
			return nil, true, errors.Wrapf(errForeign, "id %q, status %d", answer.Header.Get(c.Headers.RequestID), answer.Status)
		}
		foreign = true
	}
	return nil, true, errForeign
}

// handOn passes the head of an answer to OnHead, unless it is another target's.
func (c *Client) handOn(t Target, r *Request, h Head) {
	if c.OnHead != nil && h.Status != http.StatusMisdirectedRequest {
		c.OnHead(t, r.ID, h)
	}
}

func verify(a *Answer) error {
	if enc := a.Header.Get("Content-Encoding"); enc != "" && !strings.EqualFold(enc, "identity") {
		return errors.Wrap(errEncoded, enc)
	}
	return nil
}

// readOne reads the next whole answer, interim ones left out.
func (c *Client) readOne(br *bufio.Reader, method string, onHead func(Head)) (*Answer, bool, error) {
	resp, err := readFinal(br, method)
	if err != nil {
		return nil, true, errors.WithStack(err)
	}
	defer resp.Body.Close()
	onHead(Head{Status: resp.StatusCode, Header: resp.Header})
	body, err := readBody(resp.Body, c.MaxAnswer, resp.ContentLength)
	if err != nil {
		return nil, true, err
	}
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Sealed: resp.Header.Get(c.Headers.Seal) != ""}
	return a, resp.Close, nil
}

func readFinal(br *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 != 1 {
			return resp, nil
		}
	}
}

func readBody(body io.Reader, most, announced int64) ([]byte, error) {
	if announced > most {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", announced)
	}
	var b bytes.Buffer
	if announced > 0 {
		b.Grow(int(announced) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(io.LimitReader(body, most+1)); err != nil {
		return nil, errors.WithStack(err)
	}
	if int64(b.Len()) > most {
		return nil, errors.WithStack(errTooLarge)
	}
	return b.Bytes(), nil
}
