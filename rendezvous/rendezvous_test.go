package rendezvous

import (
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
)

func readyMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), State: membership.Alive, Ready: true}
	}
	return members
}

func TestNoOwnerWithoutMembers(t *testing.T) {
	_, ok := Owner("k", nil)
	assert.Assert(t, !ok)
	dead := readyMembers(1)
	dead[0].State = membership.Dead
	_, ok = Owner("k", dead)
	assert.Assert(t, !ok)
	_, ok = NewTable(dead).Owner("k")
	assert.Assert(t, !ok)
	assert.Equal(t, len(Ranked("k", dead, 3)), 0)
}

func TestPreference(t *testing.T) {
	tests := map[string]struct {
		degrade func(*Member)
		others  func(*Member) // applied to the other members
		stays   bool
	}{
		"suspect loses the role":        {degrade: setState(membership.Suspect)},
		"leaving loses the role":        {degrade: setState(membership.Leaving)},
		"not ready loses the role":      {degrade: func(m *Member) { m.Ready = false }},
		"suspect ranks before leaving":  {setState(membership.Suspect), setState(membership.Leaving), true},
		"all leaving keep their owners": {setState(membership.Leaving), setState(membership.Leaving), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			members := readyMembers(8)
			owner, _ := Owner("k", members)
			for i := range members {
				if members[i].ID == owner {
					tt.degrade(&members[i])
				} else if tt.others != nil {
					tt.others(&members[i])
				}
			}
			now, ok := Owner("k", members)
			assert.Assert(t, ok)
			assert.Equal(t, now == owner, tt.stays)
		})
	}
}

func setState(s membership.State) func(*Member) {
	return func(m *Member) { m.State = s }
}

// Owner, Table.Owner and Ranked must agree, and the second in rank must become
// the owner when the owner dies.
func TestOwnerAndRankedAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := readyMembers(rapid.IntRange(1, 30).Draw(t, "count"))
		for i := range members {
			members[i].State = membership.State(rapid.IntRange(1, 4).Draw(t, "state"))
			members[i].Ready = rapid.Bool().Draw(t, "ready")
		}
		key := rapid.String().Draw(t, "key")
		owner, ok := Owner(key, members)
		fromTable, okTable := NewTable(members).Owner(key)
		ranked := Ranked(key, members, len(members))
		if ok != okTable || owner != fromTable || ok != (len(ranked) > 0) {
			t.Fatalf("Owner %q %v, Table.Owner %q %v, Ranked %v", owner, ok, fromTable, okTable, ranked)
		}
		if len(ranked) < 2 {
			return
		}
		for i := range members {
			if members[i].ID == owner {
				members[i].State = membership.Dead
			}
		}
		if successor, _ := Owner(key, members); successor != ranked[1] || owner != ranked[0] {
			t.Fatalf("successor %q, ranked %v", successor, ranked)
		}
	})
}

func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	members := readyMembers(44)
	before, after := NewTable(members), NewTable(members[1:])
	const keys = 20000
	share := map[fleet.InstanceID]int{}
	for i := range keys {
		key := strconv.Itoa(i)
		was, _ := before.Owner(key)
		is, _ := after.Owner(key)
		share[was]++
		if was != members[0].ID {
			assert.Equal(t, was, is)
		}
	}
	for _, m := range members { // mean 455, within five standard deviations
		assert.Assert(t, share[m.ID] > 350 && share[m.ID] < 562, "%s owns %d", m.ID, share[m.ID])
	}
}

func TestOwnerDoesNotAllocate(t *testing.T) {
	members := readyMembers(44)
	table := NewTable(members)
	assert.Equal(t, testing.AllocsPerRun(100, func() { Owner("some/key", members) }), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { table.Owner("some/key") }), 0.0)
}

func TestRankedIsPrefixOfFullOrder(t *testing.T) {
	table := NewTable(readyMembers(44))
	for i := range 200 {
		key := strconv.Itoa(i)
		all := table.Ranked(key, 44)
		assert.Equal(t, len(all), 44)
		owner, _ := table.Owner(key)
		assert.Equal(t, all[0], owner)
		for _, n := range []int{0, 1, 2, 7} {
			assert.DeepEqual(t, table.Ranked(key, n), all[:n])
		}
		assert.DeepEqual(t, table.Ranked(key, 99), all)
	}
}

func BenchmarkRanked(b *testing.B) {
	for _, count := range []int{44, 920} {
		table := NewTable(readyMembers(count))
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Ranked("some/key", 2)
			}
		})
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, count := range []int{44, 920} {
		members := readyMembers(count)
		table := NewTable(members)
		b.Run(fmt.Sprintf("members=%d/members", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Owner("daugava/catalogue", members)
			}
		})
		b.Run(fmt.Sprintf("members=%d/table", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Owner("daugava/catalogue")
			}
		})
		b.Run(fmt.Sprintf("members=%d/build", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewTable(members)
			}
		})
	}
}
