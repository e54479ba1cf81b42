package instance

import (
	"net/netip"

	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer"
)

// joinPeers sets up the calls from and to other instances and the gossip by
// which they find each other.
func (i *Instance) joinPeers() error {
	set := peer.Settings{Secret: i.cfg.PeerSecret}
	i.transport = peer.NewTransport(i.self, set, i.metrics.Metrics())
	i.peers = peer.NewServer(i.transport)
	gossip, err := peer.NewGossip(peer.GossipOptions{
		Self: membership.Member{
			ID:          i.self.Instance,
			Incarnation: i.self.Incarnation,
			Addr:        i.advertised(),
			Zone:        i.cfg.Zone,
		},
		Transport:    i.transport,
		List:         i.platform,
		ListInterval: i.cfg.Platform.ListInterval.D(),
	}, i.peers)
	i.gossip = gossip
	return err
}

// advertised is the address that peers are told; where the settings leave the
// port to the kernel, it is that of the socket.
func (i *Instance) advertised() string {
	ap, err := netip.ParseAddrPort(i.cfg.Advertise)
	if err == nil && ap.Port() == 0 {
		return i.PeerAddr()
	}
	return i.cfg.Advertise
}
