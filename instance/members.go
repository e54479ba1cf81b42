package instance

import (
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/rendezvous"
)

// members is the member view in the forms that other parts need. It is
// immutable and built anew when the view's epoch changes.
type members struct {
	view        *membership.View
	live        int
	since       time.Time
	roles       *rendezvous.Table
	forBalancer balancer.Members
	// aggregators holds the owners of services' evidence that were looked up.
	aggregators sync.Map // fleet.ServiceID -> fleet.InstanceID
}

func newMembers(v *membership.View, self balancer.Member) *members {
	live := v.Live()
	all := make([]balancer.Member, 0, len(live))
	for _, m := range live {
		all = append(all, balancer.Member{ID: m.ID, Zone: m.Zone})
	}
	return &members{
		view:        v,
		live:        len(live),
		since:       time.Now(),
		roles:       rendezvous.NewTable(v.Members),
		forBalancer: balancer.NewMembers(self, all),
	}
}

// aggregator returns the instance that pools a service's evidence.
func (m *members) aggregator(id fleet.ServiceID) fleet.InstanceID {
	if known, ok := m.aggregators.Load(id); ok {
		return known.(fleet.InstanceID)
	}
	owner, _ := m.roles.Owner("evidence/" + string(id))
	m.aggregators.Store(id, owner)
	return owner
}

// changePerMember times the members is how far apart changed views are taken
// into use. Each divides the connections to all targets anew, and when a zone
// is lost in a large fleet the view changes with every tick.
const changePerMember = time.Millisecond

// followMembers takes a changed member view into use.
func (i *Instance) followMembers() *members {
	v := i.gossip.View()
	m := i.members.Load()
	if m != nil && (m.view.Epoch == v.Epoch || m.tooEarly(v)) {
		return m
	}
	m = newMembers(v, balancer.Member{ID: i.self.Instance, Zone: i.cfg.Zone})
	i.members.Store(m)
	return m
}

// tooEarly tells whether another view should wait for more changes.
func (m *members) tooEarly(v *membership.View) bool {
	return time.Since(m.since) < time.Duration(len(v.Members))*changePerMember
}
