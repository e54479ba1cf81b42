package mesh

import (
	"time"

	"github.com/clementinereel/clementinereel/quota"
)

// SendQuotaRequest asks another instance, given by its address, for a token of a tenant's quota for a request of a
// rank, or returns one.
func (n *Node) SendQuotaRequest(to string, r QuotaRequest, rank quota.Rank) {
	p := n.newVersionedPacket()
	p.QuotaRequests = []QuotaRequest{r}
	if rank > 0 { // which is what a missing one means
		p.QuotaRanks = []quota.Rank{rank}
	}
	n.sendTo(Quotas, to, p)
}

// SendQuotaResponse replies to a QuotaRequest.
func (n *Node) SendQuotaResponse(requester string, r TokenResponse) {
	p := n.newVersionedPacket()
	p.QuotaResponses = []TokenResponse{r}
	n.sendTo(Quotas, requester, p)
}

// QuotaRank returns the rank of the QuotaRequest at an index.
func (p *Packet) QuotaRank(i int) quota.Rank {
	if i >= len(p.QuotaRanks) {
		return 0
	}
	return min(p.QuotaRanks[i], quota.Ranks-1)
}

// Contacts returns the addresses of up to count instances of other zones whose digests arrive. They rarely
// change, and differ between instances: the first datagram to an instance costs a greeting.
func (n *Node) Contacts(count int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.contacts(time.Now(), count)
}
