package mesh

import (
	"net/netip"
	"slices"
	"time"
)

// TellRates tells the own zone at once of rates that targets name, and the bridges of the other zones
// too if far is set. It does not wait for the link: rates change seldom.
func (n *Node) TellRates(rates []TargetRate, far bool) {
	p := n.stamped()
	p.Rates = rates
	n.send(Rates, p, n.neighbours(far))
}

// neighbours are the instances of the own zone, with the bridges of the other zones if far is set.
func (n *Node) neighbours(far bool) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.routesAt(time.Now())
	if !far {
		return r.near
	}
	return slices.Concat(r.near, r.far)
}

// AskToken asks an instance, by its address, for a request out of a rate that it holds.
func (n *Node) AskToken(holder string, a TokenAsk) {
	p := n.stamped()
	p.TokenAsks = []TokenAsk{a}
	n.sendTo(Rates, holder, p)
}

// GiveToken answers such an instance.
func (n *Node) GiveToken(asker string, t Token) {
	p := n.stamped()
	p.Tokens = []Token{t}
	n.sendTo(Rates, asker, p)
}
