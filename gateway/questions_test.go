package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/mesh"
)

// Guards against a token that was granted to an earlier process at the same address counting for a question of its
// successor: the reply names the question only.
func TestReplyToEarlierProcessAnswersNoQuestion(t *testing.T) {
	var earlier, current questions
	number, _ := earlier.open()
	late := mesh.TokenResponse{Number: number, Granted: true}
	reply, ok := current.ask(t.Context(), 50*time.Millisecond, 10*time.Millisecond, func(uint64) { current.deliver(late) })
	assert.Assert(t, !ok, "a late reply counts: %+v", reply)
	reply, ok = current.ask(t.Context(), time.Second, 10*time.Millisecond, func(n uint64) {
		current.deliver(mesh.TokenResponse{Number: n, Granted: true})
	})
	assert.Assert(t, ok && reply.Granted)
}
