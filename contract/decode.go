package contract

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/pkg/errors"
)

// MaxSize bounds the JSON document of one contract, in bytes.
const MaxSize = 256 << 10

// Decode reads a contract strictly: it refuses unknown or doubled fields,
// wrong units, text after the document and whatever Check refuses. Defaults
// are filled in. Refused values come as an *Error with their paths.
func Decode(data []byte) (*Contract, error) {
	if len(data) > MaxSize {
		return nil, errors.Errorf("%d bytes: at most %d are allowed", len(data), MaxSize)
	}
	raw, err := document(data)
	if err != nil {
		return nil, err
	}
	k := walker{new(checker), json.NewDecoder(bytes.NewReader(raw))}
	k.walk("", reflect.TypeFor[Contract](), false)
	if err := k.err(); err != nil {
		return nil, err
	}
	c := new(Contract)
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, errors.WithStack(err)
	}
	Fill(c)
	if err := Check(c); err != nil {
		return nil, err
	}
	return c, nil
}
