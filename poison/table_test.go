package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func contentOf(uri string) *quarantine.Content {
	return &quarantine.Content{Method: "GET", Host: "h", URI: uri}
}

// failAt records a failure of a request at each target, one a second, and returns the results of
// RecordFailure.
func failAt(x *Table, uri string, targets ...fleet.TargetID) (atFault []bool) {
	for i, target := range targets {
		atFault = append(atFault, x.RecordFailure(at(float64(i)), contentOf(uri), target))
	}
	return atFault
}

func TestRequestAtFaultAfterFailuresAtHealthyTargets(t *testing.T) {
	x := New()
	for _, target := range []fleet.TargetID{"a", "b", "c"} {
		x.RecordSuccess(start, contentOf("/other"), target)
	}
	assert.DeepEqual(t, failAt(x, "/poison", "a", "a", "b", "c"), []bool{false, false, false, true})
	assert.Assert(t, x.AtFault(at(4), contentOf("/poison")))
	assert.Assert(t, !x.AtFault(at(4), contentOf("/other")))
	assert.Assert(t, !x.AtFault(at(70), contentOf("/poison")))
}

// TestFailuresAtUnhealthyTargetsDoNotCount: a failure counts against the request only once its target has
// served another request.
func TestFailuresAtUnhealthyTargetsDoNotCount(t *testing.T) {
	x := New()
	assert.DeepEqual(t, failAt(x, "/poison", "a", "b", "c", "d"), []bool{false, false, false, false})
	x.RecordSuccess(start.Add(-successLookback-time.Second), contentOf("/other"), "a")
	for _, target := range []fleet.TargetID{"b", "c"} {
		x.RecordTargetSuccess(at(5), target)
	}
	assert.Assert(t, !x.AtFault(at(5), contentOf("/poison")))
	x.RecordTargetSuccess(at(5), "d")
	assert.Assert(t, x.AtFault(at(5), contentOf("/poison")))
}

func TestSuccessClearsFailures(t *testing.T) {
	x := New()
	for _, target := range []fleet.TargetID{"a", "b", "c"} {
		x.RecordTargetSuccess(start, target)
	}
	failAt(x, "/poison", "a", "b", "c")
	x.RecordSuccess(at(4), contentOf("/poison"), "d")
	assert.Assert(t, !x.AtFault(at(4), contentOf("/poison")))
	assert.Equal(t, x.size.Load(), int64(0))
}

func TestTableIsBounded(t *testing.T) {
	x := New()
	for n := range 2 * maxContents {
		for m := range 2 * maxTargets {
			x.RecordFailure(start, contentOf(fmt.Sprint("/", n)), fleet.TargetID(fmt.Sprint(m)))
		}
	}
	assert.Equal(t, len(x.failures), maxContents)
	for _, failed := range x.failures {
		assert.Equal(t, len(failed), maxTargets)
	}
	x.RecordSuccess(start, contentOf("/other"), "a")
	x.Expire(start.Add(failureRetention))
	assert.Equal(t, len(x.failures)+len(x.lastSuccess), 0)
	assert.Equal(t, x.size.Load(), int64(0))
}

// BenchmarkRecordSuccess measures the cost of a success without and with tracked contents.
func BenchmarkRecordSuccess(b *testing.B) {
	for _, tracked := range []int{0, maxContents} {
		x := New()
		for n := range tracked {
			x.RecordFailure(start, contentOf(fmt.Sprint("/", n)), "a")
		}
		b.Run(fmt.Sprint(tracked, " known"), func(b *testing.B) {
			b.ReportAllocs()
			c := contentOf("/other")
			for b.Loop() {
				x.RecordSuccess(start, c, "a")
			}
		})
	}
}
