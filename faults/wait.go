package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

const (
	// waitLimit bounds every wait for a condition. It is generous: the
	// machine may be busy.
	waitLimit = 60 * time.Second
	waitDelay = 20 * time.Millisecond
)

// Eventually waits until a condition holds; the condition says why not.
func Eventually(t testing.TB, condition func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := condition(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(waitDelay))
}
