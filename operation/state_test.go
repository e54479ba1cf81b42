package operation

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
)

// Nothing may lead from dispatched, or from any state after it, to a state
// from which dispatch is possible again.
func TestNoWayBackToDispatch(t *testing.T) {
	seen := map[State]bool{}
	var walk func(s State)
	walk = func(s State) {
		for e := Win; e <= SettleNotRun; e++ {
			next, err := s.Next(e)
			if err != nil || seen[next] {
				continue
			}
			seen[next] = true
			walk(next)
		}
	}
	walk(Dispatched)
	for _, s := range []State{Planned, Claimed, Dispatched} {
		assert.Assert(t, !seen[s], "%s can be reached from dispatched", s)
	}
}

func TestIllegalTransitionLeavesState(t *testing.T) {
	op := New()
	err := op.Apply(Dispatch)
	var illegal *IllegalTransition
	assert.Assert(t, errors.As(err, &illegal))
	assert.Equal(t, op.State(), Planned)
	assert.NilError(t, op.Apply(Win))
	assert.NilError(t, op.Apply(Abandon))
	assert.Assert(t, op.Apply(Dispatch) != nil)
	assert.Equal(t, op.State().Outcome(), fleet.NotRun)
}

func TestAnswerSaysOutcome(t *testing.T) {
	n := Name{RequestID: "r1", Key: "k"}
	p := NewProblem(n, 503, fleet.NotRun, RepeatSameKey, "log is down", 1500e6)
	assert.Equal(t, p.Header.Get(header.OperationOutcome), "not-run")
	assert.Equal(t, p.Header.Get("Retry-After"), "2")
	c := NewCompleted(201, http.Header{"A": {"b"}}, []byte("x"))
	r := c.AsReplay()
	assert.Equal(t, r.Header.Get(HeaderReplayed), "true")
	assert.Equal(t, c.Header.Get(HeaderReplayed), "")
}
