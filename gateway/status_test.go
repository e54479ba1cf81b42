package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/response"
	"github.com/clementinereel/clementinereel/telemetry"
)

// spoilStatus answers the request with a status that HTTP does not have.
func spoilStatus(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has disconnected
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 000 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", headerNames.RequestID, r.Header.Get(headerNames.RequestID), headerNames.Seal)
}

// launchSpoiling starts an instance with two targets that spoil the statuses of their answers for paths that end in
// "spoiled", and answer other requests with their path.
func launchSpoiling(t *testing.T) *Gateway {
	serve := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "spoiled") {
			spoilStatus(w, r)
			return
		}
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(headerNames.Seal, "s")
		_, _ = io.WriteString(w, r.URL.Path)
	}
	store := &fakeStore{document: testDocument()}
	store.addTargets(newBackend(t, serve), newBackend(t, serve))
	settings := testSettings(t)
	settings.Grace = time.Second
	_, g, _ := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	return g
}

// TestInvalidStatusEndsNoConnection guards against the loss of a caller's connection, with other requests on it that
// targets already have, by an answer whose status net/http does not write.
func TestInvalidStatusEndsNoConnection(t *testing.T) {
	g := launchSpoiling(t)
	c := dialRow(t, g)
	c.send(t, rowRequest("GET", "/get/spoiled", "")+rowOf(3)+rowRequest("POST", "/buy/spoiled", "order")+rowUnder("/get/again", 2))
	resp, body := c.receive(t, "/get/spoiled")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
	for i := range 3 {
		c.wantOK(t, fmt.Sprint("/get/", i))
	}
	resp, body = c.receive(t, "/buy/spoiled")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
	for i := range 2 {
		c.wantOK(t, fmt.Sprint("/get/again", i))
	}
}

// TestInvalidStatusIsRetried guards against a failure of a lookup that another target would serve.
func TestInvalidStatusIsRetried(t *testing.T) {
	store := &fakeStore{document: testDocument()}
	store.addTargets(newBackend(t, spoilStatus), newBackend(t, respondWith(http.StatusOK)))
	settings := testSettings(t)
	settings.Grace = time.Second
	url, g, _ := launch(t, settings, store, func(*Gateway) {})
	waitReady(t, g)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body, _ := sendRequest(t.Context(), t, "GET", url+"/get/1")
		assert.Equal(t, status, http.StatusOK, body)
		broken := telemetry.Label{Key: "kind", Value: exchange.Broken.String()}
		if g.metrics.Registry.Counter("gateway.attempts", telemetry.Label{Key: "service", Value: "s"}, broken).Count() > 0 {
			return poll.Success()
		}
		return poll.Continue("no attempt has met the target that spoils its answers")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// TestRelayedOutcomeWithInvalidStatus guards against the same by an answer that another instance passes on.
func TestRelayedOutcomeWithInvalidStatus(t *testing.T) {
	for status, valid := range map[int]bool{0: true, 1: false, 99: false, 200: true, 599: true} {
		body, err := encodeOutcome(outcome{kind: outcomeAnswered, response: &exchange.Response{Status: status}})
		assert.NilError(t, err)
		_, err = decodeOutcome(&exchange.Response{Status: http.StatusOK, Body: body})
		assert.Equal(t, err == nil, valid, "%d: %v", status, err)
	}
}

// TestRelayedOutcomeWithInvalidField guards against field names and values that are none of HTTP's in such an answer.
func TestRelayedOutcomeWithInvalidField(t *testing.T) {
	for _, h := range []http.Header{{"Content-Length ": {"5"}}, {"X\x01A": {"a"}}, {"X-A": {"a\r\nX-B: b"}}} {
		body, err := encodeOutcome(outcome{kind: outcomeAnswered, response: &exchange.Response{Status: http.StatusOK, Header: h}})
		assert.NilError(t, err)
		_, err = decodeOutcome(&exchange.Response{Status: http.StatusOK, Body: body})
		assert.ErrorIs(t, err, response.ErrInvalid, "%q", h)
	}
}
