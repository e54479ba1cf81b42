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
	s.send(w, r, len(t.Encoded), func() ([]byte, error) { return cbor.Marshal(t) })
}

// serveSnapshot sends the parts of the state that the requester lacks.
func (s *State) serveSnapshot(w http.ResponseWriter, r *http.Request, request pullRequest) {
	body, err := cbor.Marshal(s.peerSnapshot(request))
	if err == nil && len(body) >= compressedBytes && r.Header.Get("Accept-Encoding") == contentEncoding {
		w.Header().Set("Content-Encoding", contentEncoding)
		body, err = compress(body)
	}
	s.send(w, r, len(body), func() ([]byte, error) { return body, err })
}

// send sends a body of about the given size, or declines with the time after which the peer may ask
// again if too many are being sent. encode is called only if it is sent.
func (s *State) send(w http.ResponseWriter, r *http.Request, size int, encode func() ([]byte, error)) {
	done, retryAfter, ok := s.transfers.Start(size)
	if !ok {
		w.Header().Set(header.RetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer done()
	body, err := encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	began := time.Now()
	w.Header().Set("Content-Type", "application/cbor")
	err = transfer.Write(w, body) // the peer repeats a pull that failed
	if len(body) > transfer.SmallBytes {
		eventlog.Info(eventlog.StateServed, "to", r.RemoteAddr, "path", r.URL.Path, "bytes", len(body), "serving", s.transfers.Stats().Active,
			"took_ms", time.Since(began).Milliseconds(), "complete", err == nil)
	}
}

// documentTransfer returns the current document as sent to peers; nil if it is not newer than known.
func (s *State) documentTransfer(known document.Version) (*DocumentTransfer, error) {
	s.mu.Lock()
	table, next, encoded := s.table.Load(), s.nextDocument, s.encoded
	s.mu.Unlock()
	if table == nil || table.Document.Version <= known {
		return nil, nil
	}
	if encoded == nil || encoded.version != table.Document.Version {
		var err error
		if encoded, err = s.encodeOnce(table.Document); err != nil {
			return nil, err
		}
	}
	return &DocumentTransfer{Version: encoded.version, Next: next.Offset, Epoch: next.Epoch, Encoded: encoded.bytes}, nil
}

// encodeOnce encodes the document for all requests that follow.
func (s *State) encodeOnce(d *document.Document) (*encodedDocument, error) {
	s.encoding.Lock()
	defer s.encoding.Unlock()
	if e := s.currentEncoded(); e != nil && e.version >= d.Version {
		return e, nil
	}
	e, err := encodeDocument(d)
	if err == nil {
		s.setEncoded(e)
	}
	return e, err
}

func (s *State) currentEncoded() *encodedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encoded
}

func (s *State) setEncoded(e *encodedDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoded = e
}

// applyDocumentTransfer applies a document that a peer has sent.
func (s *State) applyDocumentTransfer(t *DocumentTransfer, from string) error {
	e := &encodedDocument{t.Version, t.Encoded}
	d, err := e.decode()
	if err != nil {
		return err
	}
	if d.Version != t.Version {
		return errors.Errorf("document of version %d arrived as version %d", d.Version, t.Version)
	}
	s.mu.Lock()
	changed := s.applyDocument(d, from)
	if changed {
		s.encoded = e
	}
	if s.version() >= d.Version {
		s.nextDocument = registry.Later(s.nextDocument, registry.Position{Epoch: t.Epoch, Offset: t.Next})
	}
	s.mu.Unlock()
	s.notifyChanges(changed)
	return nil
}
