package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `I0722 04:20:01.000000 1 state.go:75] "document-applied" version=7 before=5 from="store" routes=3 idle_ms=15000
I0722 04:20:03.000000 1 knowledge.go:1] "target-suspected" target="t1" service="s" by="10.0.0.1:7" evidence="bad" age_ms=3 sick_before=0.1 sick=0.9
I0722 04:20:04.000000 1 attempt.go:1] "attempt-failed" request="r1" route="a" class="confirmation" service="s" target="t1" addr="10.0.0.9:1" zone="a" kind="answered" status=500 err="<nil>" took_ms=3 fails=0.61 cost=0.7 attempt=1 outcome="answered" document=7
I0722 04:20:04.000100 1 attempt.go:1] "attempt-not-added" request="r1" service="s" why="must not run twice" attempts=1
I0722 04:20:04.000200 1 handler.go:1] "request-failed" request="r1" route="a" service="s" status=500 by="target" target="t1" attempts=1 document=7 after_ms=4
I0722 04:20:05.000000 1 handler.go:1] "request-refused" request="r2" route="" service="" why="no configuration is known yet" document=0
garbage
I0722 04:20:06.000000 1 log.go:1] "lines-dropped" since_last=12 total=12
I0722 04:20:07.000000 1 attempt.go:1] "attempt-failed" request="r3" service="s" target="t2" kind="refused" status=503
I0722 04:20:07.000100 1 attempt.go:1] "attempt-not-added" request="r3" service="s" why="again" budget_left=0 attempts=1
I0722 04:20:07.000200 1 handler.go:1] "request-refused" request="r3" service="s" why="targets refused it"
I0722 04:20:09.000000 1 attempt.go:1] "attempt-open" request="r4" service="s" target="t4" age_ms=1200 fails=0.020
I0722 04:20:09.000100 1 handler.go:1] "request-failed" request="r4" service="s" status=504 by="self" why="no answer in time"
`

func readSample(t *testing.T) *Log {
	var g Log
	assert.NilError(t, g.Read("f", strings.NewReader(sample)))
	return &g
}

func TestCauses(t *testing.T) {
	g := readSample(t)
	assert.Equal(t, g.Skipped, 1)
	for id, want := range map[string]string{
		"r1": "target t1: it answered 500; no further attempt: must not run twice (target-suspected 997 ms before it was chosen, by 10.0.0.1:7; expected to fail with 0.61)",
		"r4": "target t4: it had not answered after 1200 ms",
		"r2": "no configuration is known yet",
		"r3": "target t2: it refused the request unrun with 503; no further attempt: the service's retry budget has 0 left",
	} {
		assert.Equal(t, g.Request(id).Cause, want)
	}
}

func TestRequestLinesAndMissing(t *testing.T) {
	x := readSample(t).Request("r1")
	var events []string
	for _, l := range x.Lines {
		events = append(events, string(l.Event))
	}
	assert.DeepEqual(t, events, []string{"document-applied", "target-suspected", "attempt-failed", "attempt-not-added", "request-failed"})
	assert.Assert(t, strings.Contains(strings.Join(x.Missing, "\n"), "left out 12 lines"))
	assert.Assert(t, strings.Contains(strings.Join(x.Missing, "\n"), "1 lines could not be read"))
	unknown := readSample(t).Request("r9")
	assert.Assert(t, strings.Contains(unknown.Missing[0], "no line names the request"))
	var b strings.Builder
	x.Print(&b)
	assert.Assert(t, strings.Contains(b.String(), `* I0722 04:20:04.000000`), b.String())
}

// TestUnexpectedExits checks that process exits without a stop are reported for a request
// that no line names: it may have been lost with such a process.
func TestUnexpectedExits(t *testing.T) {
	var g Log
	assert.NilError(t, g.Read("f", strings.NewReader(`0.0012 a I0722 04:20:01.000000 1 gateway.go:1] "started" instance="a" zone="z"
2.5012 a I0722 04:20:03.500000 1 state.go:75] "document-applied" version=7
b I0722 04:20:01.000000 1 gateway.go:1] "started" instance="b" zone="z"
b I0722 04:20:04.000000 1 stop.go:1] "stopping" grace_ms=6000
a I0722 04:20:05.000000 2 gateway.go:1] "started" instance="a" zone="z"
b I0722 04:20:11.000000 2 gateway.go:1] "started" instance="b" zone="z"
`)))
	x := g.Request("r1")
	assert.Equal(t, x.Missing[1], "processes that ended without a stop, with all that they had taken: a after 04:20:03.500, started again at 04:20:05.000")
}
