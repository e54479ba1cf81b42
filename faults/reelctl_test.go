package faults

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/reelctl"
)

// waitSameRevision waits until all instances have one revision in force, other
// than the one before, and returns it.
func waitSameRevision(t *testing.T, f *Fleet, before logservice.Offset) logservice.Offset {
	t.Helper()
	var now logservice.Offset
	Eventually(t, func() error {
		var all []logservice.Offset
		for _, i := range f.Instances {
			r, err := i.Status()
			if err != nil {
				return err
			}
			all = append(all, r.Revisions[f.Contract.Customer])
		}
		now = all[0]
		if now == before || slices.Min(all) != slices.Max(all) {
			return errors.Errorf("revisions in force: %v", all)
		}
		return nil
	})
	return now
}

// withHost is the fleet's contract with a further host.
func withHost(f *Fleet, host string) contract.Contract {
	c := *f.Contract
	c.Hosts = append(slices.Clone(c.Hosts), host)
	return c
}

// TestTwoOperatorsRevise runs two processes that replace the same revision at
// once. One is accepted, the other told the conflict, and the accepted one is
// in force everywhere, also at an instance that cannot reach the log.
func TestTwoOperatorsRevise(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	f.Instances[2].LogLink.CutBoth()
	base := f.revision
	for round := range 4 {
		var codes [2]int
		var out [2]string
		var wg sync.WaitGroup
		for n := range codes {
			file := f.ContractFile(withHost(f, fmt.Sprintf("r%d-%d.daugava.example", round, n)))
			wg.Go(func() { codes[n], out[n] = f.Reelctl("revise", "--base", fmt.Sprint(base), file) })
		}
		wg.Wait()
		slices.Sort(codes[:])
		assert.Equal(t, codes, [2]int{reelctl.ExitOK, reelctl.ExitConflict}, "%q", out)
		base = waitSameRevision(t, f, base)
	}
}

// TestRevisionWhoseReplyIsLost loses the log's reply after the append took
// effect; then the log is gone. The command never tells an untruth.
func TestRevisionWhoseReplyIsLost(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	f.Platform.SetFaults(standin.Faults{LoseReplies: 1})
	code, out := f.Reelctl("revise", "--base", fmt.Sprint(f.revision), f.ContractFile(withHost(f, "lost.daugava.example")))
	assert.Equal(t, code, reelctl.ExitOK, out)
	now := waitSameRevision(t, f, f.revision)

	file := f.ContractFile(withHost(f, "gone.daugava.example"))
	f.SetLog(LogHangs)
	revise := []string{"revise", "--base", fmt.Sprint(now), "--id", "asked-again", file}
	code, out = f.Reelctl(append(revise, "--timeout", "2s")...)
	assert.Equal(t, code, reelctl.ExitNotKnown, out)
	f.SetLog(LogUp)
	code, out = f.Reelctl(revise...)
	assert.Equal(t, code, reelctl.ExitOK, out)
	waitSameRevision(t, f, now)
}
