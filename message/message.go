// Package message decodes what instances send to each other.
//
// Text in messages comes from others: header fields of callers and targets, keys of other writers in the
// store. It is passed on as it is, so text that is not UTF-8 is no reason to refuse a message.
package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Decoder decodes messages. It is safe for concurrent use.
type Decoder struct{ mode cbor.DecMode }

// defaultMaxElements bounds the elements of a list in messages that are not datagrams.
const defaultMaxElements = 1 << 17

var usual = NewDecoder(defaultMaxElements)

// NewDecoder returns a decoder of messages whose lists have at most maxElements elements.
func NewDecoder(maxElements int) *Decoder {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // cannot fail: the options are constants
	}
	return &Decoder{mode}
}

// Decode decodes a message into the value that v points to.
func (d *Decoder) Decode(b []byte, v any) error { return errors.WithStack(d.mode.Unmarshal(b, v)) }

// Decode decodes a message that is not a datagram.
func Decode(b []byte, v any) error { return usual.Decode(b, v) }
