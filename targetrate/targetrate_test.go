package targetrate

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

type targetID = fleet.TargetID

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestParseValidRates(t *testing.T) {
	for text, want := range map[string]Rate{"2.5": 2.5, "3": 3, "1e2": 100, "0.0001": MinRate, "+4": 4, "1000000": MaxRate} {
		rate, announced, err := Parse([]string{text})
		assert.NilError(t, err, text)
		assert.Assert(t, announced, text)
		assert.Equal(t, rate, want, text)
	}
	_, announced, err := Parse(nil)
	assert.NilError(t, err)
	assert.Assert(t, !announced)
}

func TestParseInvalidRates(t *testing.T) {
	for _, c := range []struct {
		fields []string
		cause  Cause
	}{
		{[]string{""}, NotANumber}, {[]string{"0"}, OutOfRange}, {[]string{"-2"}, OutOfRange}, {[]string{"NaN"}, NotANumber},
		{[]string{"Inf"}, NotANumber}, {[]string{"1e300"}, OutOfRange}, {[]string{"1e999"}, NotANumber}, {[]string{"0x10"}, NotANumber},
		{[]string{"2." + strings.Repeat("5", 100)}, TooLong}, {[]string{"2", "2"}, SeveralFields}, {[]string{"2 "}, NotANumber}, {[]string{"1e-999"}, OutOfRange},
	} {
		rate, announced, err := Parse(c.fields)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused), c.fields)
		assert.Equal(t, refused.Cause, c.cause, c.fields)
		assert.Assert(t, announced)
		assert.Equal(t, rate, Rate(0))
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"2.5", "", "NaN", "1e300", "-0", "0x1p-2", "+.5e+1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		rate, _, err := Parse([]string{s})
		assert.Assert(t, err != nil && rate == 0 || rate >= MinRate && rate <= MaxRate, "%q: %v", s, rate)
	})
}

// TestLatestAnnouncementWins applies announcements in every order.
func TestLatestAnnouncementWins(t *testing.T) {
	announcements := []Announcement{{"a", 2, at(1)}, {"a", 3, at(2)}, {"a", 0, at(1.5)}, {"a", 0, at(3)}, {"a", 5, at(2.9)}}
	permutations(len(announcements), func(order []int) {
		table := New()
		for _, i := range order {
			table.Apply(at(4), announcements[i])
		}
		assert.Equal(t, table.Rate("a"), Rate(0), "order %v", order)
		assert.Equal(t, table.Len(), 0)
		assert.Equal(t, table.Apply(at(4), Announcement{"a", 4, at(3.5)}), Began)
		assert.Equal(t, table.Rate("a"), Rate(4))
	})
}

// permutations calls f with each permutation of n indices.
func permutations(n int, f func([]int)) {
	var rec func(order []int, used int)
	rec = func(order []int, used int) {
		if len(order) == n {
			f(order)
			return
		}
		for i := range n {
			if used&(1<<i) == 0 {
				rec(append(order, i), used|1<<i)
			}
		}
	}
	rec(nil, 0)
}

// TestEarlierAttemptDoesNotEndRate: a response without a rate does not end a rate that was announced after
// the start of its attempt.
func TestEarlierAttemptDoesNotEndRate(t *testing.T) {
	table := New()
	assert.Equal(t, table.Apply(at(2), Announcement{"a", 2.5, at(2)}), Began)
	assert.Equal(t, table.Apply(at(2.4), Announcement{"a", 0, at(1.9)}), Unchanged)
	assert.Equal(t, table.Rate("a"), Rate(2.5))
	assert.Equal(t, table.Apply(at(2.5), Announcement{"a", 3, at(2.5)}), Changed)
	assert.Equal(t, table.Apply(at(3), Announcement{"a", 0, at(2.6)}), Ended)
	assert.Equal(t, table.Apply(at(3), Announcement{"a", 0, at(2.7)}), Unchanged)
	assert.Equal(t, len(table.Shareable(at(4))), 1, "the end of the rate stays shareable")
	assert.Equal(t, len(table.Shareable(at(20))), 0)
	table.Prune(at(20), func(targetID) bool { return true })
	assert.Equal(t, len(table.targets), 0)
}

