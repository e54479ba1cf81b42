package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/eventqueue"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/suspicion"
)

// A zone's instances and targets of one service as traffic begins. What instances tell each
// other arrives after a moment: loads at those whom they concern, failures at all, the rest by
// heartbeats, as mesh sends it.
const (
	zoneDelay    = 2 * time.Millisecond
	bookingsEach = 2.8 // a second at each instance
	workTakes    = 550 * time.Millisecond
	quickFailure = 40 * time.Millisecond
	// soundFailShare is the part of the work that sound targets fail.
	soundFailShare = 0.012
	objective      = 2500 * time.Millisecond
	// leastCallers is what each instance has at least of an even part of the callers.
	leastCallers = 0.3
	// trafficFor is how long the traffic is played, useWithin the window in which sound
	// targets must see work, and floorOfUse the part of them that must, while more than
	// badService of the requests are not served.
	trafficFor = 6 * time.Second
	useWithin  = 2 * time.Second
	floorOfUse = 0.7
	badService = 0.1
	// herdAt is when a part of the instances is killed, and downFor until they are back.
	herdAt  = 2 * time.Second
	downFor = time.Second
)

// zoneInstance is one instance.
type zoneInstance struct {
	addr string
	// upTo is where its part of the callers ends, of all instances' parts in a row: some
	// have several times as many as others.
	upTo float64
	boot int64
	down bool
	k    *Knowledge
	// rested are the open connections that carry no request.
	rested map[fleet.TargetID]int
}

// zoneRun is a zone for some seconds.
type zoneRun struct {
	rng       *rand.Rand
	queue     eventqueue.Queue
	instances []*zoneInstance
	targets   []*registry.Target
	sick      map[fleet.TargetID]bool
	callers   float64
	// arrivals are by target, requests and unserved by time.
	arrivals           map[fleet.TargetID][]time.Time
	requests, unserved []time.Time
}

func newZoneRun(seed uint64, instances, targets int, sickShare float64) *zoneRun {
	z := &zoneRun{
		rng: rand.New(rand.NewPCG(seed, 5)), sick: make(map[fleet.TargetID]bool), arrivals: make(map[fleet.TargetID][]time.Time),
	}
	for i := range targets {
		id := fleet.TargetID(fmt.Sprintf("t%d", i))
		z.targets = append(z.targets, &registry.Target{Entry: registry.Entry{ID: id, Service: "s", Zone: "a", Slots: 4}})
		z.sick[id] = z.rng.Float64() < sickShare
	}
	for i := range instances {
		z.callers += leastCallers + (1-leastCallers)*z.rng.ExpFloat64()
		in := &zoneInstance{addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), upTo: z.callers}
		z.instances = append(z.instances, in)
		z.start(in, start.Add(-8*time.Second))
	}
	return z
}

func (z *zoneRun) at(t time.Time, do func(now time.Time)) {
	z.queue.After(t.Sub(start)-z.queue.Now(), func() { do(t) })
}

// start starts an instance's process.
func (z *zoneRun) start(in *zoneInstance, now time.Time) {
	in.boot, in.down, in.rested = now.UnixMilli(), false, make(map[fleet.TargetID]int)
	in.k = NewKnowledge(&placement.Chooser{Weights: placement.DefaultWeights(), Self: fleet.InstanceID(in.addr), Zone: "a", Random: z.rng.Float64}, budget, now)
	z.at(now.Add(time.Duration(z.rng.Float64()*float64(time.Second))), func(now time.Time) { z.beat(in, in.boot, now) })
}

// beat sends a heartbeat, and the next one later.
func (z *zoneRun) beat(in *zoneInstance, boot int64, now time.Time) {
	if in.down || in.boot != boot {
		return
	}
	p := &mesh.Packet{Heartbeat: true}
	in.k.Fill(now, p)
	z.tell(in, now, p, func(string) bool { return true })
	z.at(now.Add(min(time.Duration(len(z.instances))*24*time.Millisecond, 1400*time.Millisecond)), func(now time.Time) { z.beat(in, boot, now) })
}

// tell brings a packet to the others.
func (z *zoneRun) tell(in *zoneInstance, now time.Time, p *mesh.Packet, concerns func(addr string) bool) {
	p.Addr, p.Zone, p.Boot = in.addr, "a", in.boot
	for _, other := range z.instances {
		if other != in && concerns(other.addr) {
			z.at(now.Add(zoneDelay), func(now time.Time) {
				if !other.down {
					other.k.Take(now, p)
				}
			})
		}
	}
}

// request is a booking at an instance that is up.
func (z *zoneRun) request(now time.Time) {
	in := z.front()
	for in.down {
		in = z.front()
	}
	z.requests = append(z.requests, now)
	p, ok := in.k.Place(now, "s", z.targets, nil, nil, placement.Work{Objective: objective, KB: 1},
		func(t exchange.Target, _ time.Duration) bool { return in.rested[t.ID] > 0 })
	if !ok {
		return
	}
	in.rested[p.ID] = max(in.rested[p.ID]-1, 0)
	z.arrivals[p.ID] = append(z.arrivals[p.ID], now)
	z.tellLoad(in, now, &p)
	z.finish(in, now, &p)
}

// front is the instance that a caller's connection leads to.
func (z *zoneRun) front() *zoneInstance {
	x := z.rng.Float64() * z.callers
	i, _ := slices.BinarySearchFunc(z.instances, x, func(in *zoneInstance, x float64) int { return cmp.Compare(in.upTo, x) })
	return z.instances[min(i, len(z.instances)-1)]
}

