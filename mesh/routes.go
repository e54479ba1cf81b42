package mesh

import (
	"net/netip"
	"time"
)

const (
	// routesFor is for how long routes are used before they are worked out anew, and viewFor
	// the same of a view: a member becomes silent, and a bridge is replaced, only after
	// seconds, and to work them out costs more the larger the fleet.
	routesFor = 100 * time.Millisecond
	viewFor   = 50 * time.Millisecond
)

// routes is where this instance's datagrams go to.
type routes struct {
	at time.Time
	// near are the neighbours in the own zone, names what they are known by, in the same
	// order, and far the bridges of the other zones.
	near, far []netip.AddrPort
	names     []string
	// place is this instance's place in the order of its zone; the first are its bridges.
	place int
}

// concerned are the neighbours for whose addresses concerns is true.
func (r *routes) concerned(concerns func(addr string) bool) []netip.AddrPort {
	var to []netip.AddrPort
	for i, name := range r.names {
		if concerns(name) {
			to = append(to, r.near[i])
		}
	}
	return to
}

// routesAt returns the routes of this moment, which must not be changed; the lock is held.
func (n *Node) routesAt(now time.Time) *routes {
	if now.Sub(n.routes.at) >= routesFor {
		n.routes = routes{at: now, far: n.members.bridges(now), place: n.members.place(now)}
		n.routes.names, n.routes.near = n.members.neighbours(now)
	}
	return &n.routes
}

// changed drops what was worked out from the table of members; the lock is held.
func (n *Node) changed() {
	n.routes.at = time.Time{}
	n.view.At = time.Time{}
}

// View returns the other instances. It is shared, and must not be changed. What a member told
// of its versions is in it at once, for who is told of a newer one looks here where to get it.
func (n *Node) View() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Sub(n.view.At) >= viewFor {
		n.view = n.members.view(now)
		n.view.Interval = n.members.interval()
	}
	return n.view
}
