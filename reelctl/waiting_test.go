package reelctl

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/rejection"
	"github.com/clementinereel/clementinereel/retry/spending"
)

func TestWaitingIsPrinted(t *testing.T) {
	var b strings.Builder
	printWaiting(&b, []spending.Report{
		{Service: "s", Ranks: []spending.RankReport{{Rank: 0, Waiting: 2, Oldest: 1234567890 * time.Nanosecond}}, Tenants: 1, Rejecting: true, Zones: []rejection.ZoneReport{{Zone: "a", Attempts: 9, Rejections: 5}}},
		{Service: "t"},
	})
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.DeepEqual(t, strings.Fields(lines[1]), strings.Fields("s true a: 5 of 9 1 0: 2, 1.235s"))
	assert.DeepEqual(t, strings.Fields(lines[2]), strings.Fields("t false - 0 -"))
}
