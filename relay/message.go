package relay

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/message"
)

// Path is the HTTP path at which instances take requests from others.
const Path = "/peer/request"

// Request is a caller's request that is passed on.
type Request struct {
	ID     string      `cbor:"1,keyasint"`
	Method string      `cbor:"2,keyasint"`
	URI    string      `cbor:"3,keyasint"`
	Host   string      `cbor:"4,keyasint"`
	Header http.Header `cbor:"5,keyasint"`
	// HasBody distinguishes an empty body from no body.
	HasBody bool `cbor:"6,keyasint,omitempty"`
	// Version is the document by which the request was routed; Route and Service are the result.
	Version document.Version     `cbor:"7,keyasint"`
	Route   string               `cbor:"8,keyasint"`
	Service document.ServiceName `cbor:"9,keyasint"`
	// Class, MaxAttempts and Objective are those of the route, Priority is that of the request.
	Class       fleet.Class   `cbor:"10,keyasint"`
	MaxAttempts int           `cbor:"11,keyasint"`
	Objective   time.Duration `cbor:"12,keyasint,omitempty"`
	Priority    int           `cbor:"13,keyasint,omitempty"`
	// TargetLeft is the time that targets may take, Left that until the outcome must be sent.
	TargetLeft time.Duration `cbor:"14,keyasint"`
	Left       time.Duration `cbor:"15,keyasint"`
	// Trial is set if the request is the trial of a quarantined content.
	Trial bool   `cbor:"16,keyasint,omitempty"`
	Body  []byte `cbor:"-"`
}

// Outcome is how a request that was passed on has ended.
type Outcome struct {
	// Kind is the kind of the outcome, as the attempts of one request name it.
	Kind     string         `cbor:"1,keyasint"`
	Reason   string         `cbor:"2,keyasint,omitempty"`
	Target   fleet.TargetID `cbor:"3,keyasint,omitempty"`
	Attempts int            `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which the caller may come back, if the request was not run.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Status, Header and Body are a target's response; Status is 0 if there is none.
	Status int         `cbor:"6,keyasint,omitempty"`
	Header http.Header `cbor:"7,keyasint,omitempty"`
	Body   []byte      `cbor:"-"`
}

// lengthBytes is the size of the length that precedes the encoded fields; the body follows them.
const lengthBytes = 4

// Encode returns the request as sent to another instance.
func (r *Request) Encode() ([]byte, error) { return encode(r, r.Body) }

// Encode returns the outcome as sent back.
func (o *Outcome) Encode() ([]byte, error) { return encode(o, o.Body) }

// DecodeRequest reverses Request.Encode. The request's body is a part of b.
func DecodeRequest(b []byte) (*Request, error) {
	r := new(Request)
	body, err := decode(b, r)
	if err != nil {
		return nil, err
	}
	r.Body = body
	return r, r.check()
}

// DecodeOutcome reverses Outcome.Encode. The outcome's body is a part of b.
func DecodeOutcome(b []byte) (*Outcome, error) {
	o := new(Outcome)
	body, err := decode(b, o)
	o.Body = body
	return o, err
}

func (r *Request) check() error {
	switch {
	case r.Method == "" || r.URI == "":
		return errors.New("relayed request without method or URI")
	case r.Service == "" || r.Class == 0 || r.MaxAttempts < 1:
		return errors.New("relayed request without a route")
	case r.Left <= 0 || r.TargetLeft <= 0:
		return errors.New("relayed request without time left")
	}
	return nil
}

func encode(fields any, body []byte) ([]byte, error) {
	meta, err := cbor.Marshal(fields)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b := make([]byte, 0, lengthBytes+len(meta)+len(body))
	b = binary.BigEndian.AppendUint32(b, uint32(len(meta)))
	b = append(b, meta...)
	return append(b, body...), nil
}

// decode decodes the fields and returns the body.
func decode(b []byte, fields any) ([]byte, error) {
	if len(b) < lengthBytes {
		return nil, errors.New("relayed message without a length")
	}
	n := binary.BigEndian.Uint32(b)
	b = b[lengthBytes:]
	if uint64(n) > uint64(len(b)) {
		return nil, errors.Errorf("relayed message breaks off: %d of %d bytes", len(b), n)
	}
	if err := message.Decode(b[:n], fields); err != nil {
		return nil, errors.WithStack(err)
	}
	return b[n:], nil
}
