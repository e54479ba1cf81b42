package gateway

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/targetrate"
)

var (
	rateSeeds = flag.Int("rate-seeds", 4, "seeds of the model of targets' rates")
	rateSize  = flag.Int("rate-size", 36, "instances of the fleet: 36, 130, 300 or 920")
	rateFirst = flag.Uint64("rate-first", 1, "the first of them")
)

// rateFleet is a fleet of real Rates before a modelled network.
type rateFleet struct {
	random    *rand.Rand
	mu        sync.Mutex // guards random and arrivals
	instances []*rateInstance
	byAddr    map[string]*rateInstance
	targets   *registry.View
	// named is the rate that each target names; 0 if none.
	named map[fleet.TargetID]targetrate.Rate
	// arrivals are those at each target.
	arrivals map[fleet.TargetID][]time.Time
	// cut are zones that do not hear others.
	cut map[fleet.Zone]bool
}

// rateInstance is one instance's end of the network.
type rateInstance struct {
	fleet  *rateFleet
	addr   string
	zone   fleet.Zone
	place  int
	rates  *Rates
	booted time.Time
	end    context.CancelFunc

	mu      sync.Mutex
	members map[string]mesh.Member
	zones   map[fleet.Zone]time.Time
}

// rateLoss is the part of the datagrams that are lost.
const rateLoss = 0.1

func (f *rateFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *rateFleet) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// Addr implements rateNode.
func (in *rateInstance) Addr() string { return in.addr }

// View implements rateNode.
func (in *rateInstance) View() mesh.View {
	in.mu.Lock()
	defer in.mu.Unlock()
	v := mesh.View{At: time.Now(), Zone: in.zone}
	for _, m := range in.members {
		v.Members = append(v.Members, m)
	}
	for z, heard := range in.zones {
		if time.Since(heard) < 12*time.Second {
			v.Zones = append(v.Zones, mesh.Zone{Name: z, Instances: 1, LastDigest: heard})
		}
	}
	return v
}

// send carries a datagram.
func (in *rateInstance) send(to *rateInstance, p *mesh.Packet) {
	f := in.fleet
	if f.chance(rateLoss) || in.zone != to.zone && (f.cut[in.zone] || f.cut[to.zone]) {
		return
	}
	delay := time.Millisecond
	if in.zone != to.zone {
		delay = 2 * time.Millisecond
	}
	time.AfterFunc(delay, func() { to.hear(p) })
}

// hear takes in a datagram; a bridge passes digests on within its zone.
func (in *rateInstance) hear(p *mesh.Packet) {
	now := time.Now()
	in.mu.Lock()
	if p.Zone == in.zone {
		in.members[p.Addr] = mesh.Member{Addr: p.Addr, Zone: p.Zone, Boot: p.Boot, Leaving: p.Leaving, LastReceived: now}
	} else if p.Digest != nil {
		in.zones[p.Zone] = now
	}
	in.mu.Unlock()
	in.rates.take(now, p)
	if p.Zone == in.zone || p.Relayed || p.Digest == nil {
		return
	}
	q := *p
	q.Relayed = true
	for _, o := range in.fleet.instances {
		if o.zone == in.zone && o != in {
			in.send(o, &q)
		}
	}
}

func (in *rateInstance) packet() *mesh.Packet {
	return &mesh.Packet{Addr: in.addr, Zone: in.zone, Boot: in.booted.UnixMilli()}
}

func (in *rateInstance) bridges() bool { return in.place < 2 }

// TellRates implements rateNode.
func (in *rateInstance) TellRates(rates []mesh.TargetRate, far bool) {
	p := in.packet()
	p.Rates = rates
	for _, o := range in.fleet.instances {
		if o != in && (o.zone == in.zone || far && o.bridges()) {
			in.send(o, p)
		}
	}
}

// AskToken implements rateNode.
func (in *rateInstance) AskToken(holder string, a mesh.TokenRequest) {
	p := in.packet()
	p.TokenRequests = []mesh.TokenRequest{a}
	in.send(in.fleet.byAddr[holder], p)
}

// GiveToken implements rateNode.
func (in *rateInstance) GiveToken(asker string, t mesh.TokenResponse) {
	p := in.packet()
	p.TokenResponses = []mesh.TokenResponse{t}
	in.send(in.fleet.byAddr[asker], p)
}

// start begins a process that knows nothing.
func (in *rateInstance) start(ctx context.Context, perSecond float64) {
	ctx, in.end = context.WithCancel(ctx)
	in.mu.Lock()
	in.members, in.zones = make(map[string]mesh.Member), make(map[fleet.Zone]time.Time)
	in.mu.Unlock()
	in.booted = time.Now()
	in.rates = NewRates(in, in.zone, in.booted, func() *registry.View { return in.fleet.targets }, NewMetrics())
	go in.beat(ctx)
	go in.work(ctx, perSecond)
}

