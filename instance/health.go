package instance

import (
	"time"

	"github.com/clementinereel/clementinereel/evidence"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/peer"
)

// shareEvidence sets up the judgement of targets by pooled evidence.
func (i *Instance) shareEvidence() {
	sender := evidence.NewSender(i.transport.Client(), peer.URL)
	i.evidence = evidence.NewTable(i.self.Instance, i.cfg.Zone, evidence.Settings{},
		i.aggregatorOf, sender, time.Now, i.metrics.Metrics())
	i.suspect = i.metrics.Gauge("evidence_services_suspect")
	i.peers.Handle(i.evidence.Handler())
}

// aggregatorOf returns the instance that pools a service's evidence.
func (i *Instance) aggregatorOf(id fleet.ServiceID) fleet.InstanceID {
	return i.members.Load().aggregator(id)
}
