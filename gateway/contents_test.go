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

// abortDeadly aborts the connection during a request to the deadly path, and serves others.
func abortDeadly(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/deadly") {
		panic(http.ErrAbortHandler)
	}
	respondWith(http.StatusOK)(w, r)
}

// lossesAt returns sequential losses at processes of one target. The last ended the given time ago.
func lossesAt(now time.Time, target fleet.TargetID, ago time.Duration, count int) []quarantine.Loss {
	const took = 50 * time.Millisecond
	var ls []quarantine.Loss
	for n := range count {
		ended := now.Add(-ago - time.Duration(count-1-n)*took)
		ls = append(ls, quarantine.Loss{Process: quarantine.Process{Target: target, Born: int64(n)}, Began: ended.Add(-took), Ended: ended})
	}
	return ls
}

// deadlyContent returns the content of a request that the tests send to a path.
func deadlyContent(method, path string) *quarantine.Content {
	return &quarantine.Content{Method: method, Host: "h", URI: path, Body: []byte("order")}
}

// addLosses reports losses of a content to an instance as a peer does.
func addLosses(g *Gateway, c *quarantine.Content, count int) { addLossesAt(g, c, count, time.Second) }

// addLossesAt is like addLosses, with the last loss the given time ago.
func addLossesAt(g *Gateway, c *quarantine.Content, count int, ago time.Duration) {
	now := time.Now()
	e := quarantine.Evidence{Content: c.Fingerprint(), Losses: lossesAt(now, fleet.TargetID(c.URI), ago, count)}
	g.handlePacket(now, &mesh.Packet{Addr: "127.0.0.9:1", Zone: "a", Boot: 1, Contents: []mesh.ContentEvidence{encodeContent(now, &e)}})
}

func crashingBackends(t *testing.T) []*backend {
	var bs []*backend
	for range 5 {
		bs = append(bs, newBackend(t, abortDeadly))
	}
	return bs
}

// TestQuarantinedRequestIsRefusedImmediately checks that a quarantined request reaches no target and
// that its caller gets a Retry-After, while other requests are served.
func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	bs := crashingBackends(t)
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
	waitReady(t, g)
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/get/deadly", "POST": "/buy/deadly"}[method]
		addLosses(g, deadlyContent(method, path), 3)
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

// TestSuspectedRequestReachesFewTargets checks that losses reported by peers bound the targets that a
// request reaches.
func TestSuspectedRequestReachesFewTargets(t *testing.T) {
	for losses, want := range map[int]int{0: 2, 1: 1, 2: 1} {
		t.Run(fmt.Sprint(losses, " losses reported"), func(t *testing.T) {
			bs := crashingBackends(t)
			url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
			waitReady(t, g)
			if losses > 0 {
				addLosses(g, deadlyContent("GET", "/get/deadly"), losses)
			}
			status, _, _ := sendRequest(t.Context(), t, "GET", url+"/get/deadly")
			assert.Equal(t, status, http.StatusBadGateway, "the request may have run")
			assert.Equal(t, totalRuns(bs...), want)
		})
	}
}

// TestSuccessfulTrialEndsQuarantine checks that one request at one target ends the quarantine of a
// content that no longer crashes targets, and that a failed trial keeps it.
func TestSuccessfulTrialEndsQuarantine(t *testing.T) {
	for path, want := range map[string]int{"/get/mended": http.StatusOK, "/get/deadly": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			bs := crashingBackends(t)
			url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
			waitReady(t, g)
			addLossesAt(g, deadlyContent("GET", path), 3, 3*time.Minute)
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

// TestOneInstanceRunsTrials checks that exactly one instance of the fleet runs the trials of a
// content.
func TestOneInstanceRunsTrials(t *testing.T) {
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
			return poll.Continue("not all instances have been discovered")
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	chosen := make(map[int]int)
	for n := range 60 {
		f, here := deadlyContent("GET", fmt.Sprint("/get/", n)).Fingerprint(), 0
		for i, g := range gs {
			if g.runsTrials(f) {
				here++
				chosen[i]++
			}
		}
		assert.Equal(t, here, 1)
	}
	assert.Equal(t, len(chosen), len(gs), "an instance runs no trials")
}

// TestGreetingIncludesContents checks that the first packet to a new instance has the contents under
// restriction. Without them the new process would lose targets to each again.
func TestGreetingIncludesContents(t *testing.T) {
	bs := crashingBackends(t)
	_, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, bs...)
	c := deadlyContent("GET", "/get/deadly")
	addLosses(g, c, 3)
	var p mesh.Packet
	g.fillGreeting(time.Now(), &p)
	fresh := quarantine.New(logStandingChange)
	for i := range p.Contents {
		fresh.Merge(time.Now(), decodeContent(time.Now(), &p.Contents[i]), "peer")
	}
	assert.Equal(t, fresh.Standing(time.Now().Add(time.Second), c), quarantine.Quarantined)
}

// TestOperatorLiftsQuarantine checks that a quarantine is listed, lifted by its fingerprint, and the
// content served again.
func TestOperatorLiftsQuarantine(t *testing.T) {
	b := newBackend(t, respondWith(http.StatusOK))
	url, g, _ := launchGateway(t, 200*time.Millisecond, &fakeStore{document: testDocument()}, b)
	waitReady(t, g)
	c := deadlyContent("GET", "/get/deadly")
	addLosses(g, c, 3)
	time.Sleep(200 * time.Millisecond) // until the proof is settled
	assert.Equal(t, send(t, "GET", url+"/get/deadly").StatusCode, http.StatusServiceUnavailable)

	list, code := runReelctl(t, g, "content", "list", "-o", "json")
	assert.Equal(t, code, reelctl.ExitOK)
	var reports []quarantine.Report
	assert.NilError(t, json.Unmarshal([]byte(list), &reports))
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].Content, c.Fingerprint().String())
	assert.Equal(t, len(reports[0].Targets), 3)
	list, _ = runReelctl(t, g, "content", "list")
	assert.Assert(t, strings.Contains(list, "quarantined"), list)

	_, code = runReelctl(t, g, "content", "lift", "12")
	assert.Equal(t, code, reelctl.ExitUsage)
	_, code = runReelctl(t, g, "content", "lift", deadlyContent("GET", "/get/other").Fingerprint().String())
	assert.Equal(t, code, reelctl.ExitRefused)
	_, code = runReelctl(t, g, "content", "lift", reports[0].Content)
	assert.Equal(t, code, reelctl.ExitOK)
	assert.Equal(t, send(t, "GET", url+"/get/deadly").StatusCode, http.StatusOK)
}

// runReelctl runs a reelctl command against an instance and returns its output and exit code.
func runReelctl(t *testing.T, g *Gateway, args ...string) (string, int) {
	var commands reelctl.Commands
	var out strings.Builder
	k, err := kong.Must(&commands, kong.Name("reelctl")).Parse(append(args, "--admin", g.settings.ReadyListen))
	assert.NilError(t, err)
	code := reelctl.ExitCode(k.Run(&reelctl.App{Context: t.Context(), Out: &out}))
	return out.String(), code
}
