package gateway

import (
	"iter"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
)

// holderTimeout is the silence after which an instance is no longer considered a holder, of a target's rate or
// of a tenant's quota. Two instances that hold the same rate grant it twice.
const holderTimeout = 3 * time.Second

// possibleHolders returns the other instances of the zone that may be holders.
func possibleHolders(now time.Time, v mesh.View, zone fleet.Zone) iter.Seq[*mesh.Member] {
	return func(yield func(*mesh.Member) bool) {
		for i := range v.Members {
			m := &v.Members[i]
			if m.Zone != zone || m.Leaving || now.Sub(m.LastReceived) > holderTimeout {
				continue
			}
			if !yield(m) {
				return
			}
		}
	}
}
