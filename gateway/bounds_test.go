package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/endless"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/relay"
)

// sendEndlessHead responds with a header that does not end.
func sendEndlessHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the caller has disconnected
	}
	defer conn.Close()
	_ = endless.Write(conn, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n") // ends when the instance closes the connection
}

// failProbability returns the estimated failure probability of a target.
func failProbability(g *Gateway, id fleet.TargetID) float64 {
	for _, e := range g.knowledge.HealthEstimates(time.Now()) {
		if e.Target == id {
			return float64(e.Permille) / 1000
		}
	}
	return 0
}

// TestEndlessTargetIsLeft has the pattern of a target in trouble that sends bytes without end. Requests that may be
// repeated are served by another target at once, others are answered at once and run once, and the target is soon
// taken for sick.
func TestEndlessTargetIsLeft(t *testing.T) {
	sick, sound := newBackend(t, sendEndlessHead), newBackend(t, respondWith(http.StatusOK))
	store := &fakeStore{document: testDocument()}
	url, g, _ := launchGateway(t, 200*time.Millisecond, store, sick, sound)
	waitReady(t, g)
	const requests = 40
	for range requests {
		var status int
		var body string
		endless.Check(t, func() { status, body, _ = sendRequest(t.Context(), t, "GET", url+"/get/1") })
		assert.Equal(t, status, http.StatusOK, body)
	}
	runs, _, _ := sick.counts()
	assert.Assert(t, runs > 0, "the target was never asked")
	assert.Assert(t, runs < requests/4, "%d of %d requests went to the sick target", runs, requests)
	assert.Assert(t, failProbability(g, "t0") > 0.5, "%v", failProbability(g, "t0"))
	assert.Assert(t, failProbability(g, "t1") < 0.2, "%v", failProbability(g, "t1"))
}

// TestEndlessResponseToConfirmation checks that a request that must not run twice is answered at once, and as one
// that may have run.
func TestEndlessResponseToConfirmation(t *testing.T) {
	sick := newBackend(t, sendEndlessHead)
	url := startGateway(t, sick)
	var status int
	var body string
	endless.Check(t, func() { status, body, _ = sendRequest(t.Context(), t, "POST", url+"/long/1") })
	assert.Equal(t, status, http.StatusBadGateway, body)
	assert.Equal(t, totalRuns(sick), 1)
}

// TestEndlessCallers answers callers that send bytes without end, to each server of an instance: the connection is
// closed at once, with little memory held.
func TestEndlessCallers(t *testing.T) {
	store := &fakeStore{document: testDocument()}
	store.document.Limits.BodyBytes = maxResponseBytes
	s := testSettings(t)
	store.addTargets(newBackend(t, respondWith(http.StatusOK)))
	_, g, _ := launch(t, s, store, func(*Gateway) {})
	waitReady(t, g)
	const post, head = "POST /long/1 HTTP/1.1\r\n", "Host: h\r\nX-Id: r1\r\n"
	const chunked = post + head + "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("a", 1000)
	requests := []struct{ name, first, repeat string }{
		{"no request at all", "", "\x00\x01garbage"},
		{"request line", "POST /", line},
		{"header line", post + "X-A: ", line},
		{"header lines", post, "X-A: b\r\n"},
		{"short header lines", post, "a:\r\n"},
		{"folded header line", post + "X-A: b", "\r\n b"},
		{"chunked body", chunked, "3e8\r\n" + line + "\r\n"},
		{"tiny chunks", chunked, "1\r\na\r\n"},
		{"chunk extension", chunked + "1;a=", line},
		{"trailer lines", chunked + "0\r\n", "X-T: a\r\n"},
		{"relayed chunked body", strings.Replace(chunked, "/long/1", relay.Path, 1), "3e8\r\n" + line + "\r\n"},
		{"relayed request too long", "POST " + relay.Path + " HTTP/1.1\r\n" + head + "Content-Length: 99999999999\r\n\r\n", line},
	}
	for server, addr := range map[string]string{"callers": s.Listen, "instances": s.PeerListen, "operators": s.ReadyListen} {
		for _, r := range requests {
			t.Run(server+"/"+r.name, func(t *testing.T) {
				c, err := net.Dial("tcp4", addr)
				assert.NilError(t, err)
				defer c.Close()
				assert.NilError(t, c.SetDeadline(time.Now().Add(2*endless.MaxTime)))
				endless.Check(t, func() { _ = endless.Write(c, r.first, r.repeat) })
			})
		}
	}
}
