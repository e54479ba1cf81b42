package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/upstream"
)

// repeatingTargets sheds lookups and runs all else. On a connection that has carried a lookup, it sends the rejection a
// second time before the response to the next request.
type repeatingTargets struct {
	mu sync.Mutex
	// shed are the addresses of the connections whose last request was a shed lookup.
	shed map[string]bool
	runs int
}

func (f *repeatingTargets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if f.handleLookup(r) {
		w.Header().Set("Target-Not-Run", "shed")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has disconnected
	}
	defer c.Close()
	if f.isCopyDue(r) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Shed\r\nTarget-Not-Run: shed\r\nContent-Length: 0\r\n\r\n")
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// handleLookup reports whether the request is a lookup; all others run.
func (f *repeatingTargets) handleLookup(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lookup := r.URL.Path == "/lookup"
	if lookup {
		f.shed[r.RemoteAddr] = true
	} else {
		f.runs++
	}
	return lookup
}

func (f *repeatingTargets) isCopyDue(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shed[r.RemoteAddr]
}

// Guards against a confirmation or an upload that runs twice, or counts as not run although it runs, as a late second
// response to an earlier request on its connection counts as its own.
func TestExtraResponseIsNotTakenForWorkThatMustRunOnce(t *testing.T) {
	for _, class := range []fleet.Class{fleet.Confirmation, fleet.Upload} {
		t.Run(fmt.Sprint(class), func(t *testing.T) {
			f := &repeatingTargets{shed: make(map[string]bool)}
			svc := newService(t, f, f)
			lookup := job(fleet.Lookup, "")
			newRequest := lookup.NewRequest
			lookup.NewRequest = func() *upstream.Request {
				r := newRequest()
				r.URL = &url.URL{Path: "/lookup"}
				return r
			}
			_ = runJob(retried(lookup, 2), svc) // leaves a connection to each target
			res := runJob(retried(job(class, "body"), 2), svc)
			assert.Equal(t, res.Try, fleet.TryOK, "%v", res.Err)
			assert.Equal(t, f.runs, 1)
		})
	}
}
