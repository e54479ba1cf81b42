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

// This file asks for requests at targets that name rates, and grants them where this instance holds one.

const (
	// tokenWait is how long a request waits for the holder of a rate, which answers within 1 to 5 ms;
	// tokenAgain is after which time it asks once more: a datagram may be lost.
	tokenWait  = 24 * time.Millisecond
	tokenAgain = 8 * time.Millisecond
	// answersKept is how many answers a holder can give again.
	answersKept = 256
	// unansweredFor is for how long a target is not asked for after its holder did not answer, or is
	// not known.
	unansweredFor = 100 * time.Millisecond
	// heardFor is for how long an instance that fell silent is still taken to hold rates. Two that
	// hold one grant it twice.
	heardFor = 3 * time.Second
	// youngHolder is the age below which a process leaves it to others: it may not have heard of
	// them yet.
	youngHolder = 3 * time.Second
	// comeBackMost bounds for how long a caller is told to stay away since targets take no more.
	comeBackMost = 3 * time.Second
	// leastSlots is the least part of a slot that a target with a low rate counts as.
	leastSlots = 0.01
	// zoneLostAfter is when a zone of which nothing is heard is taken to have no instances.
	zoneLostAfter = time.Minute
	// oldestRate is the age from which what is told of a rate is none.
	oldestRate = 24 * time.Hour
	// ratesMost bounds the rates in one datagram, about 35 bytes each.
	ratesMost = 24
)

// rateNode is what rates need of the mesh.
type rateNode interface {
	Addr() string
	View() mesh.View
	TellRates(rates []mesh.TargetRate, far bool)
	AskToken(holder string, a mesh.TokenRequest)
	GiveToken(asker string, t mesh.TokenResponse)
}

// Rates keeps to the rates that targets name, together with the other instances.
type Rates struct {
	table   *targetrate.Table
	node    rateNode
	zone    fleet.Zone
	booted  time.Time
	targets func() *registry.View
	metrics *Metrics

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan mesh.TokenResponse
	leaving bool
	// refused counts the requests of services whose targets take no more, as they come.
	refused map[document.ServiceName]*refusals
	// answered are the last answers to those that asked, in a ring.
	answered     [answersKept]answeredAsk
	answeredNext int
	// zonesHeard is when each other zone was last heard of.
	zonesHeard map[fleet.Zone]time.Time
}

// answeredAsk is what an instance was answered.
type answeredAsk struct {
	asker string
	boot  int64
	token mesh.TokenResponse
}

// NewRates returns rates of which none is known.
func NewRates(node rateNode, zone fleet.Zone, booted time.Time, targets func() *registry.View, m *Metrics) *Rates {
	return &Rates{
		table: targetrate.New(), node: node, zone: zone, booted: booted, targets: targets, metrics: m,
		waiting:    make(map[uint64]chan mesh.TokenResponse),
		refused:    make(map[document.ServiceName]*refusals),
		zonesHeard: make(map[fleet.Zone]time.Time),
	}
}

// Leave gives up what the instance holds.
func (rs *Rates) Leave() {
	rs.mu.Lock()
	rs.leaving = true
	rs.mu.Unlock()
	rs.tick(time.Now())
}

// tick brings up to date which rates this instance holds.
func (rs *Rates) tick(now time.Time) {
	if rs.table.Len() == 0 {
		return
	}
	candidates := rs.candidates(now)
	rs.table.UpdateHeld(now, func(id fleet.TargetID) bool {
		return rs.ours(now, id) && targetrate.Holder(id, candidates) == rs.node.Addr()
	})
}

// candidates are the instances of the zone that may hold rates.
func (rs *Rates) candidates(now time.Time) []targetrate.Candidate {
	rs.mu.Lock()
	leaving := rs.leaving
	rs.mu.Unlock()
	var cs []targetrate.Candidate
	if !leaving {
		cs = append(cs, targetrate.Candidate{Addr: rs.node.Addr(), Young: now.Sub(rs.booted) < youngHolder})
	}
	v := rs.node.View()
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone != rs.zone || m.Leaving || now.Sub(m.LastReceived) > heardFor {
			continue
		}
		cs = append(cs, targetrate.Candidate{Addr: m.Addr, Young: now.UnixMilli()-m.Boot < youngHolder.Milliseconds()})
	}
	return cs
}

