package statesync

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/freshness"
)

const (
	// storeEgress is what a store sends to all its callers together, in bytes per second.
	storeEgress = 80e6
	// startBound is the time within which instances that all start anew know the targets.
	startBound = 5 * time.Second
)

// TestFewInstancesReadNewestRecords guards against instances that all start anew and each read the newest
// records of a store that other writers fill: the store sent the same pages to each, in turn, a page that waited
// for its turn was given up, and its snapshot began anew. With sixty instances most had no targets after 20 s.
func TestFewInstancesReadNewestRecords(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *fleetModel) {
		f.packetLoss, f.pullsHang = 0, false
		f.store.egress.bytesPerSecond, f.store.foreignPages, f.store.pageKeys = storeEgress, 12, 3
		f.run(t, func(t *testing.T, ctx context.Context) {
			ids := f.registerTargets(8)
			time.Sleep(startBound)
			sentBefore := f.store.egress.bytesSent()
			began := time.Now()
			for _, m := range f.members {
				m.restart(ctx, f.randomDuration(300*time.Millisecond))
			}
			time.Sleep(300 * time.Millisecond) // until all run again
			last, by := f.lastWithoutTargets(began, 4*startBound, len(ids))
			snapshots := (f.store.egress.bytesSent() - sentBefore) / int64(f.store.foreignPages*foreignPageBytes)
			t.Logf("all know the targets after %v; the store sent %d snapshots", last, snapshots)
			assert.Assert(t, last <= startBound, "%s does not know the targets after %v", by, last)
			most := int64(len(f.zones) * 2 * freshness.ReadersPerZone)
			assert.Assert(t, snapshots <= most, "%d snapshots, want at most %d", snapshots, most)
		})
	})
}

// lastWithoutTargets returns the time after a start at which an instance last knew fewer than n targets, and that
// instance's address. It watches until all know them, but no longer than the given time.
func (f *fleetModel) lastWithoutTargets(began time.Time, watched time.Duration, n int) (last time.Duration, by string) {
	for time.Since(began) < watched {
		i := slices.IndexFunc(f.members, func(m *instanceModel) bool { return m.state.Targets().Len() < n })
		if i < 0 {
			return last, by
		}
		last, by = time.Since(began), f.members[i].addr
		time.Sleep(10 * time.Millisecond)
	}
	return last, by
}
