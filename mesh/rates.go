package mesh

import (
	"net/netip"
	"slices"
	"time"
)

// TellRates sends rates that targets declare to the own zone at once and, if otherZones is set, to
// the bridges of the other zones. It bypasses the outbox, since rates rarely change.
func (n *Node) TellRates(rates []TargetRate, otherZones bool) {
	p := n.newVersionedPacket()
	p.Rates = rates
	n.send(Rates, p, n.recipients(otherZones))
}

// recipients returns the instances of the own zone and, if otherZones is set, the bridges of the
// other zones.
func (n *Node) recipients(otherZones bool) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.currentRoutes(time.Now())
	if !otherZones {
		return r.neighbours
	}
	return slices.Concat(r.neighbours, r.bridges)
}

// AskToken asks the holder of a rate, given by its address, for permission to send a request.
func (n *Node) AskToken(holder string, r TokenRequest) {
	p := n.newVersionedPacket()
	p.TokenRequests = []TokenRequest{r}
	n.sendTo(Rates, holder, p)
}

// GiveToken replies to a token request.
func (n *Node) GiveToken(requester string, t TokenResponse) {
	p := n.newVersionedPacket()
	p.TokenResponses = []TokenResponse{t}
	n.sendTo(Rates, requester, p)
}