// ours tells whether an instance of this zone holds the target's rate: that of the target's own zone does, or
// if nothing was heard of that for long, that of the first zone that has instances. Until then nobody holds it, since
// a zone that is cut off goes on by itself.
func (rs *Rates) ours(now time.Time, id fleet.TargetID) bool {
	t := rs.targets().Target(id)
	if t == nil {
		return false
	}
	if t.Zone == rs.zone {
		return true
	}
	rs.mu.Lock()
	quiet := min(now.Sub(rs.zonesHeard[t.Zone]), now.Sub(rs.booted))
	rs.mu.Unlock()
	if quiet < zoneLostAfter {
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

// holder is the instance to ask for requests at a target; empty if it is not known.
func (rs *Rates) holder(now time.Time, id fleet.TargetID) string {
	if rs.ours(now, id) {
		return targetrate.Holder(id, rs.candidates(now))
	}
	return rs.table.ReportedHolder(now, id)
}

// withheld returns those of the targets that get no request now.
func (rs *Rates) withheld(now time.Time, ts []*registry.Target) []fleet.TargetID {
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

// refusals are those of a service lately.
type refusals struct {
	perSecond float64
	at        time.Time
}

// note counts one more, and returns how many come a second.
func (r *refusals) note(now time.Time) float64 {
	r.perSecond = 1 + r.perSecond*math.Exp(-now.Sub(r.at).Seconds())
	r.at = now
	return r.perSecond
}

// comeBackAfter is when a caller may come back that was refused since the service's targets take no more:
// those that are refused by all instances spread over the time in which the targets take as many.
func (rs *Rates) comeBackAfter(now time.Time, name document.ServiceName, ts []*registry.Target) time.Duration {
	takes := 0.0
	for _, t := range ts {
		takes += float64(rs.table.Rate(t.ID))
	}
	instances := rs.node.View().Instances()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r := rs.refused[name]
	if r == nil {
		r = new(refusals)
		rs.refused[name] = r
	}
	backlog := r.note(now) * float64(instances)
	if takes == 0 {
		return minRetryAfter
	}
	spread := min(time.Duration(backlog/takes*float64(time.Second)), comeBackMost)
	return minRetryAfter + rand.N(spread+1)
}

// slots is how many requests a target works on at once, as far as its rate allows. Each takes as long as
// is usual.
func (rs *Rates) slots(t *registry.Target, usual time.Duration) float64 {
	slots := float64(max(t.Slots, 1))
	if rs == nil {
		return slots
	}
	if rate := rs.table.Rate(t.ID); rate > 0 {
		return min(slots, max(float64(rate)*usual.Seconds(), leastSlots))
	}
	return slots
}

// Admit tells whether a request may be sent to a target now. It asks the holder of the target's rate, if
// there is one.
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
	wait, granted := unansweredFor, false
	switch holder {
	case "":
	case rs.node.Addr():
		wait, granted = rs.table.Grant(now, id, urgent)
	default:
		wait, granted = rs.ask(ctx, holder, id, urgent)
	}
	rs.metrics.CountToken(granted)
	if !granted {
		rs.table.Deny(now, id, wait)
	}
	return granted
}

// ask asks the holder and waits for its answer. One that comes too late is lost.
func (rs *Rates) ask(ctx context.Context, holder string, id fleet.TargetID, urgent bool) (time.Duration, bool) {
	answer := make(chan mesh.TokenResponse, 1)
	rs.mu.Lock()
	rs.number++
	number := rs.number
	rs.waiting[number] = answer
	rs.mu.Unlock()
	defer func() {
		rs.mu.Lock()
		delete(rs.waiting, number)
		rs.mu.Unlock()
	}()
	end := time.NewTimer(tokenWait)
	defer end.Stop()
	again := time.NewTicker(tokenAgain)
	defer again.Stop()
	for {
		rate := toldRate(time.Now(), rs.table.Latest(id), "")
		rs.node.AskToken(holder, mesh.TokenRequest{Number: number, Rate: rate, Urgent: urgent})
		select {
		case t := <-answer:
			return millis(t.WaitMillis), t.Granted
		case <-again.C:
		case <-end.C:
			return unansweredFor, false
		case <-ctx.Done():
			return unansweredFor, false
		}
	}
}

// take takes in what another instance tells of rates, asks of this one, and answers.
func (rs *Rates) take(now time.Time, p *mesh.Packet) {
	if p.Zone != rs.zone {
		rs.mu.Lock()
		rs.zonesHeard[p.Zone] = now
		rs.mu.Unlock()
	}
	for _, r := range p.Rates {
		rs.hear(now, p, r)
	}
	for _, a := range p.TokenRequests {
		rs.hear(now, p, a.Rate)
		rs.node.GiveToken(p.Addr, rs.answerOnce(now, p, a))
	}
	for _, t := range p.TokenResponses {
		rs.mu.Lock()
		answer := rs.waiting[t.Number]
		rs.mu.Unlock()
		if answer != nil {
			select {
			case answer <- t:
			default: // it was answered
			}
		}
	}
}

// answerOnce answers one that asks; if the same is asked again, in the same words.
func (rs *Rates) answerOnce(now time.Time, p *mesh.Packet, a mesh.TokenRequest) mesh.TokenResponse {
	rs.mu.Lock()
	for i := range rs.answered {
		k := &rs.answered[i]
		if k.token.Number == a.Number && k.asker == p.Addr && k.boot == p.Boot {
			t := k.token
			rs.mu.Unlock()
			return t
		}
	}
	rs.mu.Unlock()
	t := rs.answer(now, a)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.answered[rs.answeredNext%answersKept] = answeredAsk{p.Addr, p.Boot, t}
	rs.answeredNext++
	return t
}

// answer is what the holder of a rate says to one that asks.
func (rs *Rates) answer(now time.Time, a mesh.TokenRequest) mesh.TokenResponse {
	t := mesh.TokenResponse{Number: a.Number, WaitMillis: unansweredFor.Milliseconds()}
	if rs.holder(now, a.Rate.Target) != rs.node.Addr() {
		return t
	}
	wait, granted := rs.table.Grant(now, a.Rate.Target, a.Urgent)
	t.Granted, t.WaitMillis = granted, wait.Milliseconds()
	return t
}