func (in *rateInstance) beat(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		in.rates.tick(now)
		p := in.packet()
		in.rates.fill(now, p)
		for _, o := range in.fleet.instances {
			if o != in && o.zone == in.zone {
				in.send(o, p)
			}
		}
		if in.bridges() {
			q := *p
			q.Digest = new(mesh.Digest)
			for _, o := range in.fleet.instances {
				if o.zone != in.zone && o.bridges() {
					in.send(o, &q)
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// work sends requests to random targets, as their rates allow.
func (in *rateInstance) work(ctx context.Context, perSecond float64) {
	ids := in.fleet.ids()
	for ctx.Err() == nil {
		in.fleet.mu.Lock()
		wait := time.Duration(in.fleet.random.ExpFloat64() / perSecond * float64(time.Second))
		in.fleet.mu.Unlock()
		time.Sleep(wait)
		id := ids[in.fleet.pick(len(ids))]
		rates := in.rates
		if ctx.Err() == nil && !rates.table.Denied(time.Now(), id) && rates.Admit(ctx, id, true) {
			in.fleet.arrive(rates, id)
		}
	}
}

func (f *rateFleet) ids() []fleet.TargetID {
	var ids []fleet.TargetID
	f.targets.Each(func(t *registry.Target) { ids = append(ids, t.ID) })
	return ids
}

// arrive lets a request arrive at a target, which answers after a while.
func (f *rateFleet) arrive(rates *Rates, id fleet.TargetID) {
	began := time.Now()
	f.mu.Lock()
	f.arrivals[id] = append(f.arrivals[id], began)
	f.mu.Unlock()
	time.AfterFunc(100*time.Millisecond, func() {
		f.mu.Lock()
		rate := f.named[id]
		f.mu.Unlock()
		if rate > 0 {
			rates.learn(targetrate.Announcement{Target: id, Rate: rate, At: time.Now()})
		} else if rates.table.Rate(id) > 0 {
			rates.learn(targetrate.Announcement{Target: id, At: began})
		}
	})
}

func (f *rateFleet) name(rate targetrate.Rate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.named {
		f.named[id] = rate
	}
}

// ratedTargets are targets in each zone.
func ratedTargets(zones, each int) *registry.View {
	r := registry.New()
	for z := range zones {
		for n := range each {
			e := registry.Entry{ID: fleet.TargetID(fmt.Sprintf("t-%d-%d", z, n)), Service: "s", Zone: fleet.Zone(fmt.Sprint("z", z)), Slots: 4}
			r.Apply(time.Now(), registry.Change{Offset: r.Next().Offset, ID: e.ID, Entry: &e})
		}
	}
	return r.View()
}

// newRateFleet makes a fleet of so many instances, in three zones or, if it is large, in five.
func newRateFleet(seed uint64, size int) *rateFleet {
	const small = 60
	zones := 5
	if size < small {
		zones = 3
	}
	perZone := size / zones
	f := &rateFleet{
		random: rand.New(rand.NewPCG(seed, 2)), byAddr: make(map[string]*rateInstance), targets: ratedTargets(zones, 2),
		named: make(map[fleet.TargetID]targetrate.Rate), arrivals: make(map[fleet.TargetID][]time.Time), cut: make(map[fleet.Zone]bool),
	}
	for _, id := range f.ids() {
		f.named[id] = 0
	}
	for z := range zones {
		for n := range perZone {
			in := &rateInstance{fleet: f, addr: fmt.Sprintf("10.%d.%d.%d:1", z, n/200, n%200+1), zone: fleet.Zone(fmt.Sprint("z", z)), place: n}
			f.instances = append(f.instances, in)
			f.byAddr[in.addr] = in
		}
	}
	return f
}

// TestRatesAreKeptByAllTogether: whoever holds a rate starts again, datagrams are lost and zones are cut from each other;
// all instances together send a target no more than a tenth above its rate, and two requests, in any 4 s from one second
// after it first named it, and use eight tenths of it while nothing disturbs them.
func TestRatesAreKeptByAllTogether(t *testing.T) {
	const window = 4 * time.Second
	const largest = 36 // with the highest rates, for the time that these take
	for n := range *rateSeeds {
		seed := *rateFirst + uint64(n)
		t.Run(fmt.Sprintf("%d instances, seed %d", *rateSize, seed), func(t *testing.T) {
			f := newRateFleet(seed, *rateSize)
			named := []targetrate.Rate{0.3, 1, 2.5, 10, 60, 300}
			if *rateSize > largest {
				named = named[:4]
			}
			rate := named[f.pick(len(named))]
			calm := f.chance(0.3)
			perSecond := 3 * float64(rate) * float64(len(f.named)) / float64(len(f.instances))
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Hour) // until all that runs has ended
				defer cancel()
				for _, in := range f.instances {
					in.start(ctx, perSecond)
				}
				time.Sleep(5 * time.Second)
				f.name(rate)
				namedAt := make(map[fleet.TargetID]time.Time)
				for began := time.Now(); time.Since(began) < 40*time.Second; {
					time.Sleep(100 * time.Millisecond)
					for id := range f.named {
						for _, in := range f.instances {
							if _, ok := namedAt[id]; !ok && in.rates.table.Rate(id) > 0 {
								namedAt[id] = time.Now()
							}
						}
					}
					if !calm && f.chance(0.05) {
						f.disturb(ctx, perSecond)
					}
				}
				over := time.Now()
				f.mu.Lock()
				defer f.mu.Unlock()
				used, due := 0, 0.0
				for id, arrivals := range f.arrivals {
					from, ok := namedAt[id]
					if !ok {
						continue
					}
					from = from.Add(time.Second)
					most, all := mostArrivals(arrivals, from, over, window)
					assert.Assert(t, float64(most) <= 1.1*float64(rate)*window.Seconds()+2, "calm %t: %s names %v and got %d in %v", calm, id, rate, most, window)
					used += all
					due += float64(rate) * over.Sub(from).Seconds()
				}
				assert.Assert(t, !calm || float64(used) >= 0.8*due, "targets name %v and got %d of %v", rate, used, due)
			})
		})
	}
}

// disturb starts an instance again, or cuts a zone from the others or heals it.
func (f *rateFleet) disturb(ctx context.Context, perSecond float64) {
	if f.chance(0.3) {
		z := f.instances[f.pick(len(f.instances))].zone
		f.cut[z] = !f.cut[z]
		return
	}
	in := f.instances[f.pick(len(f.instances))]
	in.end()
	in.start(ctx, perSecond)
}

// mostArrivals is the most within any span of the given length, and how many there were at all.
func mostArrivals(arrivals []time.Time, from, until time.Time, length time.Duration) (most, all int) {
	var within []time.Time
	first := 0
	for _, a := range arrivals {
		if a.Before(from) || a.After(until) {
			continue
		}
		within = append(within, a)
		for a.Sub(within[first]) >= length {
			first++
		}
		most = max(most, len(within)-first)
	}
	return most, len(within)
}

// answerOf is an attempt's end with the given fields of the answer.
func answerOf(kind exchange.Kind, status int, sealed bool, rates ...string) attemptResult {
	h := http.Header{}
	for _, r := range rates {
		h.Add("Rate", r)
	}
	return attemptResult{placed: Placed{Target: &registry.Target{Entry: registry.Entry{ID: "t-0-0"}}},
		result: exchange.Result{Kind: kind, Answer: &exchange.Answer{Status: status, Header: h, Sealed: sealed}}}
}

// TestWhatMaySetARate: the target's own word, on answers and refusals, and nothing that is not vouched for; what is
// no rate changes nothing, and only a sealed answer without one ends a rate.
func TestWhatMaySetARate(t *testing.T) {
	for _, c := range []struct {
		name string
		e    attemptResult
		want targetrate.Rate
	}{
		{"sealed", answerOf(exchange.Answered, 200, true, "3"), 3},
		{"a failure", answerOf(exchange.Answered, 500, true, "3"), 3},
		{"a refusal", answerOf(exchange.Refused, 503, false, "3"), 3},
		{"no seal", answerOf(exchange.Answered, 200, false, "3"), 7},
		{"nonsense", answerOf(exchange.Answered, 200, true, "NaN"), 7},
		{"two fields", answerOf(exchange.Answered, 200, true, "3", "4"), 7},
		{"zero", answerOf(exchange.Answered, 200, true, "0"), 7},
		{"none", answerOf(exchange.Answered, 200, true), 0},
		{"none, a refusal", answerOf(exchange.Refused, 503, false), 7},
		{"none, no seal", answerOf(exchange.Answered, 500, false), 7},
	} {
		f := newRateFleet(1, 3)
		f.instances = f.instances[:1]
		in := f.instances[0]
		in.members = make(map[string]mesh.Member)
		in.rates = NewRates(in, in.zone, time.Now(), func() *registry.View { return f.targets }, NewMetrics())
		in.rates.learn(targetrate.Announcement{Target: "t-0-0", Rate: 7, At: time.Now().Add(-time.Second)})
		call := &call{h: &Handler{Rates: in.rates, Metrics: NewMetrics(), Client: &exchange.Client{Headers: exchange.Headers{Rate: "Rate"}}}}
		call.learnRate(c.e, time.Now())
		assert.Equal(t, in.rates.table.Rate("t-0-0"), c.want, c.name)
	}
}
