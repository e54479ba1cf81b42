package statesync

import (
	"bytes"
	"compress/flate"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/message"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

// DocumentTransfer is the response to a peer's request for a document.
type DocumentTransfer struct {
	Version document.Version `cbor:"1,keyasint"`
	// Next and Epoch are the position in the store's stream after the document.
	Next  registry.Offset `cbor:"2,keyasint"`
	Epoch registry.Epoch  `cbor:"3,keyasint,omitempty"`
	// Encoded is the document, encoded and compressed.
	Encoded []byte `cbor:"4,keyasint"`
}

// encodedDocument is a document as it is sent to peers. An instance that received it from one passes
// the same bytes on.
type encodedDocument struct {
	version document.Version
	bytes   []byte
}

func encodeDocument(d *document.Document) (*encodedDocument, error) {
	b, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	compressed, err := compress(b)
	return &encodedDocument{d.Version, compressed}, err
}

func (e *encodedDocument) decode() (*document.Document, error) {
	b, err := decompress(e.bytes)
	if err != nil {
		return nil, err
	}
	d := new(document.Document)
	return d, message.Decode(b, d)
}

// documentTransfer returns the current document as sent to peers; nil if it is not newer than known.
func (s *State) documentTransfer(known document.Version) (*DocumentTransfer, error) {
	s.mu.Lock()
	table, next := s.table.Load(), s.nextDocument
	s.mu.Unlock()
	if table == nil || table.Document.Version <= known {
		return nil, nil
	}
	e, err := s.encodedOf(table.Document)
	if err != nil {
		return nil, err
	}
	return &DocumentTransfer{Version: e.version, Next: next.Offset, Epoch: next.Epoch, Encoded: e.bytes}, nil
}

// encodedOf returns a document as sent to peers, or a newer one. It encodes each document once.
func (s *State) encodedOf(d *document.Document) (*encodedDocument, error) {
	s.encoding.Lock()
	defer s.encoding.Unlock()
	if e := s.encoded.Load(); e != nil && e.version >= d.Version {
		return e, nil
	}
	e, err := encodeDocument(d)
	if err != nil {
		return nil, err
	}
	s.encoded.Store(e)
	return e, nil
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
		s.encoded.Store(e)
	}
	if s.version() >= d.Version {
		s.nextDocument = registry.Later(s.nextDocument, registry.Position{Epoch: t.Epoch, Offset: t.Next})
	}
	s.mu.Unlock()
	s.notifyChanges(changed)
	return nil
}

// compress trades size for speed: instances have a fraction of a core.
func compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It fails if the result is larger than maxSnapshotBytes.
func decompress(b []byte) ([]byte, error) {
	out, err := transfer.ReadAll(flate.NewReader(bytes.NewReader(b)), maxSnapshotBytes, nil)
	return out, errors.Wrapf(err, "decompressed to at most %d bytes", maxSnapshotBytes)
}
