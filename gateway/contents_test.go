package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/reelctl"
)

// breaks ends the connection in the midst of a request whose path is the deadly one.
func breaks(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/deadly") {
		panic(http.ErrAbortHandler)
	}
	respondWith(http.StatusOK)(w, r)
}

// lossesAt are losses at processes of one target, each after the one before; the last
// ended the given time ago.
func lossesAt(now time.Time, target fleet.TargetID, ago time.Duration, count int) []quarantine.Loss {
	const took = 50 * time.Millisecond
	var ls []quarantine.Loss
	for n := range count {
		ended := now.Add(-ago - time.Duration(count-1-n)*took)
		ls = append(ls, quarantine.Loss{Process: quarantine.Process{Target: target, Born: int64(n)}, Began: ended.Add(-took), Ended: ended})
	}
	return ls
}

// deadly is the content that ask sends to the deadly path.
func deadly(method, path string) *quarantine.Content {
	return &quarantine.Content{Method: method, Host: "h", URI: path, Body: []byte("order")}
}

// told makes an instance hear of losses of a content from a peer.
func told(g *Gateway, c *quarantine.Content, count int) { toldOf(g, c, count, time.Second) }

// toldOf is the same; the last ended the given time ago.
func toldOf(g *Gateway, c *quarantine.Content, count int, ago time.Duration) {
	now := time.Now()
	e := quarantine.Evidence{Content: c.Fingerprint(), Losses: lossesAt(now, fleet.TargetID(c.URI), ago, count)}
	g.handlePacket(now, &mesh.Packet{Addr: "127.0.0.9:1", Zone: "a", Boot: 1, Contents: []mesh.ContentEvidence{encodeContent(now, &e)}})
}

func backendsThatBreak(t *testing.T) []*backend {
	var bs []*backend
	for range 5 {
		bs = append(bs, newBackend(t, breaks))
	}
	return bs
}

// TestAQuarantinedRequestIsRefusedAtOnce: it reaches no target, and callers are told when to come
// back. Others are served.
func TestAQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	bs := backendsThatBreak(t)
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
	waitReady(t, g)
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/get/deadly", "POST": "/buy/deadly"}[method]
		told(g, deadly(method, path), 3)
		time.Sleep(200 * time.Millisecond) // until the proof is settled
		resp := send(t, method, url+path)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > time.Minute.Seconds(), after)
	}
	assert.Equal(t, totalRuns(bs...), 0)
	status, _, _ := sendRequest(t.Context(), t, "GET", url+"/get/1")
	assert.Equal(t, status, http.StatusOK)
}

func send(t *testing.T, method, url string) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader("order"))
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set(headerNames.RequestID, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// TestARequestUnderSuspicionSpendsFewTargets: what is known from peers bounds the targets of a request.
func TestARequestUnderSuspicionSpendsFewTargets(t *testing.T) {
	for known, want := range map[int]int{0: 2, 1: 1, 2: 1} {
		t.Run(fmt.Sprint(known, " losses known"), func(t *testing.T) {
			bs := backendsThatBreak(t)
			url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
			waitReady(t, g)
			if known > 0 {
				told(g, deadly("GET", "/get/deadly"), known)
			}
			status, _, _ := sendRequest(t.Context(), t, "GET", url+"/get/deadly")
			assert.Equal(t, status, http.StatusBadGateway, "it may have run")
			assert.Equal(t, totalRuns(bs...), want)
		})
	}
}

// TestAContentThatNoLongerCrashesTargetsIsServedAgain: one request shows it, at one target.
func TestAContentThatNoLongerCrashesTargetsIsServedAgain(t *testing.T) {
	for path, want := range map[string]int{"/get/mended": http.StatusOK, "/get/deadly": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			bs := backendsThatBreak(t)
			url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
			waitReady(t, g)
			toldOf(g, deadly("GET", path), 3, 3*time.Minute)
			time.Sleep(200 * time.Millisecond) // until the proof is settled
			assert.Equal(t, send(t, "GET", url+path).StatusCode, want)
			assert.Equal(t, totalRuns(bs...), 1)
			if want != http.StatusOK {
				want = http.StatusServiceUnavailable
			}
			assert.Equal(t, send(t, "GET", url+path).StatusCode, want)
		})
	}
}

