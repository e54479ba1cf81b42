package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
)

// quickCalls find a cut soon, and leave a busy machine its time.
var quickCalls = Settings{
	PingAfter:      20 * time.Millisecond,
	PingTimeout:    time.Second,
	ConnectTimeout: time.Second,
}

// echo answers with the caller's name and the body.
func echo(w http.ResponseWriter, r *http.Request) {
	from, _ := Sender(r.Context())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, from.String()+" "+string(body))
}

func post(ctx context.Context, n *node, to fleet.InstanceID, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, URL(to)+"/echo", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	resp, err := n.transport.Client().Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func startEcho(t *testing.T, count int, s Settings) (*cuts, []*node) {
	t.Helper()
	t.Parallel()
	network, nodes := newNodes(t, count, s)
	for _, n := range nodes {
		n.server.Handle("/echo", http.HandlerFunc(echo))
		n.start(t)
	}
	return network, nodes
}

func TestCallNamesBothProcesses(t *testing.T) {
	_, nodes := startEcho(t, 2, Settings{})
	resp, body, err := post(t.Context(), nodes[0], "i1", "hello")
	assert.NilError(t, err)
	assert.Equal(t, body, "i0@1 hello")
	assert.Equal(t, resp.Header.Get(HeaderFrom), "i1@1")
	assert.Equal(t, resp.ProtoMajor, 2)
}

func TestUnknownPeer(t *testing.T) {
	_, nodes := startEcho(t, 1, Settings{})
	_, _, err := post(t.Context(), nodes[0], "nobody", "")
	assert.ErrorContains(t, err, ErrUnknownPeer.Error())
}

func TestRelayRoundOneWayCut(t *testing.T) {
	s := quickCalls
	s.RetryMin = 20 * time.Millisecond
	s.Secret = "s3cret"
	t.Run("new connection", func(t *testing.T) { testRelay(t, s, false) })
	t.Run("open connection", func(t *testing.T) { testRelay(t, s, true) })
}

func testRelay(t *testing.T, s Settings, warm bool) {
	network, nodes := startEcho(t, 3, s)
	if warm { // the cut then strikes an open connection
		_, _, err := post(t.Context(), nodes[0], "i1", "warm")
		assert.NilError(t, err)
	}
	network.set("i0", nodes[1].member.Addr, true)

	resp, body, err := post(t.Context(), nodes[0], "i1", "hello")
	assert.NilError(t, err)
	assert.Equal(t, body, "i0@1 hello")
	assert.Equal(t, resp.Header.Get(HeaderFrom), "i1@1")
	assert.Assert(t, nodes[0].transport.Cut("i1"))
	assert.Equal(t, nodes[2].transport.Stats().RelayedIn, int64(1))

	assert.Equal(t, nodes[2].transport.Stats().Unauthorized, int64(0))
	_, body, err = post(t.Context(), nodes[1], "i0", "back")
	assert.NilError(t, err)
	assert.Equal(t, body, "i1@1 back")
	assert.Assert(t, !nodes[1].transport.Cut("i0"))

	network.set("i0", nodes[1].member.Addr, false)
	waitFor(t, "open path", func() bool {
		_, _, err := post(t.Context(), nodes[0], "i1", "again")
		assert.NilError(t, err)
		return !nodes[0].transport.Cut("i1")
	})
}

func TestCutPathIsNotTriedByCalls(t *testing.T) {
	s := quickCalls
	s.RetryMin, s.RetryMax = time.Hour, time.Hour
	network, nodes := startEcho(t, 4, s)
	network.set("i0", nodes[1].member.Addr, true)
	for range 5 {
		_, _, err := post(t.Context(), nodes[0], "i1", "hello")
		assert.NilError(t, err)
	}
	stats := nodes[0].transport.Stats()
	assert.Equal(t, stats.PathsCut, int64(1))
	assert.Equal(t, stats.RelayedOut, int64(5))
}

func TestWithoutRelayFails(t *testing.T) {
	network, nodes := startEcho(t, 3, quickCalls)
	network.set("i0", nodes[1].member.Addr, true)
	_, _, err := post(WithoutRelay(t.Context()), nodes[0], "i1", "hello")
	assert.ErrorContains(t, err, "")
	assert.Equal(t, nodes[0].transport.Stats().RelayedOut, int64(0))
}

func TestRelayThatIsCutTooIsPassedOver(t *testing.T) {
	network, nodes := startEcho(t, 4, quickCalls)
	for _, from := range []string{"i0", "i2"} {
		network.set(from, nodes[1].member.Addr, true)
	}
	for range 6 {
		_, body, err := post(t.Context(), nodes[0], "i1", "hello")
		assert.NilError(t, err)
		assert.Equal(t, body, "i0@1 hello")
	}
}

func TestUnreachableByAll(t *testing.T) {
	s := quickCalls
	s.RetryMin, s.RetryMax = time.Hour, time.Hour
	network, nodes := startEcho(t, 3, s)
	for _, from := range []string{"i0", "i2"} {
		network.set(from, nodes[1].member.Addr, true)
	}
	_, _, err := post(t.Context(), nodes[0], "i1", "hello")
	assert.ErrorContains(t, err, ErrUnreachable.Error())
	assert.Assert(t, nodes[2].transport.Cut("i1"))
	_, _, err = post(t.Context(), nodes[0], "i1", "hello")
	assert.ErrorContains(t, err, ErrUnreachable.Error())
	stats := nodes[2].transport.Stats()
	assert.Equal(t, stats.RelayedIn, int64(2))
	assert.Equal(t, stats.CallsOut, int64(1), "the relay tried a path that it knew to be cut")
}

// With no relay left, a connection that has lost data is replaced.
func TestLostConnectionIsReplaced(t *testing.T) {
	network, nodes := startEcho(t, 2, quickCalls)
	_, _, err := post(t.Context(), nodes[0], "i1", "warm")
	assert.NilError(t, err)
	sent := nodes[0].transport.Stats().BytesOut
	network.set("i0", nodes[1].member.Addr, true)
	go func() {
		waitFor(t, "lost bytes", func() bool { return nodes[0].transport.Stats().BytesOut > sent })
		network.set("i0", nodes[1].member.Addr, false)
	}()
	_, body, err := post(t.Context(), nodes[0], "i1", "hello")
	assert.NilError(t, err)
	assert.Equal(t, body, "i0@1 hello")
}

func TestSlowHandlerIsNotTakenForACut(t *testing.T) {
	t.Parallel()
	_, nodes := newNodes(t, 3, Settings{PingAfter: 20 * time.Millisecond, PingTimeout: patience})
	runs := make(chan struct{}, 10)
	release := make(chan struct{})
	nodes[1].server.Handle("/echo", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- struct{}{}
		<-release
		echo(w, r)
	}))
	for _, n := range nodes {
		n.start(t)
	}
	go func() {
		defer close(release)
		waitFor(t, "pings", func() bool { return nodes[1].transport.Stats().CallsIn > 3 })
	}()
	_, body, err := post(t.Context(), nodes[0], "i1", "slow")
	assert.NilError(t, err)
	assert.Equal(t, body, "i0@1 slow")
	assert.Equal(t, len(runs), 1)
}

