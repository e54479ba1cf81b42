package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/rendezvous"
)

// Member is an instance of the own zone.
type Member struct {
	ID fleet.InstanceID
	// Boot is when its process started, in milliseconds since the Unix epoch.
	Boot int64
}

// Fleet is what an instance knows of the others.
type Fleet struct {
	// Members are the instances of the own zone from which datagrams arrive, including the own one.
	Members []Member
	// Total is the number of instances of all zones, including those that are silent; 0 if unknown.
	Total int
}

// part returns the part of a quota that the members have.
func (f *Fleet) part() float64 {
	if f.Total == 0 {
		return 0
	}
	return min(float64(len(f.Members))/float64(f.Total), 1)
}

const (
	// minHolderAge is the age below which a process is no holder while there is one that started
	// minHeadStart earlier: its predecessor may have granted all tokens, and each change of holders begins a
	// bucket anew. Processes that started together are holders at once.
	minHolderAge = 10 * time.Second
	minHeadStart = 2 * time.Second
)

// eligible returns the members that may be holders, sorted.
func (f *Fleet) eligible(now time.Time) []fleet.InstanceID {
	if len(f.Members) == 0 {
		return nil
	}
	oldest := slices.MinFunc(f.Members, func(a, b Member) int { return cmp.Compare(a.Boot, b.Boot) }).Boot
	var ids []fleet.InstanceID
	for _, m := range f.Members {
		young := now.UnixMilli()-m.Boot < minHolderAge.Milliseconds() && m.Boot-oldest >= minHeadStart.Milliseconds()
		if !young {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// rankedMembers returns the instances in the form in which they are ranked as holders of tenants.
func rankedMembers(ids []fleet.InstanceID) []rendezvous.Member {
	members := make([]rendezvous.Member, len(ids))
	for i, id := range ids {
		members[i] = rendezvous.Member{ID: id, State: membership.Alive, Ready: true}
	}
	return members
}
