package statesync

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// process registers a process of a target that was born at the given time.
func (f *fleetModel) process(id fleet.TargetID, born, sequence int64) {
	f.store.put(id, &registry.Entry{ID: id, Service: service, Slots: 2, Sequence: sequence, Born: born})
}

// answered lets an answer tell the instance that a target leaves, and the instance tell the others.
func (m *instanceModel) answered(d registry.Departure) {
	if news := m.state.Depart([]registry.Departure{d}, "self"); len(news) > 0 {
		m.tellDepartures(news, true)
	}
}

// tellDepartures tells the own zone, and the bridges of the others if far is set.
func (m *instanceModel) tellDepartures(ds []registry.Departure, far bool) {
	p := m.packet()
	p.Departures = ds
	m.tell(p)
	for _, o := range m.fleet.members {
		if far && o.zone != m.zone && o.bridges() && !m.fleet.chance(lostShare) {
			time.AfterFunc(peerLatency+o.late, func() { o.hear(p) })
		}
	}
}

// TestNoTargetIsUsedAfterItSaidThatItLeaves: the store's word that a target is ready kept it in use, and brought it back,
// after the target had said otherwise in an answer.
func TestNoTargetIsUsedAfterItSaidThatItLeaves(t *testing.T) {
	const (
		others  = 6
		away    = 6 * time.Second
		born    = 1000
		watched = 2 * time.Second
	)
	eachFleet(t, func(t *testing.T, f *fleetModel) {
		f.hangs = false
		f.run(t, func(t *testing.T, ctx context.Context) {
			kept := f.targetsOf(others)
			f.process("leaver", born, 1)
			time.Sleep(2 * time.Second)
			f.store.setDown(true, f.chance(0.5), f.chance(0.5))
			time.Sleep(time.Second)
			told, heard := time.Now(), f.members[f.pick(len(f.members))]
			heard.answered(registry.Departure{ID: "leaver", Born: born})
			assert.Check(t, !heard.uses("leaver"), "the instance that was told uses it")
			last, by := f.lastUse(told, watched, "leaver")
			t.Logf("last used %v after", last)
			assert.Check(t, last <= leaveBound/2, "%s uses it %v after", by, last)

			// A process that starts now knows it from its peers, the store's return and renewals change nothing.
			fresh := f.members[f.pick(len(f.members))]
			fresh.stop()
			fresh.start(ctx)
			time.Sleep(away)
			f.store.setDown(false, false, false)
			f.process("leaver", born, 2)
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
			assert.Check(t, using("leaver") == 0, "%d instances use it after a renewal", using("leaver"))
			for _, id := range kept {
				assert.Check(t, using(id) == len(f.members), "%d of %d instances use %s", using(id), len(f.members), id)
			}
			f.process("leaver", born+1, 1)
			time.Sleep(2 * time.Second)
			assert.Check(t, using("leaver") == len(f.members), "%d of %d instances use its next process", using("leaver"), len(f.members))
		})
	})
}
