package membership

import (
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Kind is the kind of a message.
type Kind uint8

const (
	// Ping asks the receiver for an Ack with the same Seq.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
	// IndirectAck reports that Target answered the ping requested with Seq.
	IndirectAck
	// SyncRequest carries the sender's digest.
	SyncRequest
	// SyncReply carries the records of the buckets whose digests differ, and
	// the replier's digest.
	SyncReply
	// SyncPush carries records that the receiver lacks. It is not answered.
	SyncPush
)

// Limits of a received message.
const (
	maxNameBytes = 128
	maxVersion   = 1 << 48
	maxRecords   = 4096
	buckets      = 64
)

// ErrMalformed is returned for an invalid message, which is dropped without
// effect.
var ErrMalformed = errors.New("malformed membership message")

// Message is one message between two instances.
type Message struct {
	Kind Kind
	// Seq matches an ack to its ping.
	Seq uint64
	// From is the sender's own record.
	From Member
	// Target is the probed member in PingRequest and IndirectAck.
	Target fleet.InstanceID
	// Updates holds the records that the sender forwards.
	Updates []Member
	// Digest holds one checksum for each bucket of the sender's table.
	Digest []uint64
	// More reports that a SyncReply was truncated at its size limit.
	More bool
}

// Envelope is a message with its destination.
type Envelope struct {
	To      fleet.InstanceID
	Addr    string
	Message Message
}

// Size estimates the encoded size of the message in bytes.
func (m Message) Size() int {
	const fixed = 16
	n := fixed + m.From.size() + len(m.Target) + 8*len(m.Digest)
	for _, u := range m.Updates {
		n += u.size()
	}
	return n
}

// Check returns an error that wraps ErrMalformed and names the reason if the
// message is invalid.
func (m Message) Check() error {
	if m.Kind < Ping || m.Kind > SyncPush {
		return errors.Wrapf(ErrMalformed, "kind %d", m.Kind)
	}
	if len(m.Updates) > maxRecords {
		return errors.Wrapf(ErrMalformed, "%d records", len(m.Updates))
	}
	if needsDigest(m.Kind) != (len(m.Digest) == buckets) || len(m.Target) > maxNameBytes {
		return errors.Wrapf(ErrMalformed, "digest of %d sums", len(m.Digest))
	}
	if err := checkMember(m.From); err != nil {
		return errors.Wrap(err, "sender")
	}
	for _, u := range m.Updates {
		if err := checkMember(u); err != nil {
			return errors.Wrap(err, "record")
		}
	}
	return nil
}

func needsDigest(k Kind) bool { return k == SyncRequest || k == SyncReply }

func checkMember(m Member) error {
	switch {
	case m.ID == "" || len(m.ID) > maxNameBytes:
		return errors.Wrapf(ErrMalformed, "id of %d bytes", len(m.ID))
	case m.Addr == "" || len(m.Addr) > maxNameBytes || len(m.Zone) > maxNameBytes:
		return errors.Wrapf(ErrMalformed, "address or zone of %q", m.ID)
	case m.Incarnation <= 0:
		return errors.Wrapf(ErrMalformed, "incarnation %d of %q", m.Incarnation, m.ID)
	case m.Version > maxVersion:
		return errors.Wrapf(ErrMalformed, "version %d of %q", m.Version, m.ID)
	case m.State < Alive || m.State > Dead:
		return errors.Wrapf(ErrMalformed, "state %d of %q", m.State, m.ID)
	}
	return nil
}
