package mesh

import "github.com/clementinereel/clementinereel/registry"

// TellDepartures tells the own zone at once of targets that said in answers that they leave, and the bridges of
// the other zones too if far is set. It does not wait for the link: a target leaves once.
func (n *Node) TellDepartures(ds []registry.Departure, far bool) {
	p := n.stamped()
	p.Departures = ds
	n.send(Departures, p, n.neighbours(far))
}
