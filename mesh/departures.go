package mesh

import "github.com/clementinereel/clementinereel/registry"

// AnnounceDepartures sends departures of targets to the own zone at once and, if otherZones is set,
// to the bridges of the other zones. It bypasses the outbox, since each target leaves only once.
func (n *Node) AnnounceDepartures(departures []registry.Departure, otherZones bool) {
	p := n.newVersionedPacket()
	p.Departures = departures
	n.send(Departures, p, n.recipients(otherZones))
}
