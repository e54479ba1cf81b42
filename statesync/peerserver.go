package statesync

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// HTTP paths at which instances serve their state to peers.
const (
	// Path serves what the peer lacks of the whole state or of the targets.
	Path = "/peer/state"
	// DocumentPath serves the document alone, so that a big one does not delay news of targets.
	DocumentPath = "/peer/document"
)

// Query parameters of pulls.
const (
	paramDocument = "document" // the requester's version
	paramRegistry = "registry" // the requester's position
	paramEpoch    = "epoch"
	paramFull     = "all"  // requests all targets
	paramPart     = "part" // partTargets, or empty for the whole state
	partTargets   = "targets"
)

// contentEncoding is the encoding of compressed bodies: a raw DEFLATE stream.
const contentEncoding = "deflate"

// compressedBytes is the size from which a body is compressed if the peer accepts that.
const compressedBytes = 4 << 10

// ServeHTTP answers a peer's pull with the state that is newer than the peer's.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := parsePullRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == DocumentPath {
		s.serveDocument(w, r, request)
		return
	}
	s.serveSnapshot(w, r, request)
}

func parsePullRequest(r *http.Request) (pullRequest, error) {
	version, err1 := strconv.ParseInt(r.FormValue(paramDocument), 10, 64)
	offset, err2 := strconv.ParseInt(r.FormValue(paramRegistry), 10, 64)
	epoch, err3 := strconv.ParseInt(cmp.Or(r.FormValue(paramEpoch), "0"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return pullRequest{}, errors.New("document, registry and epoch are numbers")
	}
	return pullRequest{
		document:    document.Version(version),
		registry:    registry.Position{Epoch: registry.Epoch(epoch), Offset: registry.Offset(offset)},
		full:        r.FormValue(paramFull) != "",
		targetsOnly: r.FormValue(paramPart) == partTargets,
	}, nil
}

// serveDocument sends the current document if it is newer than the requester's.
func (s *State) serveDocument(w http.ResponseWriter, r *http.Request, request pullRequest) {
	t, err := s.documentTransfer(request.document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if t == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	done, ok := s.startTransfer(w, len(t.Encoded))
	if !ok {
		return
	}
	defer done()
	body, err := cbor.Marshal(t)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.write(w, r, body)
}

// serveSnapshot sends the parts of the state that the requester lacks.
func (s *State) serveSnapshot(w http.ResponseWriter, r *http.Request, request pullRequest) {
	body, err := cbor.Marshal(s.peerSnapshot(request))
	compressed := len(body) >= compressedBytes && r.Header.Get("Accept-Encoding") == contentEncoding
	if err == nil && compressed {
		body, err = compress(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	done, ok := s.startTransfer(w, len(body))
	if !ok {
		return
	}
	defer done()
	if compressed {
		w.Header().Set("Content-Encoding", contentEncoding)
	}
	s.write(w, r, body)
}

// startTransfer reports whether a body of about the given size may be sent; done must be called then.
// Otherwise it declines with the time after which the peer may ask again.
func (s *State) startTransfer(w http.ResponseWriter, size int) (done func(), ok bool) {
	done, retryAfter, ok := s.transfers.Start(size)
	if !ok {
		w.Header().Set(header.RetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return done, ok
}

// write sends a body.
func (s *State) write(w http.ResponseWriter, r *http.Request, body []byte) {
	began := time.Now()
	w.Header().Set("Content-Type", "application/cbor")
	err := transfer.Write(w, body) // the peer repeats a pull that failed
	if len(body) > transfer.SmallBytes {
		eventlog.Info(eventlog.StateServed, "to", r.RemoteAddr, "path", r.URL.Path, "bytes", len(body), "serving", s.transfers.Stats().Active,
			"took_ms", time.Since(began).Milliseconds(), "complete", err == nil)
	}
}