func (z *zoneRun) tellLoad(in *zoneInstance, now time.Time, p *Placed) {
	z.tell(in, now, &mesh.Packet{Load: []mesh.Load{in.k.InFlight(p.ID)}}, func(addr string) bool { return in.k.Concerns(addr, p) })
}

// finish lets the target work, or fail.
func (z *zoneRun) finish(in *zoneInstance, began time.Time, p *Placed) {
	takes, o := time.Duration((0.7+0.6*z.rng.Float64())*float64(workTakes)), suspicion.Success
	switch {
	case z.sick[p.ID] && z.rng.Float64() < 0.85:
		takes, o = quickFailure, suspicion.QuickFailure
	case z.rng.Float64() < soundFailShare:
		o = suspicion.Failure
	}
	boot := in.boot
	z.at(began.Add(takes), func(now time.Time) {
		if in.boot != boot || in.down || o != suspicion.Success {
			z.unserved = append(z.unserved, began)
		}
		if in.boot == boot && !in.down {
			z.learn(in, now, began, p, o)
		}
	})
}

// learn does what a request's path does at its end.
func (z *zoneRun) learn(in *zoneInstance, now, began time.Time, p *Placed, o suspicion.Observation) {
	in.k.Ended(*p)
	if o == suspicion.Success {
		in.rested[p.ID]++
	}
	in.k.Observe(now, "s", p.ID, o, began, now.Sub(began))
	if o != suspicion.Success || p.Doubtful {
		news := in.k.News(now, p.ID)
		z.tell(in, now, &news, func(string) bool { return true })
	}
}

// herd kills a part of the instances and starts them again.
func (z *zoneRun) herd(now time.Time, share float64) {
	for _, in := range z.instances {
		if z.rng.Float64() >= share {
			continue
		}
		in.down = true
		z.at(now.Add(downFor), func(now time.Time) { z.start(in, now) })
	}
}

// play plays the traffic; herdShare of the instances are killed.
func (z *zoneRun) play(herdShare float64) {
	rate := bookingsEach * float64(len(z.instances))
	for at := 0.0; at < trafficFor.Seconds(); at += z.rng.ExpFloat64() / rate {
		z.at(start.Add(time.Duration(at*float64(time.Second))), z.request)
	}
	z.at(start.Add(herdAt), func(now time.Time) { z.herd(now, herdShare) })
	z.queue.Run(trafficFor + time.Second)
}

// windowUse is the part of the sound targets that got work in a window, and the part of the
// window's requests that was not served.
func (z *zoneRun) windowUse(from time.Time) (used, bad float64) {
	inWindow := func(ts []time.Time) int {
		n := 0
		for _, t := range ts {
			if !t.Before(from) && t.Before(from.Add(useWithin)) {
				n++
			}
		}
		return n
	}
	sound, worked := 0, 0
	for _, t := range z.targets {
		if z.sick[t.ID] {
			continue
		}
		sound++
		if inWindow(z.arrivals[t.ID]) > 0 {
			worked++
		}
	}
	return float64(worked) / float64(sound), float64(inWindow(z.unserved)) / float64(max(inWindow(z.requests), 1))
}

// worstUse is the least part of the sound targets that got work in any window in which the
// service was bad, and the part of its requests that was not served in the first one.
func (z *zoneRun) worstUse() (least, firstBad float64) {
	const every = 100 * time.Millisecond
	least = 1
	for from := start; !from.After(start.Add(trafficFor - useWithin)); from = from.Add(every) {
		used, bad := z.windowUse(from)
		if bad > badService {
			least = min(least, used)
		}
		if from.Equal(start) {
			firstBad = bad
		}
	}
	return least, firstBad
}

// zoneSizes are a zone's instances and the targets of one service there, of fleets of 36, 130,
// 293 and 920 instances.
var zoneSizes = []struct{ fleet, instances, targets int }{{36, 12, 5}, {130, 43, 80}, {293, 58, 72}, {920, 184, 225}}

// TestASoundTargetIsNotLeftAloneAsTrafficBegins: four tenths of the processes of a large fleet
// were killed 2 s after its first request; in these 2 s 58 of 116 sound targets of one service
// got nothing, while a fifth of its requests was not served.
//
// Each instance met one or two of the targets that it prefers and stayed with those that answered. Others heard
// of that by heartbeats, up to 1.4 s later in a zone of 58, and no instance sought out unused targets in its
// first 5 s. One in five targets is sick here, or 35 in 100, so that each first meeting fails as often; seeded.
// By these seeds as few as 0.68 of the sound targets got work within 2 s; the users ask for 0.7.
func TestASoundTargetIsNotLeftAloneAsTrafficBegins(t *testing.T) {
	for _, size := range zoneSizes {
		for _, sick := range []float64{0.2, 0.35} {
			for seed := range uint64(4) {
				herd := float64(seed%2) * 0.4
				z := newZoneRun(seed, size.instances, size.targets, sick)
				z.play(herd)
				least, bad := z.worstUse()
				what := fmt.Sprintf("%d instances, %.2f sick, %.1f killed, seed %d", size.fleet, sick, herd, seed)
				t.Logf("%s: %.2f of the sound targets used, %.3f not served in the first 2 s, %d of %d in all",
					what, least, bad, len(z.unserved), len(z.requests))
				assert.Check(t, least >= floorOfUse, "%s: %.2f of the sound targets used", what, least)
			}
		}
	}
}
