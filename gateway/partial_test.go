package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/partial"
)

// TestPartialResponseIsNotPassedOn guards against a target's response that breaks off anywhere, also in its head, of
// which the caller gets a whole one with a short body.
func TestPartialResponseIsNotPassedOn(t *testing.T) {
	const body = "a body of some bytes"
	var framing atomic.Pointer[string]
	var length atomic.Int64
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the caller has disconnected
		}
		defer conn.Close()
		lines := headerNames.RequestID + ": " + r.Header.Get(headerNames.RequestID) + "\r\n" + headerNames.Seal + ": s\r\n"
		response := partial.Framings(lines, body)[*framing.Load()]
		_, _ = conn.Write([]byte(response[:int64(len(response))-length.Load()]))
	})
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, b)
	waitReady(t, g)
	sent := 0
	send := func() (int, string) {
		sent++
		status, got, _ := sendRequest(t.Context(), t, "POST", fmt.Sprint(url, "/buy/", sent)) // contents of their own
		return status, got
	}
	for name, response := range partial.Framings("", body) {
		framing.Store(&name)
		length.Store(0)
		status, got := send()
		assert.Equal(t, status, http.StatusOK, "%s: %s", name, got)
		assert.Equal(t, got, body, name)
		length.Store(1)
		send() // perhaps on the connection that the target has closed after the whole response: it need not have run
		runs := totalRuns(b)
		for missing := 1; missing <= len(response); missing++ {
			length.Store(int64(missing))
			status, got := send()
			assert.Assert(t, status != http.StatusOK, "%s: %d bytes missing, got %q", name, missing, got)
		}
		assert.Equal(t, totalRuns(b)-runs, len(response), "%s: each request reaches the target", name)
	}
}
