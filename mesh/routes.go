package mesh

import (
	"net/netip"
	"time"
)

const (
	// routesTTL and viewTTL are the times for which routes and views are cached. Members become
	// silent and bridges are replaced only after seconds, and the cost of recomputing grows with
	// the fleet.
	routesTTL = 100 * time.Millisecond
	viewTTL   = 50 * time.Millisecond
)

// routes holds the recipients of this instance's datagrams.
type routes struct {
	computedAt time.Time
	// neighbours are the instances of the own zone, neighbourAddrs their addresses as strings in
	// the same order, and bridges the bridges of the other zones.
	neighbours, bridges []netip.AddrPort
	neighbourAddrs      []string
	// position is this instance's position in the order of its zone; the first ones are its
	// bridges.
	position int
}

// matching returns the neighbours whose address satisfies match.
func (r *routes) matching(match func(addr string) bool) []netip.AddrPort {
	var to []netip.AddrPort
	for i, addr := range r.neighbourAddrs {
		if match(addr) {
			to = append(to, r.neighbours[i])
		}
	}
	return to
}

// currentRoutes returns the routes at the given time, which must not be modified. n.mu must be
// held.
func (n *Node) currentRoutes(now time.Time) *routes {
	if now.Sub(n.routes.computedAt) >= routesTTL {
		n.routes = routes{computedAt: now, bridges: n.members.bridges(now), position: n.members.position(now)}
		n.routes.neighbourAddrs, n.routes.neighbours = n.members.neighbours(now)
	}
	return &n.routes
}

// invalidate drops what is cached from the member table. n.mu must be held.
func (n *Node) invalidate() {
	n.routes.computedAt = time.Time{}
	n.view.At = time.Time{}
}

// View returns a snapshot of the other instances. It is shared and must not be modified. Versions
// that a member sends are included at once, because an instance that receives a newer version looks
// here for the members that have it.
func (n *Node) View() View {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Sub(n.view.At) >= viewTTL {
		n.view = n.members.view(now)
		n.view.Interval = n.members.heartbeatInterval()
	}
	return n.view
}
