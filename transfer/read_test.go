package transfer

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestReadAllReturnsBodiesUpToTheBound(t *testing.T) {
	const maxBytes = 3 * maxPieceBytes
	for _, size := range []int{0, 1, minPieceBytes - 1, minPieceBytes, minPieceBytes + 1, maxPieceBytes, maxBytes - 1, maxBytes} {
		body := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
		for name, r := range map[string]io.Reader{
			"end alone": bytes.NewReader(body), "end with data": iotest.DataErrReader(bytes.NewReader(body)), "halves": iotest.HalfReader(bytes.NewReader(body)),
		} {
			got, err := ReadAll(r, maxBytes, nil)
			assert.NilError(t, err, "%d bytes, %s", size, name)
			assert.Assert(t, bytes.Equal(got, body), "%d bytes, %s", size, name)
		}
	}
}

func TestReadAllEndsAboveTheBound(t *testing.T) {
	for _, maxBytes := range []int64{0, 1, minPieceBytes, 3 * maxPieceBytes} {
		source := bytes.NewReader(make([]byte, 2*maxBytes+maxPieceBytes))
		_, err := ReadAll(source, maxBytes, nil)
		assert.Assert(t, errors.Is(err, ErrTooLarge), "bound of %d: %v", maxBytes, err)
		assert.Equal(t, source.Size()-int64(source.Len()), maxBytes+1, "bytes read")
	}
}

// TestReadAllReportsBrokenBodies guards against a body that broke off being taken for a complete one.
func TestReadAllReportsBrokenBodies(t *testing.T) {
	for _, cause := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
		for _, size := range []int{0, 10, minPieceBytes, 3 * minPieceBytes} {
			_, err := ReadAll(io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(cause)), maxPieceBytes, nil)
			assert.Assert(t, errors.Is(err, cause), "%d bytes: %v", size, err)
		}
	}
}

func TestReadAllReservesEachPieceFirst(t *testing.T) {
	full := errors.New("full")
	reserved := int64(0)
	source := bytes.NewReader(make([]byte, 10*minPieceBytes))
	_, err := ReadAll(source, maxPieceBytes, func(n int64) error {
		if reserved += n; reserved > 4*minPieceBytes {
			return full
		}
		return nil
	})
	assert.Assert(t, errors.Is(err, full))
	assert.Equal(t, source.Size()-int64(source.Len()), int64(4*minPieceBytes), "bytes read")
}

func TestReadPrefix(t *testing.T) {
	const maxBytes = 2 * smallPrefixBytes
	body := bytes.Repeat([]byte("abcdefg"), 3*smallPrefixBytes/7)
	for _, size := range []int{0, 1, smallPrefixBytes - 1, smallPrefixBytes, smallPrefixBytes + 1, maxBytes, maxBytes + 1, len(body)} {
		got, err := ReadPrefix(bytes.NewReader(body[:size]), maxBytes)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body[:min(size, maxBytes)]), "%d bytes", size)
	}
	for _, size := range []int{0, smallPrefixBytes, smallPrefixBytes + 1} {
		_, err := ReadPrefix(io.MultiReader(bytes.NewReader(body[:size]), iotest.ErrReader(io.ErrUnexpectedEOF)), maxBytes)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
