package publication

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// Stream is the name of the log's configuration stream.
const Stream = "config"

// NoRevision is the base of a record that replaces nothing.
const NoRevision logservice.Offset = -1

// MaxRecord bounds the data of one record, in bytes.
const MaxRecord = 512 << 10

// maxID bounds a publication id, in bytes.
const maxID = 128

// Kind tells the records of the stream apart.
type Kind string

const (
	// KindContract publishes or revises a customer's contract.
	KindContract Kind = "contract"
	// KindTarget announces a target.
	KindTarget Kind = "target"
	// KindCheckpoint carries a part of the whole state at an offset.
	KindCheckpoint Kind = "checkpoint"
)

// Envelope is a record of the stream, as the log carries it in JSON.
type Envelope struct {
	Kind Kind `json:"kind"`
	// ID names the publication; the operator's command chooses it.
	ID string `json:"id,omitempty"`
	// Base is the revision that the record replaces.
	Base logservice.Offset `json:"base"`
	// Contract is set for KindContract.
	Contract json.RawMessage `json:"contract,omitempty"`
	// Target is set for KindTarget.
	Target *Announcement `json:"target,omitempty"`
	// Checkpoint is set for KindCheckpoint.
	Checkpoint *Part `json:"checkpoint,omitempty"`
}

// Announcement says what becomes of a target.
type Announcement struct {
	ID      fleet.TargetID    `json:"id"`
	Service fleet.ServiceID   `json:"service"`
	Addr    string            `json:"addr,omitempty"`
	Zone    fleet.Zone        `json:"zone,omitempty"`
	State   fleet.TargetState `json:"state"`
}

// EncodeContract returns the record that publishes a contract. Base is the
// revision it replaces, or NoRevision for a customer's first contract.
func EncodeContract(pubID string, base logservice.Offset, c *contract.Contract) ([]byte, error) {
	doc, err := json.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return encode(Envelope{Kind: KindContract, ID: pubID, Base: base, Contract: doc})
}

// EncodeTarget returns the record that announces a target to join, leave or
// stop. Base is the revision of its last announcement, or NoRevision.
func EncodeTarget(pubID string, base logservice.Offset, a Announcement) ([]byte, error) {
	return encode(Envelope{Kind: KindTarget, ID: pubID, Base: base, Target: &a})
}

func encode(e Envelope) ([]byte, error) {
	if e.Kind != KindCheckpoint && !validID(e.ID) {
		return nil, errors.Errorf("publication id %q: want 1 to %d bytes", e.ID, maxID)
	}
	data, err := json.Marshal(e)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > MaxRecord {
		return nil, errors.Errorf("record of %d bytes: at most %d are allowed", len(data), MaxRecord)
	}
	return data, nil
}

func validID(id string) bool { return len(id) > 0 && len(id) <= maxID }

// DecodeRecord reads a record's data. It does not look into the contract.
func DecodeRecord(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxRecord {
		return e, errors.Errorf("record of %d bytes", len(data))
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&e); err != nil {
		return Envelope{}, errors.WithStack(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Envelope{}, errors.New("text follows the record")
	}
	return e, checkEnvelope(e)
}

func checkEnvelope(e Envelope) error {
	switch {
	case e.Kind == KindContract && e.Contract != nil && validID(e.ID):
	case e.Kind == KindTarget && e.Target != nil && validID(e.ID):
	case e.Kind == KindCheckpoint && e.Checkpoint != nil:
	default:
		return errors.Errorf("record of kind %q lacks its content or id", e.Kind)
	}
	return nil
}