func TestShortDeadlinesStillFindTheCut(t *testing.T) {
	network, nodes := startEcho(t, 3, quickCalls)
	_, _, err := post(t.Context(), nodes[0], "i1", "warm")
	assert.NilError(t, err)
	network.set("i0", nodes[1].member.Addr, true)
	waitFor(t, "relayed call", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := post(ctx, nodes[0], "i1", "hello")
		return err == nil
	})
}

func TestLargeBodySurvivesTheRelay(t *testing.T) {
	network, nodes := startEcho(t, 3, quickCalls)
	_, _, err := post(t.Context(), nodes[0], "i1", "warm")
	assert.NilError(t, err)
	network.set("i0", nodes[1].member.Addr, true)
	large := string(bytes.Repeat([]byte("0123456789abcdef"), 1<<16))
	_, body, err := post(t.Context(), nodes[0], "i1", large)
	assert.NilError(t, err)
	assert.Assert(t, body == "i0@1 "+large)
}

// An address that now belongs to another instance runs nothing for the old one.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	_, nodes := newNodes(t, 2, quickCalls)
	var runs atomic.Int64
	nodes[1].server.Handle("/echo", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	nodes[1].start(t)
	old := nodes[1].member
	old.ID = "gone"
	nodes[0].transport.SetView(membership.NewView("i0", []membership.Member{nodes[0].member, old}))
	_, _, err := post(t.Context(), nodes[0], "gone", "hello")
	assert.ErrorContains(t, err, ErrUnreachable.Error())
	assert.Equal(t, runs.Load(), int64(0))
}

func TestPathsFollowTheView(t *testing.T) {
	_, nodes := startEcho(t, 2, Settings{})
	_, _, err := post(t.Context(), nodes[0], "i1", "hello")
	assert.NilError(t, err)
	assert.Equal(t, len(nodes[0].transport.paths), 1)
	nodes[0].transport.SetView(membership.NewView("i0", nil))
	assert.Equal(t, len(nodes[0].transport.paths), 0)
}
