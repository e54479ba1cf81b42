package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/targetrate"
)

// This file obtains permission to send requests to rate-limited targets, and grants it for the rates
// that this instance holds. A target under pressure names a rate in requests per second for all
// instances together. One instance at a time, the holder, has the whole rate; the others request a
// token from it for each request.

const (
	// tokenTimeout bounds the wait for a token; the holder usually replies within 1–5 ms.
	// tokenRetryInterval is the time after which the request is repeated, since a datagram may be
	// lost.
	tokenTimeout       = 24 * time.Millisecond
	tokenRetryInterval = 8 * time.Millisecond
	// holderUnavailableDelay is the time for which no token is requested for a target whose holder
	// did not reply or is unknown.
	holderUnavailableDelay = 100 * time.Millisecond
	// minHolderAge is the process age below which an instance holds a rate only if there is no older
	// candidate: it may not have discovered the others yet.
	minHolderAge = 3 * time.Second
	// maxRetryAfter bounds the Retry-After that callers get while targets accept no more requests.
	maxRetryAfter = 3 * time.Second
	// minSlots is the least number of slots that a target with a low rate counts as.
	minSlots = 0.01
	// zoneTimeout is the silence after which a zone is considered to have no instances.
	zoneTimeout = time.Minute
	// maxRateAge is the age above which a received rate is rejected.
	maxRateAge = 24 * time.Hour
	// maxRatesPerPacket bounds the rates in one datagram; each takes about 35 bytes.
	maxRatesPerPacket = 24
)

// rateNode is the part of mesh.Node that Rates uses.
type rateNode interface {
	Addr() string
	View() mesh.View
	TellRates(rates []mesh.TargetRate, far bool)
	AskToken(holder string, a mesh.TokenRequest)
	GiveToken(requester string, t mesh.TokenResponse)
}

// Rates enforces the rates that targets name, together with the other instances.
type Rates struct {
	table   *targetrate.Table
	node    rateNode
	zone    fleet.Zone
	booted  time.Time
	targets func() *registry.View
	metrics *Metrics

	questions questions
	replies   sentReplies

	mu      sync.Mutex
	leaving bool
	// refusals has the rate of refused requests of each service whose targets accept no more.
	refusals map[document.ServiceName]*refusalRate
	// zonesSeen has the time of the last packet from each other zone.
	zonesSeen map[fleet.Zone]time.Time
}

// NewRates returns a Rates without any rates.
func NewRates(node rateNode, zone fleet.Zone, booted time.Time, targets func() *registry.View, m *Metrics) *Rates {
	return &Rates{
		table: targetrate.New(), node: node, zone: zone, booted: booted, targets: targets, metrics: m,
		refusals:  make(map[document.ServiceName]*refusalRate),
		zonesSeen: make(map[fleet.Zone]time.Time),
	}
}

// Leave releases the rates that the instance holds.
func (rs *Rates) Leave() {
	rs.mu.Lock()
	rs.leaving = true
	rs.mu.Unlock()
	rs.tick(time.Now())
}

// tick updates the set of rates that this instance holds.
func (rs *Rates) tick(now time.Time) {
	if rs.table.Len() == 0 {
		return
	}
	candidates := rs.candidates(now)
	rs.table.UpdateHeld(now, func(id fleet.TargetID) bool {
		return rs.heldInZone(now, id) && targetrate.Holder(id, candidates) == rs.node.Addr()
	})
}

// candidates returns the instances of the zone that may hold rates.
func (rs *Rates) candidates(now time.Time) []targetrate.Candidate {
	rs.mu.Lock()
	leaving := rs.leaving
	rs.mu.Unlock()
	var all []targetrate.Candidate
	if !leaving {
		all = append(all, targetrate.Candidate{Addr: rs.node.Addr(), Young: now.Sub(rs.booted) < minHolderAge})
	}
	for m := range possibleHolders(now, rs.node.View(), rs.zone) {
		all = append(all, targetrate.Candidate{Addr: m.Addr, Young: now.UnixMilli()-m.Boot < minHolderAge.Milliseconds()})
	}
	return all
}

// heldInZone reports whether an instance of this zone holds the target's rate. The holder is in the
// target's own zone or, if that zone has been silent for zoneTimeout, in the first zone by name that
// has instances. Until the timeout no other zone holds the rate, since a zone that is cut off keeps
// using it.
func (rs *Rates) heldInZone(now time.Time, id fleet.TargetID) bool {
	t := rs.targets().Target(id)
	if t == nil {
		return false
	}
	if t.Zone == rs.zone {
		return true
	}
	rs.mu.Lock()
	silence := min(now.Sub(rs.zonesSeen[t.Zone]), now.Sub(rs.booted))
	rs.mu.Unlock()
	if silence < zoneTimeout {
		return false
	}
	v := rs.node.View()
	for i := range v.Zones {
		if v.Zones[i].Name < rs.zone {
			return false
		}
	}
	return true
}