// TestBucketStaysWithinRate requests tokens as often as possible. Within any four seconds, at most 1.1 times
// the rate plus two requests are granted, and over the whole run at least 0.8 times the rate.
func TestBucketStaysWithinRate(t *testing.T) {
	const window, duration = 4.0, 60.0
	for _, rate := range []Rate{0.3, 1, 2.5, 30, 300} {
		for _, urgent := range []bool{true, false} {
			table := New()
			table.Apply(start, Announcement{"a", rate, start})
			table.UpdateHeld(start, func(targetID) bool { return true })
			var granted []float64
			for s := 0.0; s < duration; s += 0.001 {
				if _, ok := table.Grant(at(s), "a", urgent); ok {
					granted = append(granted, s)
				}
			}
			assert.Assert(t, float64(len(granted)) >= 0.8*float64(rate)*duration, "%v: %d", rate, len(granted))
			assertWithin(t, granted, window, 1.1*float64(rate)*window+2)
		}
	}
}

// assertWithin asserts that no window contains more than the given number of times.
func assertWithin(t *testing.T, times []float64, window, limit float64) {
	t.Helper()
	first := 0
	for i, s := range times {
		for times[first] <= s-window {
			first++
		}
		assert.Assert(t, float64(i-first+1) <= limit, "%d requests in the window until %v, %v allowed", i-first+1, s, limit)
	}
}

// TestNewHolderStartsWithEmptyBucket: the previous holder may have granted all tokens.
func TestNewHolderStartsWithEmptyBucket(t *testing.T) {
	table, yes, no := New(), func(targetID) bool { return true }, func(targetID) bool { return false }
	table.Apply(start, Announcement{"a", 10, start})
	table.UpdateHeld(start, yes)
	holds := func() bool { return !table.targets["a"].bucket.updatedAt.IsZero() }
	assert.Assert(t, holds())
	table.UpdateHeld(at(10), no)
	assert.Assert(t, !holds())
	table.UpdateHeld(at(11), yes)
	wait, ok := table.Grant(at(11), "a", true)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 100*time.Millisecond)
	_, ok = table.Grant(at(11.1), "a", true)
	assert.Assert(t, ok)
}

func TestNonUrgentRequestsLeaveReserve(t *testing.T) {
	table := New()
	table.Apply(start, Announcement{"a", 2, start})
	table.UpdateHeld(start, func(targetID) bool { return true })
	_, ok := table.Grant(at(0.5), "a", false)
	assert.Assert(t, !ok)
	_, ok = table.Grant(at(0.5), "a", true)
	assert.Assert(t, ok)
}

// TestHolderSelection: the holder does not depend on the order of the candidates, differs between targets,
// and is no young process where there is another one.
func TestHolderSelection(t *testing.T) {
	cs := []Candidate{{Addr: "10.0.0.1:1"}, {Addr: "10.0.0.2:1"}, {Addr: "10.0.0.3:1", Young: true}}
	holders := make(map[string]bool)
	for _, id := range []targetID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		permutations(len(cs), func(order []int) {
			var listed []Candidate
			for _, i := range order {
				listed = append(listed, cs[i])
			}
			assert.Equal(t, Holder(id, listed), Holder(id, cs))
		})
		holders[Holder(id, cs)] = true
	}
	assert.DeepEqual(t, holders, map[string]bool{"10.0.0.1:1": true, "10.0.0.2:1": true})
	assert.Equal(t, Holder("a", cs[2:]), "10.0.0.3:1")
	assert.Equal(t, Holder("a", nil), "")
}

func TestDenialAndReportedHolderExpire(t *testing.T) {
	table := New()
	table.Apply(start, Announcement{"a", 2, start})
	table.Deny(start, "a", 100*time.Millisecond)
	assert.Assert(t, table.Denied(at(0.09), "a"))
	assert.Assert(t, !table.Denied(at(0.11), "a"))
	table.Deny(start, "a", time.Hour)
	assert.Assert(t, !table.Denied(start.Add(maxDenial), "a"))
	table.SetReportedHolder(start, "a", "10.0.0.1:1")
	assert.Equal(t, table.ReportedHolder(at(1), "a"), "10.0.0.1:1")
	assert.Equal(t, table.ReportedHolder(start.Add(2*holderTimeout), "a"), "")
}
