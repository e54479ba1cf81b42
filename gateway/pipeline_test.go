package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/credential"
	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/pipeline"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/telemetry"
)

// rowSlots is the number of requests that the target of a row takes at the same time.
const rowSlots = 64

// launchForRows starts an instance with one target whose responses are the paths of their
// requests, after the delay; after four times the delay if the path ends in "slow".
func launchForRows(t *testing.T, d *document.Document, grace, delay time.Duration) (*Gateway, *backend, func()) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		wait := delay
		if strings.HasSuffix(r.URL.Path, "slow") {
			wait = 4 * delay
		}
		select {
		case <-r.Context().Done():
		case <-time.After(wait):
		}
		w.Header().Set(headerNames.Seal, "s")
		_, _ = io.WriteString(w, r.URL.Path)
	})
	store := &fakeStore{document: d}
	store.addTargets(b)
	store.entries[0].Slots = rowSlots
	s := testSettings(t)
	s.Grace = grace
	s.Keys = testKeys
	s.Quota = quota.Bounds{Window: time.Second, Excess: 0.1, Slack: 2}
	_, g, stop := launch(t, s, store, func(*Gateway) {})
	waitReady(t, g)
	return g, b, stop
}

// rowConn is a connection of a caller that sends requests ahead.
type rowConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialRow(t *testing.T, g *Gateway) *rowConn {
	c, err := net.Dial("tcp4", g.settings.Listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &rowConn{Conn: c, reader: bufio.NewReader(c)}
}

// rowRequest returns a request whose ID is its path.
func rowRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 4000\r\nContent-Length: %d\r\n\r\n%s",
		method, path, headerNames.RequestID, path, headerNames.Deadline, len(body), body)
}

// rowOf returns n lookups.
func rowOf(n int) string { return rowUnder("/get/", n) }

// rowUnder returns n requests for paths with the prefix.
func rowUnder(prefix string, n int) string {
	var row strings.Builder
	for i := range n {
		row.WriteString(rowRequest("GET", fmt.Sprint(prefix, i), ""))
	}
	return row.String()
}

func (c *rowConn) send(t *testing.T, row string) {
	_, err := io.WriteString(c, row)
	assert.NilError(t, err)
}

// receive returns the next response. Its ID must be the path of the request.
func (c *rowConn) receive(t *testing.T, path string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(headerNames.RequestID), path)
	return resp, string(body)
}

func (c *rowConn) wantOK(t *testing.T, path string) *http.Response {
	t.Helper()
	resp, body := c.receive(t, path)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Equal(t, body, path)
	return resp
}

// requestsCounted returns how many requests of a class the metrics count with a status.
func requestsCounted(g *Gateway, class fleet.Class, status string) int64 {
	return g.metrics.Registry.Counter("gateway.requests", telemetry.Label{Key: "service", Value: "s"},
		telemetry.Label{Key: "class", Value: class.String()}, telemetry.Label{Key: "status", Value: status}).Count()
}

func startedEarly(g *Gateway, o pipeline.Outcome) int64 {
	return g.metrics.Registry.Counter("gateway.pipeline", telemetry.Label{Key: "outcome", Value: string(o)}).Count()
}

// TestRowOfLookupsRunsSideBySide answers a caller that sends eight lookups of 200 ms on one
// connection: they took 1.6 s one after the other.
func TestRowOfLookupsRunsSideBySide(t *testing.T) {
	const n, rows, delay, bound = 8, 5, 200 * time.Millisecond, 450 * time.Millisecond
	g, b, _ := launchForRows(t, testDocument(), 200*time.Millisecond, delay)
	var byPlace [n][]time.Duration
	for range rows {
		c := dialRow(t, g)
		begin := time.Now()
		c.send(t, rowOf(n))
		for i := range n {
			c.wantOK(t, fmt.Sprint("/get/", i))
			byPlace[i] = append(byPlace[i], time.Since(begin))
		}
		took := time.Since(begin)
		assert.Assert(t, took < bound, "%v", took)
	}
	for i, took := range byPlace {
		slices.Sort(took)
		t.Logf("place %d: median %v, longest %v", i+1, took[rows/2], took[rows-1])
	}
	assert.Equal(t, totalRuns(b), n*rows)
	waitCounted(t, g, fleet.Lookup, "200", n*rows)
	assert.Equal(t, startedEarly(g, pipeline.Used), int64((n-1)*rows))
}

