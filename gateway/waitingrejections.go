package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/rejection"
)

// This file records which attempts targets reject, and exchanges the counts with other instances.

// recordRejection records whether the target rejected the attempt.
func (c *call) recordRejection(e attemptResult) {
	if !c.queueing || e.result.Response == nil || e.result.Response.Status == http.StatusMisdirectedRequest {
		return
	}
	rejected := e.result.Kind == exchange.Refused
	if rejected || e.result.Kind == exchange.Answered {
		c.h.Waiting.rejections.Record(time.Now(), rejection.Key{Service: c.service, Zone: e.placed.Zone}, e.placed.ID, rejected)
	}
}

// rejectedWidely reports whether the service's targets reject requests in all zones.
func (c *call) rejectedWidely() bool { return c.queueing && c.rejectionState().Wide }

func (c *call) rejectionState() rejection.State {
	return c.h.Waiting.rejections.State(c.service, zonesOf(c.h.State.Targets().Services[c.service]))
}

// targetsOfRejectingZones returns the targets in zones whose targets reject requests widely, if those of other
// zones do not.
func (c *call) targetsOfRejectingZones(targets []*registry.Target) (ids []fleet.TargetID) {
	if !c.queueing {
		return nil
	}
	s := c.rejectionState()
	if s.Wide || len(s.Rejecting) == 0 {
		return nil
	}
	for _, t := range targets {
		if slices.Contains(s.Rejecting, t.Zone) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// zonesOf returns the zones of the targets.
func zonesOf(targets []*registry.Target) (zones []fleet.Zone) {
	for _, t := range targets {
		if !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	return zones
}

func logRejectionChange(c rejection.Change) {
	eventlog.Info(eventlog.ServiceRejecting, "service", c.Service, "zone", c.Zone, "rejecting", c.Rejecting, "attempts", c.Counts.Attempts, "rejections", c.Counts.Rejections,
		"heard_from", c.Senders, "before_ms", c.Lasted.Milliseconds())
}

// fillHeartbeat adds this instance's counts to a heartbeat.
func (w *Waiting) fillHeartbeat(now time.Time, p *mesh.Packet) {
	p.Rejections = encodeRejections(w.rejections.Own(now))
}

// fillDigest adds the counts of the own zone to a datagram for other zones.
func (w *Waiting) fillDigest(now time.Time, p *mesh.Packet) {
	p.Rejections = encodeRejections(w.rejections.Summary(now))
}

// handlePacket applies the counts of another instance or zone.
func (w *Waiting) handlePacket(now time.Time, p *mesh.Packet) {
	switch {
	case p.Zone != w.zone && p.Digest != nil:
		w.rejections.Apply(now, rejection.Sender{Name: "zone " + string(p.Zone), Distant: true}, decodeRejections(p.Rejections))
	case p.Zone == w.zone && p.Heartbeat:
		w.rejections.Apply(now, rejection.Sender{Name: p.Addr, Boot: p.Boot, Sequence: p.Sequence}, decodeRejections(p.Rejections))
	}
}

func encodeRejections(reports []rejection.Report) (encoded []mesh.Rejections) {
	for _, r := range reports {
		e := mesh.Rejections{Service: r.Service, Zone: r.Zone, ElapsedMillis: r.Elapsed.Milliseconds(), Tried: uint64(r.Tried), Rejecting: uint64(r.Rejecting)}
		for _, c := range r.Slots {
			e.Attempts, e.Rejected = append(e.Attempts, c.Attempts), append(e.Rejected, c.Rejections)
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// decodeRejections returns the reports in a packet. Slots that a sender leaves out are empty.
func decodeRejections(encoded []mesh.Rejections) (reports []rejection.Report) {
	for _, e := range encoded {
		r := rejection.Report{
			Key: rejection.Key{Service: e.Service, Zone: e.Zone}, Elapsed: millis(e.ElapsedMillis),
			Tried: rejection.TargetSet(e.Tried), Rejecting: rejection.TargetSet(e.Rejecting),
		}
		for i := range min(len(e.Attempts), len(e.Rejected), rejection.Slots) {
			r.Slots[i] = rejection.Counts{Attempts: e.Attempts[i], Rejections: e.Rejected[i]}
		}
		reports = append(reports, r)
	}
	return reports
}