// TestOneInstanceTriesAContent: whichever of the fleet it comes to.
func TestOneInstanceTriesAContent(t *testing.T) {
	var gs []*Gateway
	for range 3 {
		_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, newBackend(t, respondWith(http.StatusOK)))
		gs = append(gs, g)
	}
	for _, g := range gs {
		g.node.AddPeers([]string{gs[0].node.Addr(), gs[1].node.Addr(), gs[2].node.Addr()})
	}
	for _, g := range gs {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if g.node.View().ZoneInstances() == len(gs) {
				return poll.Success()
			}
			return poll.Continue("not all are known")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	chosen := make(map[int]int)
	for n := range 60 {
		f, here := deadly("GET", fmt.Sprint("/get/", n)).Fingerprint(), 0
		for i, g := range gs {
			if g.triesHere(f) {
				here++
				chosen[i]++
			}
		}
		assert.Equal(t, here, 1)
	}
	assert.Equal(t, len(chosen), len(gs), "each has its part")
}

// TestWhatAPeerKnowsOfContentsComesWithItsGreeting: a process that has just started would find
// each request out by itself.
func TestWhatAPeerKnowsOfContentsComesWithItsGreeting(t *testing.T) {
	bs := backendsThatBreak(t)
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
	c := deadly("GET", "/get/deadly")
	told(g, c, 3)
	var p mesh.Packet
	g.fillGreeting(time.Now(), &p)
	fresh := quarantine.New(logContent)
	for i := range p.Contents {
		fresh.Take(time.Now(), decodeContent(time.Now(), &p.Contents[i]), "peer")
	}
	assert.Equal(t, fresh.Standing(time.Now().Add(time.Second), c), quarantine.Quarantined)
}

// TestAnOperatorLiftsAQuarantine: it is listed, lifted by its name, and served again.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	b := newBackend(t, respondWith(http.StatusOK))
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, b)
	waitReady(t, g)
	c := deadly("GET", "/get/deadly")
	told(g, c, 3)
	time.Sleep(200 * time.Millisecond) // until the proof is settled
	assert.Equal(t, send(t, "GET", url+"/get/deadly").StatusCode, http.StatusServiceUnavailable)

	list, code := operate(t, g, "content", "list", "-o", "json")
	assert.Equal(t, code, reelctl.ExitOK)
	var reports []quarantine.Report
	assert.NilError(t, json.Unmarshal([]byte(list), &reports))
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Content, c.Fingerprint().String())
	assert.Equal(t, len(reports[0].Targets), 3)
	list, _ = operate(t, g, "content", "list")
	assert.Assert(t, strings.Contains(list, "quarantined"), list)

	_, code = operate(t, g, "content", "lift", "12")
	assert.Equal(t, code, reelctl.ExitUsage)
	_, code = operate(t, g, "content", "lift", deadly("GET", "/get/other").Fingerprint().String())
	assert.Equal(t, code, reelctl.ExitRefused)
	_, code = operate(t, g, "content", "lift", reports[0].Content)
	assert.Equal(t, code, reelctl.ExitOK)
	assert.Equal(t, send(t, "GET", url+"/get/deadly").StatusCode, http.StatusOK)
}

// operate runs a command of reelctl against an instance and returns its output and exit code.
func operate(t *testing.T, g *Gateway, args ...string) (string, int) {
	var commands reelctl.Commands
	var out strings.Builder
	k, err := kong.Must(&commands, kong.Name("reelctl")).Parse(append(args, "--admin", g.settings.ReadyListen))
	assert.NilError(t, err)
	code := reelctl.ExitCode(k.Run(&reelctl.App{Context: t.Context(), Out: &out}))
	return out.String(), code
}
