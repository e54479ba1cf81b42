package statesync

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// serveState serves a state to peers and returns the address and a follower that is behind it.
func serveState(t *testing.T, h http.Handler, versions mesh.Member) *Follower {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	versions.Addr, versions.LastReceived = strings.TrimPrefix(server.URL, "http://"), time.Now()
	own := NewState(0, nil)
	own.storeOnly = false
	return NewFollower(Options{State: own, Peers: func() mesh.View { return mesh.View{At: versions.LastReceived, Members: []mesh.Member{versions}} }})
}

// TestSlowDocumentArrives guards against a pull that ends after a total time, however much of the
// document has arrived.
func TestSlowDocumentArrives(t *testing.T) {
	t.Parallel()
	const pause = stallTimeout / 2
	sender := NewState(0, nil)
	sender.applyDocument(documentWithRoutes(2, 2000), "test")
	f := serveState(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d, err := sender.documentTransfer(0)
		assert.Check(t, err)
		body, err := cbor.Marshal(d)
		assert.Check(t, err)
		const segments = 8
		for n := range segments {
			_, _ = w.Write(body[n*len(body)/segments : (n+1)*len(body)/segments])
			assert.Check(t, http.NewResponseController(w).Flush())
			time.Sleep(pause)
		}
	}), mesh.Member{Document: 2})
	began := time.Now()
	assert.Assert(t, f.pullFromPeers(t.Context(), Documents))
	assert.Assert(t, time.Since(began) > pullTimeout, "the test must last longer than that")
	assert.Equal(t, f.opts.State.version(), document.Version(2))
}

// TestPullWithoutProgressIsGivenUp guards against a transfer that stands still for good.
func TestPullWithoutProgressIsGivenUp(t *testing.T) {
	t.Parallel()
	stop := make(chan struct{})
	f := serveState(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte{0xa4})
		assert.Check(t, http.NewResponseController(w).Flush())
		<-stop
	}), mesh.Member{Document: 2})
	defer close(stop)
	began := time.Now()
	assert.Assert(t, !f.pullFromPeers(t.Context(), Documents))
	assert.Assert(t, time.Since(began) < 2*stallTimeout+pullTimeout)
}

// TestBusyPeerDeclines checks that a peer that sends to as many others as its link bears declines, and
// still sends news of targets.
func TestBusyPeerDeclines(t *testing.T) {
	t.Parallel()
	sender := NewState(0, nil)
	sender.applyDocument(documentWithRoutes(2, 2000), "test")
	sender.applyBatch(Targets, Batch{Next: 1, Records: []Record{record(0, "a")}}, "test")
	_, position := sender.Versions()
	for {
		if _, _, ok := sender.transfers.Start(transfer.SmallBytes + 1); !ok {
			break
		}
	}
	f := serveState(t, sender, mesh.Member{Document: 2, Registry: position})
	outcome, retryAfter := f.pullOnce(t.Context(), f.pullKinds[Documents])
	assert.Equal(t, outcome, pullDeclined)
	assert.Assert(t, retryAfter > 0)
	assert.Assert(t, f.pullFromPeers(t.Context(), Targets))
	assert.Equal(t, f.opts.State.Targets().Len(), 1)
	assert.Equal(t, f.opts.State.version(), document.Version(0))
}

// TestDocumentOfPeerOfEarlierVersion covers a release: instances of the previous version serve the
// document as a part of the whole state only.
func TestDocumentOfPeerOfEarlierVersion(t *testing.T) {
	t.Parallel()
	sender := NewState(0, nil)
	sender.applyBatch(Documents, Batch{Next: 9, Records: []Record{{Offset: 8, Document: documentOf(2)}}}, "test")
	mux := http.NewServeMux()
	mux.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		q.Del(paramPart)
		r.URL.RawQuery = q.Encode()
		sender.ServeHTTP(w, r)
	})
	f := serveState(t, mux, mesh.Member{Document: 2})
	assert.Assert(t, f.pullFromPeers(t.Context(), Documents))
	assert.Equal(t, f.opts.State.version(), document.Version(2))
}

// TestTargetsAloneKeepThePositionOfDocuments guards against a reader that takes over the position of a
// peer whose document it does not have, and never reads that document.
func TestTargetsAloneKeepThePositionOfDocuments(t *testing.T) {
	sender, receiver := NewState(0, nil), NewState(0, nil)
	sender.applyBatch(Documents, Batch{Next: 9, Records: []Record{{Offset: 8, Document: documentOf(2)}}}, "test")
	receiver.applyPeerSnapshot(sender.peerSnapshot(pullRequest{targetsOnly: true}), "peer", false)
	assert.Equal(t, receiver.next(Documents), registry.Position{})
	d, err := sender.documentTransfer(0)
	assert.NilError(t, err)
	assert.NilError(t, receiver.applyDocumentTransfer(d, "peer"))
	assert.Equal(t, receiver.next(Documents), sender.next(Documents))
	assert.Assert(t, receiver.applyDocumentTransfer(&DocumentTransfer{Version: 3, Encoded: d.Encoded}, "peer") != nil)
	assert.Assert(t, errors.Is(checkStatus(&http.Response{StatusCode: http.StatusNotFound}, DocumentPath), errNoDocumentPath))
}
