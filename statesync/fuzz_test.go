package statesync

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/registry"
)

// FuzzWhole checks that any response to a pull is either rejected or applied.
func FuzzWhole(f *testing.F) {
	e := registry.Entry{ID: "a", Service: "s", Sequence: 4}
	for _, w := range []PeerSnapshot{
		{Document: documentOf(7), NextDocument: 1, Registry: 2, Entries: []registry.Entry{e}, Starts: []int64{9}},
		{Registry: 2, Epoch: 3, Entries: []registry.Entry{e}, Removed: []registry.Removed{{ID: "b", Sequence: 2, Noticed: true}}, RestoreAgeMillis: 7},
		{Registry: 2, Changes: []registry.Change{{Offset: 0, ID: "a", Entry: &e}, {Offset: 1, ID: "a"}}, Vanished: []registry.Vanished{{ID: "a", AgeMillis: 3}}},
	} {
		b, err := cbor.Marshal(&w)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := decodePeerSnapshot(data)
		if err != nil {
			return
		}
		s := NewState(0, nil)
		s.applyPeerSnapshot(w, "peer", false)
		s.applyPeerSnapshot(w, "peer", true)
		s.peerSnapshot(pullRequest{})
		s.peerSnapshot(pullRequest{full: true})
		if table := s.Table(); table != nil && table.Document.Check() != nil {
			t.Fatal("the document in force fails its check")
		}
	})
}

// FuzzDocumentTransfer checks that any response to a request for a document is either rejected or
// applied, and then passed on as it came.
func FuzzDocumentTransfer(f *testing.F) {
	e, err := encodeDocument(documentOf(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(int64(7), int64(3), e.bytes)
	f.Add(int64(8), int64(3), e.bytes)
	f.Fuzz(func(t *testing.T, version, next int64, encoded []byte) {
		s := NewState(0, nil)
		sent := &DocumentTransfer{Version: document.Version(version), Next: registry.Offset(next), Encoded: encoded}
		if s.applyDocumentTransfer(sent, "peer") != nil || s.Table() == nil {
			return
		}
		if s.Table().Document.Check() != nil {
			t.Fatal("the document in force fails its check")
		}
		passedOn, err := s.documentTransfer(0)
		if err != nil || passedOn.Version != sent.Version || !bytes.Equal(passedOn.Encoded, encoded) {
			t.Fatalf("passed on %+v, %v", passedOn, err)
		}
	})
}
