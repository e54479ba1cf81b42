package statesync

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

var (
	spreadSize   = flag.Int("spread-size", 0, "instances of the fleet in which documents spread; 0 plays 36 and 130")
	spreadRoutes = flag.Int("spread-routes", 1400, "routes of these documents")
	spreadLink   = flag.Float64("spread-link", smallLink, "bytes per second of a link")
	spreadSeeds  = flag.Int("spread-seeds", 1, "seeds")
	spreadBound  = flag.Duration("spread-bound", maxUseAfterRemoval, "time within which a document must be in force")
)

// smallLink is the capacity of the smallest links, in bytes per second: 10 Mbit/s.
const smallLink = 1.25e6

// documentWithRoutes returns a document with n routes of different hosts.
func documentWithRoutes(v document.Version, n int) *document.Document {
	d := documentOf(v)
	template := d.Routes[0]
	template.Class, template.Timeout, template.Objective, template.MaxAttempts = fleet.Lookup, 4*time.Second, 1200*time.Millisecond, 3
	for i := range n {
		// Spreads the numbers so that names compress about as badly as random ones.
		id := uint32(i) * 2654435761
		r := template
		r.Name, r.Host, r.Prefix = fmt.Sprintf("r-%06x", id>>8), fmt.Sprintf("%08x.example", id), fmt.Sprintf("/%08x/", id*40503)
		d.Routes = append(d.Routes, r)
	}
	return d
}

// forEachSpread runs f for each fleet in which documents spread, on links of spreadLink, with at least
// the given number of seeds.
func forEachSpread(t *testing.T, seeds int, f func(t *testing.T, m *fleetModel)) {
	t.Helper()
	sizes := []int{36, 130}
	if *spreadSize != 0 {
		sizes = []int{*spreadSize}
	}
	for _, size := range sizes {
		for seed := range max(*spreadSeeds, seeds) {
			t.Run(fmt.Sprintf("%d instances, seed %d", size, seed+1), func(t *testing.T) {
				m := newFleetModel(uint64(seed+1), size, maxUseAfterRemoval)
				m.pullsHang = false
				m.setLinks(*spreadLink)
				f(t, m)
			})
		}
	}
}

// outdatedUntil writes the document and returns the time until it is in force at all undisturbed
// instances, and the address of the last one.
func (f *fleetModel) outdatedUntil(d *document.Document, watched time.Duration) (time.Duration, string) {
	writtenAt := time.Now()
	f.store.putDocument(d)
	return f.lastOutdated(writtenAt, watched, func(m *instanceModel) bool {
		return m.state.Table() == nil || m.state.Table().Document.Version < d.Version
	})
}

// TestBigDocumentIsInForceInTime guards against a big document that is late at most instances: all
// pulled it from the few that had it, over the same links, asked for it again while it was on its
// way, and gave up after a total time with nothing kept.
func TestBigDocumentIsInForceInTime(t *testing.T) {
	forEachSpread(t, 2, func(t *testing.T, f *fleetModel) {
		f.run(t, func(t *testing.T, _ context.Context) {
			f.store.putDocument(documentWithRoutes(1, 10))
			time.Sleep(3 * time.Second)
			last, by := f.outdatedUntil(documentWithRoutes(2, *spreadRoutes), 10**spreadBound)
			var most int64
			for _, m := range f.members {
				most = max(most, m.up.bytesSent())
			}
			t.Logf("in force everywhere after %v; an instance sent at most %d KB", last, most>>10)
			assert.Assert(t, last <= *spreadBound-safetyMargin, "%s has the document after %v", by, last)
		})
	})
}

// TestDocumentsInQuickSuccessionAreInForceInTime guards against a backlog: while big documents follow
// each other faster than they spread, the last one must not wait for those before it.
func TestDocumentsInQuickSuccessionAreInForceInTime(t *testing.T) {
	const (
		count    = 12
		interval = 330 * time.Millisecond
	)
	forEachSpread(t, 1, func(t *testing.T, f *fleetModel) {
		f.run(t, func(t *testing.T, _ context.Context) {
			for v := range count {
				f.store.putDocument(documentWithRoutes(document.Version(v+1), *spreadRoutes))
				time.Sleep(interval)
			}
			last, by := f.outdatedUntil(documentWithRoutes(count+1, *spreadRoutes), 5**spreadBound)
			t.Logf("the last one is in force everywhere after %v", last)
			assert.Assert(t, last <= *spreadBound-safetyMargin, "%s has the last document after %v", by, last)
		})
	})
}

// TestBigDocumentIsInForceWhereMostAreRejectedByTheStore is the same with a store that rejects
// half of the instances, readers among them, and pulls that hang.
func TestBigDocumentIsInForceWhereMostAreRejectedByTheStore(t *testing.T) {
	const rejected = 20 * time.Second
	forEachSpread(t, 1, func(t *testing.T, f *fleetModel) {
		f.pullsHang = true
		f.run(t, func(t *testing.T, _ context.Context) {
			f.store.putDocument(documentWithRoutes(1, 10))
			for _, m := range f.members {
				if f.chance(0.5) {
					m.store.rejectUntil(time.Now().Add(rejected))
				}
			}
			time.Sleep(4 * time.Second)
			last, by := f.outdatedUntil(documentWithRoutes(2, *spreadRoutes), 5**spreadBound)
			t.Logf("in force everywhere after %v", last)
			assert.Assert(t, last <= *spreadBound-safetyMargin, "%s has the document after %v", by, last)
		})
	})
}

// TestTargetIsLeftWhileBigDocumentsSpread guards against news of targets that wait for a document on
// the same links.
func TestTargetIsLeftWhileBigDocumentsSpread(t *testing.T) {
	forEachSpread(t, 1, func(t *testing.T, f *fleetModel) {
		f.runWithTargets(t, 8, func(t *testing.T, ids []fleet.TargetID) {
			for n, id := range ids[:4] {
				f.store.putDocument(documentWithRoutes(document.Version(n+1), *spreadRoutes))
				time.Sleep(f.randomDuration(200 * time.Millisecond))
				f.checkRemoval(t, 3*time.Second, func() []fleet.TargetID {
					f.store.put(id, nil)
					return ids[n : n+1]
				})
			}
		})
	})
}
