package mesh

import "time"

// AnnouncePaths sends a change of this instance's paths to targets to the own zone at once. Other zones
// learn of it by digests.
func (n *Node) AnnouncePaths(r *PathReport) {
	p := n.newVersionedPacket()
	p.Paths = r
	n.send(Announcements, p, n.recipients(false))
}

// DistantMembers returns up to count random instances of other zones whose digests arrive. Only of the
// bridges among them it is known whether they run and what they reach.
func (n *Node) DistantMembers(count int) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.distant(time.Now(), count)
}
