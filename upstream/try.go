package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/pool"
	"github.com/clementinereel/clementinereel/response"
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// URL gives path and query; its scheme and host are not used.
	URL *url.URL
	// Header is not modified. Hop-by-hop fields are not forwarded.
	Header http.Header
	// ID, if not empty, is sent as the request ID.
	ID string
	// Body may be nil. It can be read only once: after a try has started to
	// read it, no other try can use the same body.
	Body io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// OneBody reports whether Body comes from the caller and cannot be recreated.
	OneBody bool
	// MaxResponseBytes limits the size of the response body.
	MaxResponseBytes int64
}

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the result of a try.
type Result struct {
	Try fleet.TryResult
	// Sent reports whether any byte of the request may have left this
	// instance. A request that was not sent did not run.
	Sent bool
	// Target is the target of the try, zero if none was picked.
	Target fleet.Target
	// BodyUsed reports whether reading of the request body has started and the
	// body cannot be recreated.
	BodyUsed bool
	// BodyErr is the error from reading the caller's body, if any.
	BodyErr error
	// TooLarge reports whether the response exceeded Request.MaxResponseBytes.
	TooLarge bool
	// Response is the complete response, nil if there is none.
	Response *Response
	// RetryAfter is the backoff that the target requested, 0 if none.
	RetryAfter time.Duration
	Latency    time.Duration
	Err        error
}

// maxRetryAfter limits the backoff that a target can request.
const maxRetryAfter = 5 * time.Minute

// NotRun reports whether the target certainly did not run the request.
func (r *Result) NotRun() bool { return !r.Sent || r.Try.NotRun() }

// Via identifies this instance to targets.
type Via struct {
	Instance fleet.InstanceID
	Zone     fleet.Zone
}

// Try sends a request to one target and reads the complete response. The
// deadline of the context applies to the try and is forwarded to the target.
func Try(ctx context.Context, rt http.RoundTripper, via Via, target fleet.Target, req *Request) Result {
	start := time.Now()
	var trace pool.Trace
	body := &onceBody{r: req.Body}
	tracked, written := response.TrackWrite(trace.With(ctx))
	out := newOutgoing(tracked, via, target, req, body)
	resp, err := rt.RoundTrip(out)
	res := Result{Target: target}
	if err != nil {
		res.Try, res.Err = classifyError(ctx, err, &trace), err
	} else {
		readResponse(ctx, resp, written, req.MaxResponseBytes, &trace, &res)
	}
	res.Sent = trace.Sent()
	body.finish(&res, req.OneBody)
	res.Latency = time.Since(start)
	return res
}

func newOutgoing(ctx context.Context, via Via, target fleet.Target, req *Request, body *onceBody) *http.Request {
	u := *req.URL
	u.Scheme = "http"
	u.Host = target.Addr
	out := &http.Request{
		Method:        req.Method,
		URL:           &u,
		Host:          target.Addr,
		Header:        header.WithoutHopByHop(req.Header),
		ContentLength: req.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if req.Body != nil {
		out.Body = body
	}
	if req.OneBody {
		out.Header.Set("Expect", "100-continue")
	}
	if req.ID != "" {
		out.Header.Set(header.RequestID, req.ID)
	}
	out.Header.Set(header.ViaInstance, string(via.Instance))
	out.Header.Set(header.ViaZone, string(via.Zone))
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(header.RequestTimeout, strconv.FormatInt(remaining, 10))
	}
	return out.WithContext(ctx)
}

// ErrNoTarget is the error of a request for which no target could be picked.
var ErrNoTarget = errors.New("no target can be chosen")

// ErrAbandoned is the cause of a context that ended for a reason unrelated to
// the target: the caller disconnected, or the result of another try was used.
var ErrAbandoned = errors.New("given up")

func classifyError(ctx context.Context, err error, trace *pool.Trace) fleet.TryResult {
	if errors.Is(context.Cause(ctx), ErrAbandoned) || errors.Is(ctx.Err(), context.Canceled) {
		return fleet.TryCanceled
	}
	return pool.Classify(err, trace)
}

func readResponse(ctx context.Context, resp *http.Response, written *response.Written, limit int64, trace *pool.Trace, res *Result) {
	defer resp.Body.Close()
	if err := response.Check(resp.StatusCode, resp.Header); err != nil {
		res.Try, res.Err = fleet.TryTruncated, err
		return
	}
	body, err := readBody(resp, limit)
	if err == nil && int64(len(body)) <= limit {
		err = written.CheckEnd(ctx, resp)
	}
	if err != nil {
		res.Try, res.Err = classifyError(ctx, err, trace), err
		if res.Try == fleet.TryReset {
			res.Try = fleet.TryTruncated // the response header had arrived
		}
		return
	}
	if int64(len(body)) > limit {
		res.Try, res.TooLarge = fleet.TryOK, true
		return
	}
	res.Try = classifyResponse(resp)
	// An invalid field counts as no request for a backoff.
	res.RetryAfter, _ = header.ParseRetryAfter(resp.Header, time.Now(), maxRetryAfter)
	res.Response = &Response{Status: resp.StatusCode, Header: header.StripHopByHop(resp.Header), Body: body}
}

// readBody reads a response body, at most one byte more than the limit.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > limit || resp.Request.Method == http.MethodHead {
		return io.ReadAll(io.LimitReader(resp.Body, limit+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

func classifyResponse(resp *http.Response) fleet.TryResult {
	switch resp.Header.Get(header.TargetNotRun) {
	case header.NotRunShed:
		return fleet.TryShed
	case header.NotRunDraining:
		return fleet.TryDraining
	case header.NotRunCold:
		return fleet.TryCold
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fleet.TryError
	}
	return fleet.TryOK
}
