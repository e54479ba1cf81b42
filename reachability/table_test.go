package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
)

const targets = 8

func TestServiceIsLostAfterSeveralTargetsInARow(t *testing.T) {
	now, table := time.Now(), NewTable()
	assert.Assert(t, table.RecordUnreachable(now, "s", "a", targets) == nil)
	assert.Assert(t, table.RecordUnreachable(now, "s", "a", targets) == nil, "the same target counts once")
	assert.Assert(t, table.RecordUnreachable(now, "s", "b", targets) == nil)
	assert.DeepEqual(t, table.RecordUnreachable(now, "s", "c", targets), &Change{Service: "s", Lost: true, Unreachable: 3})
	assert.Assert(t, table.RecordUnreachable(now, "s", "d", targets) == nil, "it is lost already")
	assert.DeepEqual(t, table.Lost(), []document.ServiceName{"s"})
	change := table.RecordContact(now.Add(time.Second), "s")
	assert.DeepEqual(t, change, &Change{Service: "s", Unreachable: 4, After: time.Second})
	assert.Assert(t, !table.IsLost("s"))
}

// TestDeadTargetsAmongOthersAreNoLostPath guards against an instance that takes crashed targets for a cut
// of its own paths.
func TestDeadTargetsAmongOthersAreNoLostPath(t *testing.T) {
	now, table := time.Now(), NewTable()
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		assert.Assert(t, table.RecordUnreachable(now, "s", "x", targets) == nil, id)
		assert.Assert(t, table.RecordUnreachable(now, "s", "y", targets) == nil)
		assert.Assert(t, table.RecordContact(now, "s") == nil)
	}
	assert.Assert(t, !table.IsLost("s"))
}

func TestOldFailuresDoNotCount(t *testing.T) {
	now, table := time.Now(), NewTable()
	table.RecordUnreachable(now, "s", "a", targets)
	table.RecordUnreachable(now, "s", "b", targets)
	assert.Assert(t, table.RecordUnreachable(now.Add(unreachableWindow+time.Second), "s", "c", targets) == nil)
}

func TestFewTargetsAndOtherLostServices(t *testing.T) {
	now, table := time.Now(), NewTable()
	assert.Assert(t, table.RecordUnreachable(now, "small", "a", 1) != nil, "its only target")
	assert.Assert(t, table.RecordUnreachable(now, "s", "b", targets) == nil, "it may be down")
	assert.Assert(t, table.RecordUnreachable(now, "s", "c", targets) != nil, "another service is lost too")
	table.RecordContact(now, "small")
	assert.DeepEqual(t, table.Lost(), []document.ServiceName{"s"})
}
