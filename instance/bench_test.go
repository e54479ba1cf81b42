package instance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/settings"
)

// benchInstance returns an instance that does not run, as a member of a fleet,
// with services of 29 targets each.
func benchInstance(tb testing.TB, members, services int) *Instance {
	cfg := &settings.Settings{
		Instance: "i-0", Zone: "zone-0", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		Platform: settings.Platform{URL: "http://127.0.0.1:1"},
	}
	assert.NilError(tb, cfg.Complete())
	i, err := New(cfg)
	assert.NilError(tb, err)
	tb.Cleanup(i.sockets.close)
	tb.Cleanup(i.operations.Close)
	i.apply(benchState(tb, services).View())
	i.transport.SetView(benchView(i, members))
	i.takeMembers()
	i.services.Tick(time.Now(), i.members.Load().forBalancer)
	return i
}

// takeMembers takes the member view into use at once.
func (i *Instance) takeMembers() {
	i.members.Store(newMembers(i.gossip.View(), balancer.Member{ID: "i-0", Zone: "zone-0"}))
}

func TestManyChangesOfTheViewAreTakenTogether(t *testing.T) {
	i := benchInstance(t, 920, 0)
	first := i.members.Load()
	change := func() {
		v := benchView(i, 919)
		v.Epoch = first.view.Epoch + 1
		i.transport.SetView(v)
	}
	change()
	first.since = time.Now().Add(time.Hour)
	assert.Equal(t, i.followMembers(), first)
	first.since = time.Now().Add(-time.Second)
	assert.Equal(t, i.followMembers().live, 919)
}

func benchView(i *Instance, n int) *membership.View {
	all := []membership.Member{{ID: "i-0", Zone: "zone-0", Incarnation: i.self.Incarnation, State: membership.Alive, Ready: true}}
	for k := 1; k < n; k++ {
		all = append(all, membership.Member{
			ID: fleet.InstanceID(fmt.Sprintf("i-%d", k)), Incarnation: 1, Addr: "127.0.0.1:1",
			Zone: fleet.Zone(fmt.Sprintf("zone-%d", k%6)), Ready: true, State: membership.Alive,
		})
	}
	v := membership.NewView("i-0", all)
	v.Epoch = 1 << 32
	return v
}

func benchState(tb testing.TB, services int) *publication.State {
	s := publication.NewState()
	add := func(rec []byte, err error) {
		assert.NilError(tb, err)
		s.Apply(logservice.Record{Offset: s.Next(), Time: time.Now().Add(-time.Hour), Data: rec})
	}
	for n := range services {
		c, err := contract.Decode(fmt.Appendf(nil, `{"format":"clementinereel/contract/v1","customer":"customer-%d","hosts":["customer-%d.example"],
			"limits":{"rate_per_second":100},"services":[{"name":"main","slots_per_target":4,"connections_per_target":300,"detection":{}}],
			"routes":[{"name":"main","path_prefix":"/v1","service":"main","class":"lookup","limits":{"rate_per_second":50},"deadline":"2s","retry":{}}]}`, n, n))
		assert.NilError(tb, err)
		add(publication.EncodeContract(fmt.Sprintf("p-%d", n), publication.NoRevision, c))
		for k := range 29 {
			add(publication.EncodeTarget(fmt.Sprintf("t-%d-%d", n, k), publication.NoRevision, publication.Announcement{
				ID: fleet.TargetID(fmt.Sprintf("target-%d", k)), Service: fleet.NewServiceID(c.Customer, "main"),
				Addr: "127.0.0.1:1", Zone: fleet.Zone(fmt.Sprintf("zone-%d", k%6)), State: fleet.Joined,
			}))
		}
	}
	return s
}

// BenchmarkTick measures each system of the tick by itself, at today's size
// and at the size that the design is for.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ members, services int }{{36, 3}, {920, 3}, {920, 45}, {920, 450}} {
		i := benchInstance(b, size.members, size.services)
		now := time.Now()
		for name, system := range map[string]func(){
			"limits":     func() { i.allowances.Table().SetView(i.limiterView()) },
			"evidence":   func() { now = now.Add(tickInterval); i.evidence.Tick(now) },
			"services":   func() { now = now.Add(tickInterval); i.services.Tick(now, i.members.Load().forBalancer) },
			"operations": func() { i.operations.Tick(i.started) },
			"ready":      func() { i.judgeReady(now) },
			"roles":      func() { i.holdsRole(checkpointRole) },
		} {
			b.Run(fmt.Sprintf("members=%d/services=%d/%s", size.members, size.services, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					system()
				}
			})
		}
	}
}

// BenchmarkChange measures a contract's change and a changed member list, by
// the number of services.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{3, 45, 450} {
		i := benchInstance(b, 920, services)
		s := benchState(b, services)
		b.Run(fmt.Sprintf("services=%d/configuration", services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				i.services.Update(time.Now(), s.View(), i.members.Load().forBalancer)
			}
		})
		b.Run(fmt.Sprintf("services=%d/members", services), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			for epoch := uint64(2 << 32); b.Loop(); epoch++ {
				v := benchView(i, 920-int(epoch%2))
				v.Epoch = epoch
				i.transport.SetView(v)
				now = now.Add(tickInterval)
				i.takeMembers()
				i.services.Tick(now, i.members.Load().forBalancer)
			}
		})
	}
}
