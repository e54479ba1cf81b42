package transfer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testLink = 1_250_000 // bytes per second
	bigBody  = 125_000   // takes 100 ms on testLink
)

func TestLimiterDeclinesBeyondItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(testLink)
		var all []func()
		for range minSlots {
			done, _, ok := l.Start(bigBody)
			assert.Assert(t, ok)
			all = append(all, done)
		}
		_, retryAfter, ok := l.Start(bigBody)
		assert.Assert(t, !ok)
		assert.Equal(t, retryAfter, 200*time.Millisecond)
		_, _, ok = l.Start(SmallBytes)
		assert.Assert(t, ok, "a small body is sent at any time")
		for _, done := range all {
			done()
		}
		time.Sleep(retryAfter + time.Millisecond)
		done, _, ok := l.Start(bigBody)
		assert.Assert(t, ok)
		done()
		assert.Equal(t, l.Stats(), Stats{Active: 1, Started: minSlots + 1, Declined: 1})
		time.Sleep(time.Second)
	})
}

// TestSlotIsTakenWhileTheLinkIs guards against a slot that is free again as soon as a socket has taken
// the body, while the link carries it yet.
func TestSlotIsTakenWhileTheLinkIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(testLink)
		for range minSlots {
			done, _, _ := l.Start(bigBody)
			done()
		}
		_, _, ok := l.Start(bigBody)
		assert.Assert(t, !ok)
		time.Sleep(time.Second)
	})
}

func TestSlotsGrowWithTheLink(t *testing.T) {
	for link, slots := range map[int64]int{1_250_000: 2, 2_500_000: 4, 25_000_000: maxSlots, 125_000_000: maxSlots, 1: minSlots} {
		assert.Equal(t, NewLimiter(link).slots, slots, "link of %d bytes a second", link)
	}
}
