package statesync

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// registerProcess registers a target's process with the given start time.
func (f *fleetModel) registerProcess(id fleet.TargetID, born, sequence int64) {
	f.store.put(id, &registry.Entry{ID: id, Service: service, Slots: 2, Sequence: sequence, Born: born})
}

// reportDeparture records a departure announced in a response to the instance, and sends it to the
// peers.
func (m *instanceModel) reportDeparture(d registry.Departure) {
	if added := m.state.RecordDepartures([]registry.Departure{d}, "self"); len(added) > 0 {
		m.sendDepartures(added, true)
	}
}

// sendDepartures sends departures to the own zone, and to the bridges of the others if far is set.
func (m *instanceModel) sendDepartures(ds []registry.Departure, far bool) {
	p := m.packet()
	p.Departures = ds
	m.sendToZone(p)
	for _, o := range m.fleet.members {
		if far && o.zone != m.zone && o.isBridge() && !m.fleet.chance(m.fleet.packetLoss) {
			time.AfterFunc(peerLatency+o.extraLatency, func() { o.receive(p) })
		}
	}
}

// TestDepartedTargetIsNotUsed guards against use of a target after it announced in a response that
// it is leaving. The failure: the store still listed the target as ready, which kept it in use or
// returned it to use.
func TestDepartedTargetIsNotUsed(t *testing.T) {
	const (
		otherTargets = 6
		outage       = 6 * time.Second
		born         = 1000
		watchTime    = 2 * time.Second
	)
	forEachFleet(t, func(t *testing.T, f *fleetModel) {
		f.pullsHang = false
		f.run(t, func(t *testing.T, ctx context.Context) {
			kept := f.registerTargets(otherTargets)
			f.registerProcess("leaver", born, 1)
			time.Sleep(2 * time.Second)
			f.store.setDown(true, f.chance(0.5), f.chance(0.5))
			time.Sleep(time.Second)
			reportedAt, receiver := time.Now(), f.members[f.intN(len(f.members))]
			receiver.reportDeparture(registry.Departure{ID: "leaver", Born: born})
			assert.Check(t, !receiver.uses("leaver"), "the instance that received the departure still uses the target")
			last, by := f.lastUse(reportedAt, watchTime, "leaver")
			t.Logf("last used %v after the departure", last)
			assert.Check(t, last <= maxUseAfterRemoval/2, "%s uses the target %v after its departure", by, last)

			// A restarted instance receives the departure from its peers; neither the store's return nor renewals revert it.
			restarted := f.members[f.intN(len(f.members))]
			restarted.stop()
			restarted.start(ctx)
			time.Sleep(outage)
			f.store.setDown(false, false, false)
			f.registerProcess("leaver", born, 2)
			time.Sleep(3 * time.Second)
			using := func(id fleet.TargetID) int {
				n := 0
				for _, m := range f.members {
					if m.uses(id) {
						n++
					}
				}
				return n
			}
			assert.Check(t, using("leaver") == 0, "%d instances use the target after a renewal", using("leaver"))
			for _, id := range kept {
				assert.Check(t, using(id) == len(f.members), "%d of %d instances use %s", using(id), len(f.members), id)
			}
			f.registerProcess("leaver", born+1, 1)
			time.Sleep(2 * time.Second)
			assert.Check(t, using("leaver") == len(f.members), "%d of %d instances use the target's next process", using("leaver"), len(f.members))
		})
	})
}
