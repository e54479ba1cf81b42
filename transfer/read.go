package transfer

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge reports a body above its bound.
var ErrTooLarge = errors.New("the body is above its bound")

const (
	// minPieceBytes and maxPieceBytes bound the pieces in which a body of unknown length is read. Each
	// is as large as all before it, so that small bodies take little memory.
	minPieceBytes = 4 << 10
	maxPieceBytes = 256 << 10
)

// ReadAll reads a body of unknown length of at most maxBytes bytes. It returns ErrTooLarge if the body
// is longer. Unlike io.ReadAll it never holds more than the bound and one piece while it reads; a body
// that ends is then copied into one slice. If reserve is not nil, it is called with the size of each piece
// before the piece is allocated; an error ends the reading.
func ReadAll(r io.Reader, maxBytes int64, reserve func(n int64) error) ([]byte, error) {
	pieces, err := ReadPieces(r, maxBytes, reserve)
	if err != nil {
		return nil, err
	}
	return Join(pieces), nil
}

// ReadPieces is ReadAll without the copy.
func ReadPieces(r io.Reader, maxBytes int64, reserve func(n int64) error) ([][]byte, error) {
	var pieces [][]byte
	total := int64(0)
	for {
		size := min(max(total, minPieceBytes), maxPieceBytes, maxBytes-total+1)
		if reserve != nil {
			if err := reserve(size); err != nil {
				return nil, err
			}
		}
		piece := make([]byte, size)
		n, err := fill(r, piece)
		total += int64(n)
		pieces = append(pieces, piece[:n])
		switch {
		case total > maxBytes:
			return nil, errors.WithStack(ErrTooLarge)
		case err == io.EOF:
			return pieces, nil
		case err != nil:
			return nil, errors.WithStack(err)
		}
	}
}

// smallPrefixBytes is the size up to which ReadPrefix takes little more memory than was read.
const smallPrefixBytes = 1 << 20

// ReadPrefix reads at most the first maxBytes bytes of a body. For more than a small part it takes the memory
// for all of them.
func ReadPrefix(r io.Reader, maxBytes int64) ([]byte, error) {
	small := min(maxBytes, smallPrefixBytes)
	first, err := ReadAll(io.LimitReader(r, small), small, nil)
	if err != nil || int64(len(first)) < small || small == maxBytes {
		return first, err
	}
	body := make([]byte, maxBytes)
	n, err := fill(r, body[copy(body, first):])
	if err != nil && err != io.EOF {
		return nil, errors.WithStack(err)
	}
	return body[:len(first)+n], nil
}

// fill reads until the piece is full or the reader returns an error, which it returns unchanged:
// io.ReadFull would not tell the end of a body from one that broke off.
func fill(r io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = r.Read(piece[n:])
		n += read
	}
	return n, err
}

// Size returns the number of bytes in the pieces of a body.
func Size(pieces [][]byte) (total int64) {
	for _, p := range pieces {
		total += int64(len(p))
	}
	return total
}

// Join returns the pieces of a body as one slice. It copies them if there are several.
func Join(pieces [][]byte) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	body := make([]byte, 0, Size(pieces))
	for _, p := range pieces {
		body = append(body, p...)
	}
	return body
}
