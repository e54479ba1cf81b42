package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const mib = 1 << 20

// acquire acquires memory within the time and returns the error.
func acquire(h *responseHold, n int64, within time.Duration) error {
	_, err := h.Acquire(context.Background(), n, time.Now().Add(within))
	return err
}

func TestLargeResponsesAreBoundedInSum(t *testing.T) {
	r := NewResponses(10 * mib)
	a, ok := r.Hold("bundle", "a")
	assert.Assert(t, ok)
	b, ok := r.Hold("bundle", "b")
	assert.Assert(t, ok, "no size is known")
	assert.NilError(t, acquire(a, 6*mib, 0))
	assert.Equal(t, r.memory.heldBytes.Load(), int64(6*mib))
	assert.ErrorIs(t, acquire(b, 6*mib, 30*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, acquire(b, largeResponseBytes, 0), "a small response needs no room")
	time.AfterFunc(30*time.Millisecond, a.Release)
	assert.NilError(t, acquire(b, 6*mib, 5*time.Second))
	b.Release()
	assert.Equal(t, r.memory.heldBytes.Load(), int64(0))
}

// TestRequestWithoutRoomForUsualResponseIsRefused names the pattern: a route's responses are large, and slow callers hold
// as many as there is room for. A further request is refused before it runs, and one of another route is not.
func TestRequestWithoutRoomForUsualResponseIsRefused(t *testing.T) {
	r := NewResponses(10 * mib)
	r.Record("lookup", 2000)
	for range 20 {
		r.Record("bundle", 4*mib)
	}
	a, ok := r.Hold("bundle", "a")
	assert.Assert(t, ok)
	b, ok := r.Hold("bundle", "b")
	assert.Assert(t, ok)
	_, ok = r.Hold("bundle", "c")
	assert.Assert(t, !ok)
	_, ok = r.Hold("lookup", "d")
	assert.Assert(t, ok)
	assert.NilError(t, acquire(a, 4*mib, 0), "its room was reserved")
	assert.Equal(t, r.memory.heldBytes.Load(), int64(8*mib))
	a.Release()
	b.Release()
	assert.Equal(t, r.memory.heldBytes.Load(), int64(0))
}

func TestSizesOfRoutesAreBounded(t *testing.T) {
	r := NewResponses(10 * mib)
	for n := range 2 * maxSizedRoutes {
		r.Record(fmt.Sprint("route", n), mib)
	}
	assert.Equal(t, len(r.sizes), maxSizedRoutes)
	r.Record("last", mib)
	assert.Equal(t, r.expected("last"), int64(mib))
	assert.Equal(t, len(r.sizes), maxSizedRoutes)
}

// A response larger than all that may be held is held alone.
func TestResponseLargerThanTheBound(t *testing.T) {
	r := NewResponses(10 * mib)
	a, _ := r.Hold("bundle", "a")
	assert.NilError(t, acquire(a, 15*mib, 0))
	assert.NilError(t, acquire(a, mib, 0))
	b, _ := r.Hold("bundle", "b")
	assert.ErrorIs(t, acquire(b, mib, 0), context.DeadlineExceeded)
	a.Release()
	assert.NilError(t, acquire(b, mib, 0))
}

// Attempts that go on after their request keep its room until they end.
func TestHoldIsReleasedByItsLastUser(t *testing.T) {
	r := NewResponses(10 * mib)
	a, _ := r.Hold("bundle", "a")
	a.share()
	assert.NilError(t, acquire(a, mib, 0))
	a.Release()
	assert.Equal(t, r.memory.heldBytes.Load(), int64(mib))
	assert.NilError(t, acquire(a, mib, 0))
	a.Release()
	assert.Equal(t, r.memory.heldBytes.Load(), int64(0))
}

const (
	// slowResponseBytes is more than the buffers of a loopback connection take.
	slowResponseBytes = 8 * mib
	// slowReadPause is the pause of a slow caller after each 64 KiB.
	slowReadPause = 10 * time.Millisecond
)

// readSlowly sends a request and reads its response slowly. It returns the status, and whether the response was whole.
func readSlowly(t *testing.T, g *Gateway, path string) (status int, whole bool) {
	c, err := net.Dial("tcp4", g.settings.Listen)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n%s: 20000\r\n\r\n", path, headerNames.RequestID, requestsSent.Add(1), headerNames.Deadline)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		return 0, false
	}
	n, err := int64(0), error(nil)
	for err == nil {
		var read int64
		read, err = io.CopyN(io.Discard, resp.Body, 64<<10)
		n += read
		time.Sleep(slowReadPause)
	}
	return resp.StatusCode, err == io.EOF && n == resp.ContentLength
}

// TestSlowReadersDoNotFillTheMemory names the pattern: many callers ask for large responses and read them slowly, so that
// together they would take several times the memory of the instance. What is held stays bounded, what has no room is
// refused at once and truly not run, no response is cut off, and small requests are served.
func TestSlowReadersDoNotFillTheMemory(t *testing.T) {
	const callers, rounds = 24, 2
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerNames.Seal, "s")
		if strings.HasSuffix(r.URL.Path, "large") {
			w.Header().Set("Content-Length", fmt.Sprint(slowResponseBytes))
			_, _ = w.Write(make([]byte, slowResponseBytes))
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	store := &fakeStore{document: testDocument()}
	store.addTargets(b)
	store.entries[0].Slots = 2 * callers
	settings := testSettings(t)
	settings.Grace, settings.MemoryBytes = time.Second, 128*mib
	url, g, _ := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	bound := g.handler.Responses.memory.maxBytes
	var mu sync.Mutex
	statuses, cut := make(map[int]int), 0
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range rounds {
				status, whole := readSlowly(t, g, "/file/large")
				mu.Lock()
				statuses[status]++
				if !whole {
					cut++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	most := int64(0)
	for n := range 20 {
		status, body, took := sendRequest(t.Context(), t, "GET", fmt.Sprint(url, "/get/", n))
		assert.Check(t, status == http.StatusOK && took < time.Second, "status %d after %v: %s", status, took, body)
		most = max(most, g.handler.Responses.memory.heldBytes.Load())
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("statuses %v, most held %d of %d bytes", statuses, most, bound)
	assert.Check(t, most > 0 && most <= bound)
	assert.Equal(t, cut, 0)
	assert.Equal(t, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], callers*rounds, "%v", statuses)
	assert.Check(t, statuses[http.StatusOK] >= callers/2, "%v", statuses)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := g.handler.Responses.memory.heldBytes.Load(); n != 0 {
			return poll.Continue("%d bytes are held", n)
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second))
}
