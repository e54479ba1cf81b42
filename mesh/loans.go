package mesh

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// RequestLoans asks up to count random neighbours for parts of retry budgets. It bypasses the
// outbox, since there are at most a few small datagrams per second.
func (n *Node) RequestLoans(requests []Loan, count int) {
	p := n.newVersionedPacket()
	p.LoanRequests = requests
	n.send(Loans, p, n.randomNeighbours(count))
}

// SendLoans replies to a request for loans.
func (n *Node) SendLoans(to string, loans []Loan) {
	p := n.newVersionedPacket()
	p.Loans = loans
	n.sendTo(Loans, to, p)
}

// sendTo sends a packet to one instance, given by its address.
func (n *Node) sendTo(k Kind, to string, p *Packet) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return // not an address that a datagram can be sent to
	}
	n.send(k, p, []netip.AddrPort{addr})
}

// randomNeighbours returns up to count random instances of the own zone.
func (n *Node) randomNeighbours(count int) []netip.AddrPort {
	n.mu.Lock()
	neighbours := n.currentRoutes(time.Now()).neighbours
	n.mu.Unlock()
	var to []netip.AddrPort
	for _, i := range rand.Perm(len(neighbours))[:min(count, len(neighbours))] {
		to = append(to, neighbours[i])
	}
	return to
}
