package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
)

// maxAnswer bounds the part of an answer that is read, in bytes.
const maxAnswer = 64 << 20

// judge reads an answer and compares it with what it must say.
func judge(resp *http.Response, want emulator.Answer) (Verdict, detail) {
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Truncated, detail{kind: "truncated"}
	}
	d := describe(resp, data)
	if v, ok := operationVerdict(resp); ok {
		return v, d
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp.StatusCode), d
	}
	var got emulator.Answer
	if json.Unmarshal(data, &got) != nil || !sameRequest(got, want) {
		return Wrong, detail{kind: "wrong: " + d.kind, text: excerpt(data)}
	}
	return Whole, d
}

// operationVerdict is what the fleet says of an operation that did not
// complete.
func operationVerdict(resp *http.Response) (Verdict, bool) {
	switch resp.Header.Get(header.OperationOutcome) {
	case fleet.NotRun.String():
		return NotRun, true
	case fleet.Unknown.String():
		return Unknown, true
	}
	return "", false
}

func refusal(status int) Verdict {
	switch {
	case status == http.StatusTooManyRequests:
		return Limited
	case status == http.StatusServiceUnavailable:
		return Unavailable
	case status < http.StatusInternalServerError:
		return Refused
	}
	return Failed
}

func sameRequest(got, want emulator.Answer) bool {
	got.Target, got.Key, got.Pad = "", "", ""
	return got == want
}

// describe gives the status with the type of the problem document, if any, and
// what the document says of the case.
func describe(resp *http.Response, data []byte) detail {
	if resp.StatusCode < http.StatusBadRequest {
		return detail{kind: fmt.Sprint(resp.StatusCode)}
	}
	var problem struct {
		Type   string `json:"type"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(data, &problem) != nil {
		problem.Detail = excerpt(data)
	}
	kind := problem.Type[strings.LastIndexByte(problem.Type, ':')+1:]
	return detail{kind: strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", kind)), text: problem.Detail}
}

// excerptBytes bounds what an example shows of an answer.
const excerptBytes = 200

func excerpt(data []byte) string { return string(data[:min(len(data), excerptBytes)]) }

// pacedChunks is into how many parts a stretched body is cut.
const pacedChunks = 32

// pacedBody is a request body that is sent over some time.
type pacedBody struct {
	ctx  context.Context
	data []byte
	over time.Duration
	sent int
}

// Read returns the next part of the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent == len(b.data) {
		return 0, io.EOF
	}
	if b.over > 0 {
		p = p[:min(len(p), max(1, len(b.data)/pacedChunks))]
		select {
		case <-time.After(b.over * time.Duration(len(p)) / time.Duration(len(b.data))):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.data[b.sent:])
	b.sent += n
	return n, nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return nil }