// waitCounted waits until the metrics count n requests of a class with a status, and checks that there
// are no more.
func waitCounted(t *testing.T, g *Gateway, class fleet.Class, status string, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if requestsCounted(g, class, status) >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d requests are counted", requestsCounted(g, class, status), n)
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, requestsCounted(g, class, status), n)
}

// A request that may run once only waits for those before it, whatever its method.
func TestRowWithRequestsThatRunOnce(t *testing.T) {
	const delay = 50 * time.Millisecond
	g, b, _ := launchForRows(t, testDocument(), 200*time.Millisecond, delay)
	c := dialRow(t, g)
	begin := time.Now()
	c.send(t, rowRequest("GET", "/get/1", "")+rowRequest("POST", "/buy/2", "order")+rowRequest("GET", "/buy/3", "")+rowRequest("GET", "/get/4", ""))
	for _, path := range []string{"/get/1", "/buy/2", "/buy/3", "/get/4"} {
		c.wantOK(t, path)
	}
	assert.Assert(t, time.Since(begin) >= 4*delay)
	assert.Equal(t, totalRuns(b), 4)
	assert.Equal(t, startedEarly(g, pipeline.Used), int64(0))
}

// TestCallerOfRowLeaves answers a caller that leaves while requests stand unread: targets
// stop working for it within half a second.
func TestCallerOfRowLeaves(t *testing.T) {
	const bound = 500 * time.Millisecond
	g, b, _ := launchForRows(t, testDocument(), 200*time.Millisecond, 3*time.Second)
	c := dialRow(t, g)
	const n = 3
	first, behind := rowUnder("/file/", 1), strings.TrimPrefix(rowUnder("/file/", n), rowUnder("/file/", 1))
	c.send(t, first)
	waitForRuns(t, b, 1)
	c.send(t, behind+"GET /file/unfinished HT")
	waitForRuns(t, b, n)
	assert.NilError(t, c.Close())
	begin := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, abandoned := b.counts(); abandoned == n {
			return poll.Success()
		}
		return poll.Continue("the target is still working")
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	took := time.Since(begin)
	assert.Assert(t, took < bound, "%v", took)
	t.Logf("the target saw the last cancellation after %v", took)
	waitCounted(t, g, fleet.Download, "0", n)
	assert.Equal(t, startedEarly(g, pipeline.Canceled), int64(n-1))
}

// A caller that ends its side of the connection counts as one that left: it gets no response,
// rather than an empty one that looks complete.
func TestCallerThatClosesItsSideGetsNoEmptyResponse(t *testing.T) {
	g, _, _ := launchForRows(t, testDocument(), 200*time.Millisecond, 100*time.Millisecond)
	for _, n := range []int{1, 3} {
		c := dialRow(t, g)
		c.send(t, rowOf(n))
		assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
		responses, err := io.ReadAll(c.reader)
		assert.NilError(t, err)
		assert.Equal(t, string(responses), "")
	}
}

func waitForRuns(t *testing.T, b *backend, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if totalRuns(b) >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d requests run", totalRuns(b), n)
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
}

// A stop serves the requests of a row that have been started, and closes the connection
// behind the last of them. What stands behind has not run.
func TestStopInTheMiddleOfRow(t *testing.T) {
	const delay, grace, started = 200 * time.Millisecond, 2 * time.Second, 4
	g, b, stop := launchForRows(t, testDocument(), grace, delay)
	c := dialRow(t, g)
	c.send(t, rowOf(started)+rowRequest("POST", "/buy/1", "order"))
	waitForRuns(t, b, started)
	stop()
	for i := range started {
		resp := c.wantOK(t, fmt.Sprint("/get/", i))
		assert.Equal(t, resp.Close, i == started-1, "response %d", i)
	}
	_, err := c.reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is open")
	assert.Equal(t, totalRuns(b), started)
	assert.Equal(t, startedEarly(g, pipeline.Canceled), int64(0))
}

