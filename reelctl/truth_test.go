package reelctl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/publication"
)

const (
	operators = 3
	changes   = 12
	lateBy    = 30 * time.Millisecond
)

// TestResultsAreTrueUnderFaults lets operators revise one contract and
// announce one target at the same time, while replies are lost, appends take
// effect late and the log refuses calls. Afterwards it compares what each was
// told with the log.
func TestResultsAreTrueUnderFaults(t *testing.T) {
	x := newFixture(t)
	x.change("publish", x.plain())
	file := x.contract(`"deadline": "2s"`, `"deadline": "3s"`)
	var mu sync.Mutex
	told := map[string]Result{}
	var wg sync.WaitGroup
	for op := range operators {
		r := rand.New(rand.NewPCG(uint64(op), 1))
		wg.Go(func() {
			for n := range changes {
				x.server.SetFaults(randomFaults(r))
				id := fmt.Sprintf("op%d-%d", op, n)
				args := randomChange(r, file)
				result, _ := x.change(append(args, "--id", id, "--timeout", "150ms")...)
				if r.IntN(2) == 0 && result.Verdict == NotKnown {
					result, _ = x.change(append(args, "--id", id, "--timeout", "1s")...)
				}
				mu.Lock()
				told[id] = result
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	x.server.SetFaults(standin.Faults{})
	checkTold(t, x, told)
}

func randomFaults(r *rand.Rand) standin.Faults {
	return []standin.Faults{
		{}, {LoseReplies: 1}, {LoseReplies: 2}, {LateAppends: 1, LateBy: contract.Duration(lateBy)},
		{LateAppends: 2, LateBy: contract.Duration(10 * lateBy)}, {Outage: standin.Refuse},
		{Latency: contract.Duration(10 * time.Millisecond)},
	}[r.IntN(7)]
}

func randomChange(r *rand.Rand, file string) []string {
	return [][]string{
		{"revise", file, "--base", "current"},
		{"target", "join", "daugava/plan-uploads", "t1", "10.0.0.1:80", "--zone", "a"},
		{"target", "leave", "daugava/plan-uploads", "t1"},
	}[r.IntN(3)]
}

// checkTold waits for the late appends and compares what operators were told
// with the fold of the log.
func checkTold(t *testing.T, x *fixture, told map[string]Result) {
	time.Sleep(20 * lateBy)
	var s *stream
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		s, err = readStream(context.Background(), logservice.NewClient(x.url, 0))
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	accepted := map[string]logservice.Offset{}
	for _, e := range s.entries {
		if e.Verdict == publication.Accepted {
			_, twice := accepted[e.ID]
			assert.Assert(t, !twice, "%s was accepted twice", e.ID)
			accepted[e.ID] = e.Offset
		}
	}
	counts := map[publication.Verdict]int{}
	for id, r := range told {
		counts[r.Verdict]++
		offset, ok := accepted[id]
		switch r.Verdict {
		case NotKnown:
		case publication.Accepted, publication.Repeated:
			assert.Assert(t, ok && offset == r.Revision, "%s: told %+v", id, r)
		default:
			assert.Assert(t, !ok, "%s: told %+v, but accepted at %d", id, r, offset)
		}
	}
	t.Log(counts)
}