// holder returns the address of the instance that grants tokens for a target; empty if it is unknown.
func (rs *Rates) holder(now time.Time, id fleet.TargetID) string {
	if rs.heldInZone(now, id) {
		return targetrate.Holder(id, rs.candidates(now))
	}
	return rs.table.ReportedHolder(now, id)
}

// denied returns the targets to which no request may be sent at present.
func (rs *Rates) denied(now time.Time, ts []*registry.Target) []fleet.TargetID {
	if rs == nil || rs.table.Len() == 0 {
		return nil
	}
	var ids []fleet.TargetID
	for _, t := range ts {
		if rs.table.Denied(now, t.ID) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// refusalRate is the recent rate of refused requests of a service.
type refusalRate struct {
	perSecond float64
	at        time.Time
}

// add counts a refusal and returns the refusals per second, averaged exponentially with a time
// constant of one second.
func (r *refusalRate) add(now time.Time) float64 {
	r.perSecond = 1 + r.perSecond*math.Exp(-now.Sub(r.at).Seconds())
	r.at = now
	return r.perSecond
}

// retryAfter returns the Retry-After for a caller that was refused because the service's targets
// accept no more. It spreads the callers that all instances refuse over the time in which the targets
// accept as many requests.
func (rs *Rates) retryAfter(now time.Time, name document.ServiceName, ts []*registry.Target) time.Duration {
	total := 0.0
	for _, t := range ts {
		total += float64(rs.table.Rate(t.ID))
	}
	instances := rs.node.View().Instances()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.refusals[name]
	if r == nil {
		r = new(refusalRate)
		rs.refusals[name] = r
	}
	backlog := r.add(now) * float64(instances)
	if total == 0 {
		return minRetryAfter
	}
	spread := min(time.Duration(backlog/total*float64(time.Second)), maxRetryAfter)
	return minRetryAfter + rand.N(spread+1)
}

// slots returns the number of requests that a target works on at once, as far as its rate allows, if
// each takes the usual time.
func (rs *Rates) slots(t *registry.Target, usualTime time.Duration) float64 {
	slots := float64(max(t.Slots, 1))
	if rs == nil {
		return slots
	}
	if rate := rs.table.Rate(t.ID); rate > 0 {
		return min(slots, max(float64(rate)*usualTime.Seconds(), minSlots))
	}
	return slots
}

// Admit reports whether a request may be sent to a target now. It requests a token from the holder of
// the target's rate, if the target has one.
func (rs *Rates) Admit(ctx context.Context, id fleet.TargetID, urgent bool) bool {
	if rs == nil {
		return true
	}
	now := time.Now()
	rate := rs.table.Rate(id)
	if rate == 0 {
		return true
	}
	holder := rs.holder(now, id)
	wait, granted := holderUnavailableDelay, false
	switch holder {
	case "":
	case rs.node.Addr():
		wait, granted = rs.table.Grant(now, id, urgent)
	default:
		wait, granted = rs.requestToken(ctx, holder, id, urgent)
	}
	rs.metrics.CountToken(granted)
	if !granted {
		rs.table.Deny(now, id, wait)
	}
	return granted
}

// requestToken requests a token from the holder and waits for the reply. A token that arrives too
// late is lost.
func (rs *Rates) requestToken(ctx context.Context, holder string, id fleet.TargetID, urgent bool) (time.Duration, bool) {
	t, ok := rs.questions.ask(ctx, tokenTimeout, tokenRetryInterval, func(number uint64) {
		rate := encodeNaming(time.Now(), rs.table.Latest(id), "")
		rs.node.AskToken(holder, mesh.TokenRequest{Number: number, Rate: rate, Urgent: urgent})
	})
	if !ok {
		return holderUnavailableDelay, false
	}
	return millis(t.WaitMillis), t.Granted
}

// handlePacket applies the rates in a packet, replies to its token requests, and delivers its tokens.
func (rs *Rates) handlePacket(now time.Time, p *mesh.Packet) {
	if p.Zone != rs.zone {
		rs.mu.Lock()
		rs.zonesSeen[p.Zone] = now
		rs.mu.Unlock()
	}
	for _, r := range p.Rates {
		rs.applyRate(now, p, r)
	}
	for _, a := range p.TokenRequests {
		rs.applyRate(now, p, a.Rate)
		id := questionID{p.Addr, p.Boot, a.Number}
		rs.node.GiveToken(p.Addr, rs.replies.once(id, func() mesh.TokenResponse { return rs.reply(now, a) }))
	}
	for _, t := range p.TokenResponses {
		rs.questions.deliver(t)
	}
}

// reply grants a token if this instance holds the rate and the rate allows one, and otherwise returns
// the time to wait.
func (rs *Rates) reply(now time.Time, a mesh.TokenRequest) mesh.TokenResponse {
	t := mesh.TokenResponse{Number: a.Number, WaitMillis: holderUnavailableDelay.Milliseconds()}
	if rs.holder(now, a.Rate.Target) != rs.node.Addr() {
		return t
	}
	wait, granted := rs.table.Grant(now, a.Rate.Target, a.Urgent)
	t.Granted, t.WaitMillis = granted, wait.Milliseconds()
	return t
}