// A stop while responses wait for their turn: the last of them closes the connection.
func TestStopWhileResponsesAwaitTurn(t *testing.T) {
	const delay, grace = 100 * time.Millisecond, 2 * time.Second
	g, b, stop := launchForRows(t, testDocument(), grace, delay)
	c := dialRow(t, g)
	c.send(t, rowRequest("GET", "/get/slow", "")+rowOf(2))
	waitForRuns(t, b, 3)
	time.Sleep(2 * delay) // the responses behind the slow one are there
	stop()
	assert.Assert(t, !c.wantOK(t, "/get/slow").Close)
	assert.Assert(t, !c.wantOK(t, "/get/0").Close)
	assert.Assert(t, c.wantOK(t, "/get/1").Close)
}

// A row gets as many refusals by a quota as requests that are sent one after the other.
func TestQuotaOfRow(t *testing.T) {
	const n, rate, burst = 8, 1, 4
	d := tenantDocument(document.Tenant{Name: "a", Keys: []credential.Key{goodKey}, Rate: rate, Burst: burst})
	sequential, sequentialTarget, _ := launchForRows(t, d, 200*time.Millisecond, 0)
	ahead, aheadTarget, _ := launchForRows(t, d, 200*time.Millisecond, 0)
	time.Sleep(bucketFillTime + burst/rate*time.Second)
	want := grantedOfRow(t, sequential, n, false)
	got := grantedOfRow(t, ahead, n, true)
	assert.Equal(t, got, want)
	assert.Assert(t, got > 0 && got < n, "%d", got)
	assert.Equal(t, totalRuns(sequentialTarget), want)
	assert.Equal(t, totalRuns(aheadTarget), got)
	waitCounted(t, ahead, fleet.Lookup, "200", int64(got))
}

// grantedOfRow sends n lookups with a key, ahead or one after the other, and returns how many
// are served. The others must be refused by the quota.
func grantedOfRow(t *testing.T, g *Gateway, n int, ahead bool) int {
	var row []string
	for i := range n {
		r := rowRequest("GET", fmt.Sprint("/get/", i), "")
		row = append(row, strings.Replace(r, "\r\n", "\r\nAuthorization: Token "+goodKey+"\r\n", 1))
	}
	c := dialRow(t, g)
	if ahead {
		c.send(t, strings.Join(row, ""))
	}
	granted := 0
	for i := range n {
		if !ahead {
			c.send(t, row[i])
		}
		resp, body := c.receive(t, fmt.Sprint("/get/", i))
		if resp.StatusCode == http.StatusOK {
			granted++
			continue
		}
		assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests, body)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	return granted
}

// A connection that is idle after a row is closed like any other.
func TestIdleConnectionAfterRow(t *testing.T) {
	g, _, _ := launchForRows(t, testDocument(), 200*time.Millisecond, 0)
	c := dialRow(t, g)
	c.send(t, rowOf(3))
	for i := range 3 {
		c.wantOK(t, fmt.Sprint("/get/", i))
	}
	begin := time.Now()
	_, err := c.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	took := time.Since(begin)
	assert.Assert(t, took > idleTimeout-50*time.Millisecond && took < idleTimeout+500*time.Millisecond, "%v", took)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open, busy := g.callerServer.connCounts(); open == 0 && busy == 0 {
			return poll.Success()
		}
		return poll.Continue("the connection is counted")
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	waitHeld(t, g, 0)
}

// Many connections with rows get all of their responses, and leave no memory behind.
func TestManyConnectionsWithRows(t *testing.T) {
	const connections = 1000
	d := testDocument()
	d.Limits.IdleTimeout = time.Minute // connections wait until others have had theirs
	g, b, _ := launchForRows(t, d, 200*time.Millisecond, 5*time.Millisecond)
	conns := make([]*rowConn, connections)
	for i := range conns {
		conns[i] = dialRow(t, g)
	}
	var wg sync.WaitGroup
	limit := make(chan struct{}, rowSlots/2)
	for _, c := range conns {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			if _, err := io.WriteString(c, rowOf(2)); err != nil {
				t.Error(err)
				return
			}
			for range 2 {
				resp, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				assert.Check(t, resp.StatusCode == http.StatusOK, "%d", resp.StatusCode)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, totalRuns(b), 2*connections)
	waitHeld(t, g, connections*callers.ConnBytes)
}

// waitHeld waits until no more is held for callers than the given bytes.
func waitHeld(t *testing.T, g *Gateway, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := g.handler.Callers.Held(); held != want {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
}
