package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// State is the state of a member. Of two records with the same incarnation
// and version, the one with the higher state takes precedence.
type State uint8

const (
	// Alive members are neither suspected nor stopping.
	Alive State = iota + 1
	// Leaving members announced that they will stop soon.
	Leaving
	// Suspect members failed a probe and have not refuted it yet.
	Suspect
	// Dead members did not refute a suspicion in time, or announced that
	// they stopped.
	Dead
)

// String returns the name of the state as used in logs and status pages.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// MarshalText returns the same text as String.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Member is the record of one process of an instance.
type Member struct {
	ID          fleet.InstanceID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Version orders the records of one incarnation. Only the member itself
	// raises it.
	Version uint64 `json:"version"`
	State   State  `json:"state"`
	// Addr is the IP address and port at which peers reach the member.
	Addr string     `json:"addr"`
	Zone fleet.Zone `json:"zone"`
	// Offset is a lower bound of the configuration offset that the member has
	// applied. It never decreases within one incarnation.
	Offset int64 `json:"offset"`
	// Ready reports whether the member accepts requests from the balancer.
	Ready bool `json:"ready"`
}

// Holder returns the instance ID and incarnation of the member's process.
func (m Member) Holder() fleet.Holder {
	return fleet.Holder{Instance: m.ID, Incarnation: m.Incarnation}
}

// supersedes reports whether record m replaces record old of the same instance.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.State > old.State
}

// size estimates the encoded size of the record in bytes.
func (m Member) size() int {
	const fixed = 32 // tags, lengths, incarnation, version, state, offset
	return fixed + len(m.ID) + len(m.Addr) + len(m.Zone)
}

// View is an immutable snapshot of a table. It includes the instance's own
// record and excludes dead members.
type View struct {
	// Self is the instance that holds the view.
	Self fleet.InstanceID
	// Members is sorted by ID. Callers must not modify it.
	Members []Member
	// Epoch changes whenever a member joins, is removed, restarts, or changes
	// its state, address or readiness, but not when an offset changes.
	Epoch uint64
	// LastContact is the time of the last answer from a peer; zero if there
	// was none.
	LastContact time.Time
	byID        map[fleet.InstanceID]int
}

// NewView returns a snapshot of the given members.
func NewView(self fleet.InstanceID, members []Member) *View {
	v := &View{Self: self, Members: slices.Clone(members)}
	slices.SortFunc(v.Members, func(a, b Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	v.byID = make(map[fleet.InstanceID]int, len(v.Members))
	for i, m := range v.Members {
		v.byID[m.ID] = i
	}
	return v
}

// Get returns the record of a member that is not dead.
func (v *View) Get(id fleet.InstanceID) (Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Live returns the members that are alive, neither suspect nor leaving.
func (v *View) Live() []Member {
	live := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Alive {
			live = append(live, m)
		}
	}
	return live
}

// Offsets returns the configuration offset of each other member that is alive
// or leaving. An offset may lag behind the one actually applied.
func (v *View) Offsets() map[fleet.InstanceID]int64 {
	offsets := make(map[fleet.InstanceID]int64, len(v.Members))
	for _, m := range v.Members {
		if m.ID != v.Self && m.State != Suspect {
			offsets[m.ID] = m.Offset
		}
	}
	return offsets
}
