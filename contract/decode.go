package contract

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// MaxSize bounds the JSON document of one contract, in bytes.
const MaxSize = 256 << 10

// Decode reads a contract strictly: it refuses unknown fields, text after the
// document and whatever Check refuses. Defaults are filled in.
func Decode(data []byte) (*Contract, error) {
	c, err := DecodeUnchecked(data)
	if err != nil {
		return nil, err
	}
	if err := Check(c); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeUnchecked reads a contract as Decode does, but leaves out Check. It
// serves documents that were checked when they were accepted.
func DecodeUnchecked(data []byte) (*Contract, error) {
	if len(data) > MaxSize {
		return nil, errors.Errorf("contract: %d bytes: at most %d are allowed", len(data), MaxSize)
	}
	c := new(Contract)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, errors.New("contract: " + strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("contract: text follows the document: remove it")
	}
	Fill(c)
	return c, nil
}
