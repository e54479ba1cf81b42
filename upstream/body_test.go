package upstream

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyGivesNothingAfterItsTry reads a body late, as a transport does that
// waited for the target's word while the try ended.
func TestBodyGivesNothingAfterItsTry(t *testing.T) {
	caller := strings.NewReader("body")
	late := &onceBody{r: caller}
	var res Result
	late.conclude(&res, true)
	assert.Assert(t, !res.BodyUsed)
	_, err := io.ReadAll(late)
	assert.ErrorIs(t, err, ErrGivenUp)
	got, err := io.ReadAll(&onceBody{r: caller})
	assert.NilError(t, err)
	assert.Equal(t, string(got), "body")
}

// TestBegunBodyIsUsed counts a body as used before its first byte came: it
// may come at any moment.
func TestBegunBodyIsUsed(t *testing.T) {
	begun := make(chan struct{})
	caller, sender := io.Pipe()
	defer sender.Close()
	b := &onceBody{r: readerFunc(func(p []byte) (int, error) { close(begun); return caller.Read(p) })}
	go func() { _, _ = b.Read(make([]byte, 1)) }()
	<-begun
	var res Result
	b.conclude(&res, true)
	assert.Assert(t, res.BodyUsed)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
