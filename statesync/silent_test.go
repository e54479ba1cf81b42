package statesync

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/tcpproxy"
)

// pullBound is the part that pulls may take of the 2 s within which a change must be in force: a
// read that waits for a silent connection takes most of the rest.
const pullBound = 400 * time.Millisecond

// peerBehindProxy is a peer whose connections can go silent.
type peerBehindProxy struct {
	state *State
	proxy *tcpproxy.Proxy
}

func startPeer(t *testing.T) *peerBehindProxy {
	p := &peerBehindProxy{state: NewState(0, nil)}
	server := httptest.NewServer(p.state)
	t.Cleanup(server.CloseClientConnections)
	var err error
	p.proxy, err = tcpproxy.Listen("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(p.proxy.Close)
	return p
}

// TestPullIsNotDelayedBySilentConnections guards against pulls that wait for their timeout on
// connections to peers that were kept from earlier pulls and have gone silent.
func TestPullIsNotDelayedBySilentConnections(t *testing.T) {
	for _, peerCount := range []int{1, 2, 12} {
		t.Run(fmt.Sprint(peerCount, " peers"), func(t *testing.T) {
			t.Parallel()
			var peers []*peerBehindProxy
			for range peerCount {
				peers = append(peers, startPeer(t))
			}
			ahead := peers
			view := func() mesh.View {
				v := mesh.View{At: time.Now()}
				for _, p := range ahead {
					version, position := p.state.Versions()
					v.Members = append(v.Members, mesh.Member{Addr: p.proxy.Addr(), Document: version, Registry: position, LastReceived: time.Now()})
				}
				return v
			}
			own := NewState(0, nil)
			own.storeOnly = false
			f := NewFollower(Options{State: own, Peers: view})
			for version, p := range peers { // one pull from each, whose connection is kept
				p.state.applyDocument(documentOf(document.Version(version+1)), "test")
				ahead = peers[version : version+1]
				assert.Assert(t, f.pullFromPeers(context.Background(), Documents))
				assert.Equal(t, own.version(), document.Version(version+1))
			}
			ahead = peers
			for _, p := range peers {
				p.proxy.Silence()
				p.state.applyDocument(documentOf(document.Version(peerCount+1)), "test")
			}
			began := time.Now()
			for !f.pullFromPeers(context.Background(), Documents) {
				time.Sleep(pullRetryDelay)
			}
			took := time.Since(began)
			t.Logf("pulled %v after the connections went silent", took)
			assert.Equal(t, own.version(), document.Version(peerCount+1))
			assert.Assert(t, took < pullBound, "the pull took %v", took)
		})
	}
}
