package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/registry"
)

// repeatingTarget sends each rejection a second time, late: where its connection's next response is expected.
type repeatingTarget struct {
	net.Listener
	// work is how long a request takes that runs.
	work time.Duration

	mu sync.Mutex
	// rejections is the number of requests that are still to be rejected.
	rejections int
	runs, sent int
}

func newRepeatingTarget(t *testing.T, rejections int, work time.Duration) *repeatingTarget {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	r := &repeatingTarget{Listener: ln, rejections: rejections, work: work}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *repeatingTarget) entry() registry.Entry {
	return registry.Entry{ID: "t0", Service: "s", Addr: r.Addr().String(), Zone: "a", Slots: 4}
}

func (r *repeatingTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, late); err != nil {
			return
		}
		answer, rejected := r.answer(req.Header.Get(headerNames.RequestID))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		late = ""
		if rejected {
			late = answer
		}
	}
}

// answer rejects the request or runs it.
func (r *repeatingTarget) answer(id string) (response string, rejected bool) {
	r.mu.Lock()
	r.sent++
	rejected = r.rejections > 0
	if rejected {
		r.rejections--
	} else {
		r.runs++
	}
	r.mu.Unlock()
	if rejected {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNames.RequestID, id, headerNames.NotRun), true
	}
	time.Sleep(r.work)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 5\r\n\r\nwhole", headerNames.RequestID, id, headerNames.Seal), false
}

func (r *repeatingTarget) counts() (runs, sent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs, r.sent
}

// launchBefore starts an instance before the target.
func launchBefore(t *testing.T, target *repeatingTarget, queueing bool) (string, *Gateway) {
	d := waitingDocument(queueing)
	for i := range d.Routes {
		d.Routes[i].Timeout = 3500 * time.Millisecond // enough for all waits on a busy machine
	}
	store := &fakeStore{document: d, entries: []registry.Entry{target.entry()}}
	settings := testSettings(t)
	settings.Grace = time.Second
	url, g, _ := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	return url, g
}

// TestLateRejectionIsNotTakenForNextAttempt guards against a second run of a request that must not run twice: it is
// rejected, waits and is sent to the same target again, which sends the rejection once more and then runs it.
func TestLateRejectionIsNotTakenForNextAttempt(t *testing.T) {
	for _, rejections := range []int{1, 3} {
		target := newRepeatingTarget(t, rejections, 100*time.Millisecond)
		url, g := launchBefore(t, target, true)
		for range 100 {
			g.knowledge.RecordRequest(time.Now(), "s", true) // the retry budget is a share of the load
		}
		status, body, _ := sendRequest(t.Context(), t, "POST", url+"/buy/1")
		assert.Check(t, status == http.StatusOK, "%d rejections: status %d, %s", rejections, status, body)
		time.Sleep(2 * target.work) // for a second run, if there is one
		runs, sent := target.counts()
		assert.Check(t, runs == 1, "%d rejections: ran %d times", rejections, runs)
		assert.Check(t, sent == rejections+1, "%d rejections: sent %d times", rejections, sent)
	}
}

// TestLateRejectionIsNotTakenForRepeatedID guards against an untrue 503: a caller is refused and sends the request again
// under the same ID, while the target sends its rejection once more and then runs the request.
func TestLateRejectionIsNotTakenForRepeatedID(t *testing.T) {
	target := newRepeatingTarget(t, 1, 0)
	url, _ := launchBefore(t, target, false)
	status, _, _ := sendRequestWithID(t.Context(), t, "POST", url+"/buy/1", "r", 4*time.Second)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, body, _ := sendRequestWithID(t.Context(), t, "POST", url+"/buy/1", "r", 4*time.Second)
	assert.Equal(t, status, http.StatusOK, body)
	runs, sent := target.counts()
	assert.Equal(t, runs, 1)
	assert.Equal(t, sent, 2)
}
