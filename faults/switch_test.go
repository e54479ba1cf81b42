package faults

import (
	"maps"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// TestSwitchKnowsWhoConnects guards the tests that cut pairs: were a
// connection's instance not found, its cut would do nothing. Instances keep
// connections to all targets open ahead of use, so each target knows each.
func TestSwitchKnowsWhoConnects(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries, TargetLinks: true})
	want := []fleet.InstanceID{"i-1", "i-2", "i-3"}
	for _, target := range f.Targets["price-catalogue"] {
		Eventually(t, func() error {
			target.Callers.mu.Lock()
			defer target.Callers.mu.Unlock()
			from := slices.Sorted(maps.Keys(target.Callers.links))
			if !slices.Equal(from, want) {
				return errors.Errorf("%s knows %v, want %v", target.ID, from, want)
			}
			return nil
		})
	}
}
