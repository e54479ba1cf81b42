package faults

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/poll"
)

const (
	// waitLimit bounds every wait for a condition. It is generous: the
	// machine may be busy.
	waitLimit = 60 * time.Second
	waitDelay = 20 * time.Millisecond
)

// errHopeless ends the wait for a condition that cannot come about.
var errHopeless = errors.New("in vain")

// Eventually waits until a condition holds; the condition says why not.
func Eventually(t testing.TB, condition func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		err := condition()
		switch {
		case err == nil:
			return poll.Success()
		case errors.Is(err, errHopeless):
			return poll.Error(err)
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(waitDelay))
}
