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
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// URL gives path and query; its scheme and host are not used.
	URL *url.URL
	// Header is not changed. Fields that hold for one connection only are
	// left out on the way.
	Header http.Header
	// ID, if not empty, is sent as the request's id.
	ID string
	// Body may be nil. It is read once: a try that began to read it cannot
	// be followed by another with the same body.
	Body io.Reader
	// Length is the body's length in bytes, -1 if it is not known.
	Length int64
	// OneBody tells that Body comes from the caller and cannot be made anew.
	OneBody bool
	// MaxAnswer bounds the answer's body in bytes.
	MaxAnswer int64
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is how a try ended.
type Result struct {
	Try fleet.TryResult
	// Sent tells whether any byte of the request may have left this
	// instance. A request that was not sent was not run.
	Sent bool
	// Target is where the request was tried, zero if nowhere.
	Target fleet.Target
	// BodyUsed tells that the request's body was begun to be read and cannot
	// be made anew.
	BodyUsed bool
	// BodyErr is why the caller's body could not be read to its end.
	BodyErr error
	// TooLarge tells that the answer was cut off at Request.MaxAnswer.
	TooLarge bool
	// Answer is the target's whole answer, nil if there is none.
	Answer *Answer
	// RetryAfter is when the target asked to be left alone until, 0 if it
	// did not ask.
	RetryAfter time.Duration
	Latency    time.Duration
	Err        error
}

// maxRetryAfter bounds for how long a target is left alone that asks for it.
const maxRetryAfter = 5 * time.Minute

// Unrun tells whether the target certainly did not run the request.
func (r *Result) Unrun() bool { return !r.Sent || r.Try.NotRun() }

// Via names this instance to targets.
type Via struct {
	Instance fleet.InstanceID
	Zone     fleet.Zone
}

// Try sends a request to one target and reads its whole answer. The context
// bounds it; its deadline is passed on to the target.
func Try(ctx context.Context, rt http.RoundTripper, via Via, target fleet.Target, req *Request) Result {
	start := time.Now()
	var trace pool.Trace
	body := &onceBody{r: req.Body}
	out := newOutgoing(trace.With(ctx), via, target, req, body)
	resp, err := rt.RoundTrip(out)
	res := Result{Target: target}
	if err != nil {
		res.Try, res.Err = classifyError(ctx, err, &trace), err
	} else {
		readAnswer(ctx, resp, req.MaxAnswer, &trace, &res)
	}
	res.Sent = trace.Sent()
	body.conclude(&res, req.OneBody)
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
		left := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(header.RequestTimeout, strconv.FormatInt(left, 10))
	}
	return out.WithContext(ctx)
}

// ErrNoTarget tells that no target could be chosen.
var ErrNoTarget = errors.New("no target can be chosen")

// ErrGivenUp is the cause of a context that ended for a reason which says
// nothing of the target: the caller left, or another try was chosen.
var ErrGivenUp = errors.New("given up")

func classifyError(ctx context.Context, err error, trace *pool.Trace) fleet.TryResult {
	if errors.Is(context.Cause(ctx), ErrGivenUp) || errors.Is(ctx.Err(), context.Canceled) {
		return fleet.TryCanceled
	}
	return pool.Classify(err, trace)
}

func readAnswer(ctx context.Context, resp *http.Response, limit int64, trace *pool.Trace, res *Result) {
	defer resp.Body.Close()
	body, err := readBody(resp, limit)
	if err != nil {
		res.Try, res.Err = classifyError(ctx, err, trace), err
		if res.Try == fleet.TryReset {
			res.Try = fleet.TryTruncated // the answer's header was there
		}
		return
	}
	if int64(len(body)) > limit {
		res.Try, res.TooLarge = fleet.TryOK, true
		return
	}
	res.Try = classifyAnswer(resp)
	// A field that names no time asks for none.
	res.RetryAfter, _ = header.ParseRetryAfter(resp.Header, time.Now(), maxRetryAfter)
	res.Answer = &Answer{Status: resp.StatusCode, Header: header.StripHopByHop(resp.Header), Body: body}
}

// readBody reads an answer's body, or one byte more than the limit.
func readBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > limit || resp.Request.Method == http.MethodHead {
		return io.ReadAll(io.LimitReader(resp.Body, limit+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

func classifyAnswer(resp *http.Response) fleet.TryResult {
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
