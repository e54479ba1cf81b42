package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
)

// repeatPause is how long a caller waits before it asks again after an answer
// that is not final, or after none.
const repeatPause = 100 * time.Millisecond

// settle is how long an operation still waits, after its first whole answer,
// for the answers to its other asks, which are checked too.
const settle = time.Second

// operation is one caller's wish on its way through its asks.
type operation struct {
	side     *side
	stream   Stream
	intended time.Time
	nonce    string
	// key is the name under which targets record a confirmation.
	key    string
	ticket string
	body   []byte
	sum    string
	rand   *rand.Rand
}

// prepare draws the body and names the operation.
func (op *operation) prepare(pool []byte) {
	if n := op.stream.BodyBytes; n > 0 {
		op.body = make([]byte, n)
		from := op.rand.IntN(len(pool))
		copied := copy(op.body, pool[from:])
		copy(op.body[copied:], pool)
		copy(op.body, op.nonce)
	}
	sum := sha256.Sum256(op.body)
	op.sum = hex.EncodeToString(sum[:])
	if op.stream.Class == fleet.Confirmation {
		op.key = op.nonce
	}
}

// run asks until a final answer came or the repeats are used up.
func (op *operation) run(ctx context.Context) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if refused := op.getTicket(ctx); op.wantsTicket() {
		return conclude(op.intended, refused)
	}
	answers := make(chan ask, op.stream.Repeats+1)
	last := -1
	start := func() {
		last = op.side.balancer.pick(op.rand, last)
		url := op.side.balancer.urls[last]
		go func() { answers <- op.ask(ctx, url) }()
	}
	start()
	return conclude(op.intended, op.collect(answers, start, cancel))
}

// collect waits for the asks and makes further ones as the caller's patience
// and their answers demand.
func (op *operation) collect(answers chan ask, start func(), cancel func()) []ask {
	var asks []ask
	open, left := 1, op.stream.Repeats
	patience := newTimer(op.stream.Patience)
	defer patience.Stop()
	for open > 0 {
		select {
		case a := <-answers:
			asks = append(asks, a)
			open--
			if a.verdict.final() {
				left = 0
				defer time.AfterFunc(settle, cancel).Stop()
			}
			if open > 0 || left == 0 {
				continue
			}
			time.Sleep(repeatPause)
		case <-patience.C:
		}
		if left > 0 {
			left--
			open++
			start()
			resetTimer(patience, op.stream.Patience)
		}
	}
	return asks
}

// newTimer returns a timer that never fires if d is not above 0.
func newTimer(d time.Duration) *time.Timer {
	t := time.NewTimer(never)
	resetTimer(t, d)
	return t
}

func resetTimer(t *time.Timer, d time.Duration) {
	if d <= 0 {
		d = never
	}
	t.Reset(d)
}

// never is longer than any run.
const never = 24 * MaxDuration

// ask sends the request once and judges its answer.
func (op *operation) ask(ctx context.Context, base string) ask {
	ctx, cancel := context.WithTimeout(ctx, op.stream.Timeout)
	defer cancel()
	a := ask{sent: time.Now()}
	resp, err := op.side.client.Do(op.request(ctx, base, false))
	if err != nil {
		a.answered = time.Now()
		a.verdict, a.detail = Lost, detail{kind: "lost", text: err.Error()}
		return a
	}
	a.verdict, a.detail = judge(resp, op.expected())
	a.answered = time.Now()
	return a
}

// expected is what the answer must say of the request.
func (op *operation) expected() emulator.Answer {
	return emulator.Answer{
		Nonce:  op.nonce,
		Method: op.stream.Method,
		Path:   op.stream.Path,
		Size:   int64(len(op.body)),
		SHA256: op.sum,
	}
}

// request builds one request. Its body cannot be rewound, so that the HTTP
// client never sends a request again on its own.
func (op *operation) request(ctx context.Context, base string, forTicket bool) *http.Request {
	body := &pacedBody{ctx: ctx}
	if !forTicket {
		body.data, body.over = op.body, op.stream.BodyTime
	}
	req, err := http.NewRequestWithContext(ctx, op.stream.Method, base+op.stream.Path, body)
	if err != nil {
		panic(err) // URLs and methods were checked
	}
	req.ContentLength = int64(len(body.data))
	if op.side.host != "" {
		req.Host = op.side.host
	}
	op.setHeader(req.Header, forTicket)
	return req
}

func (op *operation) setHeader(h http.Header, forTicket bool) {
	h.Set(emulator.HeaderNonce, op.nonce)
	switch {
	case forTicket:
		h.Set(header.Prefer, "ticket")
	case op.ticket != "":
		h.Set(header.OperationTicket, op.ticket)
	case op.key != "":
		h.Set(header.IdempotencyKey, op.key)
	}
}

// wantsTicket tells whether the operation cannot begin without a ticket.
func (op *operation) wantsTicket() bool {
	return op.stream.Tickets && op.key != "" && op.ticket == "" && !op.side.direct
}

// getTicket asks for an operation ticket, if the stream uses them, as often
// as for an answer. It returns the asks that were refused.
func (op *operation) getTicket(ctx context.Context) []ask {
	var refused []ask
	for n := 0; op.wantsTicket() && n <= op.stream.Repeats; n++ {
		if n > 0 {
			time.Sleep(repeatPause)
		}
		if a, ok := op.askTicket(ctx); !ok {
			refused = append(refused, a)
		}
	}
	return refused
}

// askTicket asks once.
func (op *operation) askTicket(ctx context.Context) (ask, bool) {
	ctx, cancel := context.WithTimeout(ctx, op.stream.Timeout)
	defer cancel()
	a := ask{sent: time.Now(), verdict: Lost, detail: detail{kind: "no ticket"}}
	base := op.side.balancer.urls[op.side.balancer.pick(op.rand, -1)]
	resp, err := op.side.client.Do(op.request(ctx, base, true))
	a.answered = time.Now()
	if err != nil {
		a.detail.text = err.Error()
		return a, false
	}
	defer resp.Body.Close()
	if t := resp.Header.Get(header.OperationTicket); t != "" {
		op.ticket, op.key = t, t
		return a, true
	}
	a.verdict, a.detail = judge(resp, emulator.Answer{})
	a.detail.kind = "no ticket: " + a.detail.kind
	return a, false
}
