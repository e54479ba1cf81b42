package instance

import (
	"time"

	"github.com/clementinereel/clementinereel/balancer"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/rendezvous"
)

// members is the member view in the forms that other parts need. It is
// immutable and built anew when the view's epoch changes.
type members struct {
	view        *membership.View
	since       time.Time
	roles       *rendezvous.Table
	forBalancer balancer.Members
}

func newMembers(v *membership.View, self balancer.Member) *members {
	live := v.Live()
	all := make([]balancer.Member, 0, len(live))
	for _, m := range live {
		all = append(all, balancer.Member{ID: m.ID, Zone: m.Zone})
	}
	return &members{
		view:        v,
		since:       time.Now(),
		roles:       rendezvous.NewTable(v.Members),
		forBalancer: balancer.NewMembers(self, all),
	}
}

// followMembers takes a changed member view into use.
func (i *Instance) followMembers() *members {
	v := i.gossip.View()
	m := i.members.Load()
	if m != nil && m.view.Epoch == v.Epoch {
		return m
	}
	m = newMembers(v, balancer.Member{ID: i.self.Instance, Zone: i.cfg.Zone})
	i.members.Store(m)
	return m
}
