package upstream

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyUnreadableAfterTry reads a body after its try has ended, as a
// transport does if the try ends while it waits for a 100 Continue response.
func TestBodyUnreadableAfterTry(t *testing.T) {
	caller := strings.NewReader("body")
	late := &onceBody{r: caller}
	var res Result
	late.finish(&res, true)
	assert.Assert(t, !res.BodyUsed)
	_, err := io.ReadAll(late)
	assert.ErrorIs(t, err, ErrAbandoned)
	got, err := io.ReadAll(&onceBody{r: caller})
	assert.NilError(t, err)
	assert.Equal(t, string(got), "body")
}

// TestStartedBodyIsUsed checks that a body counts as used once a read has
// started, even if no byte has arrived: one may arrive at any moment.
func TestStartedBodyIsUsed(t *testing.T) {
	started := make(chan struct{})
	caller, sender := io.Pipe()
	defer sender.Close()
	b := &onceBody{r: readerFunc(func(p []byte) (int, error) { close(started); return caller.Read(p) })}
	go func() { _, _ = b.Read(make([]byte, 1)) }()
	<-started
	var res Result
	b.finish(&res, true)
	assert.Assert(t, res.BodyUsed)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
