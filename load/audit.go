package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/emulator"
)

// Audit compares what callers were told of their operations with what the
// targets ran.
type Audit struct {
	// Keys is how many operations were compared.
	Keys int `json:"keys"`
	// Doubled counts operations that were begun more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts operations whose caller was told "not run" though
	// the work had run by then, or ran later with no ask left to run it.
	FalseNotRun int `json:"false_not_run"`
	// UnknownRan and UnknownNotRun part the operations that ended as unknown
	// by what the targets know.
	UnknownRan    int `json:"unknown_ran"`
	UnknownNotRun int `json:"unknown_not_run"`
	// Examples are keys of some broken promises.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds Audit.Examples.
const maxExamples = 10

// Broken tells whether a promise was broken.
func (a Audit) Broken() bool { return a.Doubled > 0 || a.FalseNotRun > 0 }

// audit goes through the operations by key.
func audit(ops map[string]outcome, runs map[string]emulator.Run) Audit {
	a := Audit{Keys: len(ops)}
	for key, op := range ops {
		run := runs[key]
		doubled := run.Started > 1
		lied := toldFalsely(op, run)
		if doubled {
			a.Doubled++
		}
		if lied {
			a.FalseNotRun++
		}
		if (doubled || lied) && len(a.Examples) < maxExamples {
			a.Examples = append(a.Examples, key)
		}
		if op.verdict == Unknown && run.Started > 0 {
			a.UnknownRan++
		}
		if op.verdict == Unknown && run.Started == 0 {
			a.UnknownNotRun++
		}
	}
	return a
}

// toldFalsely tells whether any ask was told "not run" against the truth: the
// work had run by then, or it ran later at a time when no ask was open.
func toldFalsely(op outcome, run emulator.Run) bool {
	if run.Started == 0 {
		return false
	}
	first := time.Unix(0, run.First)
	for _, a := range op.asks {
		if a.verdict != NotRun {
			continue
		}
		if !first.After(a.answered) || !openAt(op.asks, first) {
			return true
		}
	}
	return false
}

// openAt tells whether any ask was waiting for its answer at a time.
func openAt(asks []ask, t time.Time) bool {
	for _, a := range asks {
		if !a.sent.After(t) && !a.answered.Before(t) {
			return true
		}
	}
	return false
}

// targetRuns sums the executions by key over the targets.
func targetRuns(ctx context.Context, client *http.Client, targets []string) (map[string]emulator.Run, error) {
	all := map[string]emulator.Run{}
	for _, url := range targets {
		reply, err := readRuns(ctx, client, url)
		if err != nil {
			return nil, err
		}
		for key, run := range reply.Runs {
			all[key] = addRuns(all[key], run)
		}
	}
	return all, nil
}

func addRuns(a, b emulator.Run) emulator.Run {
	if a.Started == 0 {
		return b
	}
	return emulator.Run{
		Started:   a.Started + b.Started,
		Completed: a.Completed + b.Completed,
		First:     min(a.First, b.First),
		Last:      max(a.Last, b.Last),
	}
}

func readRuns(ctx context.Context, client *http.Client, base string) (emulator.RunsReply, error) {
	var reply emulator.RunsReply
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+emulator.PathRuns, nil)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Errorf("%s answered %d", base, resp.StatusCode)
	}
	return reply, errors.WithStack(json.NewDecoder(resp.Body).Decode(&reply))
}
