package lab

import (
	"math"
	"sort"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/suspicion"
)

// Estimate is the gateway's detection: each instance estimates how likely each target is
// sick from all instances' work, and sets aside those that likely are, as far as the
// floor allows.
var Estimate = Maker{Name: "estimate", New: func(s Service, instance int) Policy {
	return &estimate{service: s, instance: instance, estimator: suspicion.New(), weights: make(map[int]float64)}
}}

// estimateBytes is the size of one observation in a datagram, and estimateHead that of
// the rest.
const estimateBytes, estimateHead = 30, 40

// seen is one observation that others are told of.
type seen struct {
	target int
	what   suspicion.Observation
	began  time.Duration
}

type estimate struct {
	service   Service
	instance  int
	estimator *suspicion.Estimator
	targets   []int
	weights   map[int]float64
	pending   []seen
}

// SetTargets implements Policy.
func (p *estimate) SetTargets(now time.Duration, targets []fleet.Target) {
	p.targets = p.targets[:0]
	for _, t := range targets {
		p.targets = append(p.targets, numberOf(t.ID))
	}
	p.weigh(now)
}

// SetHolder implements Policy.
func (p *estimate) SetHolder(time.Duration, int) {}

// Start implements Policy.
func (p *estimate) Start(now time.Duration, target int) Ticket {
	return Ticket{Target: target, Token: now}
}

// Record implements Policy.
func (p *estimate) Record(now time.Duration, t Ticket, r fleet.TryResult, took time.Duration) {
	o, ok := p.observation(r, took)
	if !ok {
		return
	}
	s := seen{target: t.Target, what: o, began: t.Token.(time.Duration)}
	p.observe(now, s)
	p.pending = append(p.pending, s)
}

// observation is what a try says of its target.
func (p *estimate) observation(r fleet.TryResult, took time.Duration) (suspicion.Observation, bool) {
	switch {
	case r == fleet.TryOK:
		return suspicion.Success, true
	case r == fleet.TryDialFailed:
		return suspicion.Unreachable, true
	case !r.Failed():
		return 0, false
	}
	return suspicion.ClassifyFailure(took, p.service.Mean), true
}

func (p *estimate) observe(now time.Duration, s seen) {
	p.estimator.Observe(epoch.Add(now), targetID(s.target), s.what, epoch.Add(s.began))
}

// Tick implements Policy.
func (p *estimate) Tick(now time.Duration) []Message {
	p.weigh(now)
	if len(p.pending) == 0 {
		return nil
	}
	var out []Message
	for to := range p.service.Instances {
		if to != p.instance {
			out = append(out, Message{From: p.instance, To: to, Body: p.pending, Bytes: estimateHead + estimateBytes*len(p.pending)})
		}
	}
	p.pending = nil
	return out
}

// Receive implements Policy.
func (p *estimate) Receive(now time.Duration, m Message) []Message {
	for _, s := range m.Body.([]seen) {
		p.observe(now, s)
	}
	p.weigh(now)
	return nil
}

// weigh sets aside the targets that are likely sick, the likeliest first, down to the
// floor.
func (p *estimate) weigh(now time.Duration) {
	sick := make(map[int]float64, len(p.targets))
	order := append([]int(nil), p.targets...)
	for _, t := range order {
		sick[t] = p.estimator.UnhealthyProbability(epoch.Add(now), targetID(t))
		p.weights[t] = 1
	}
	sort.Slice(order, func(a, b int) bool { return sick[order[a]] > sick[order[b]] })
	most := len(order) - int(math.Ceil(float64(len(order)*p.service.Floor)/100))
	for _, t := range order[:min(max(most, 0), len(order))] {
		if sick[t] >= suspicion.SuspectThreshold {
			p.weights[t] = 0
		}
	}
}

// Weight implements Policy.
func (p *estimate) Weight(target int) float64 { return p.weights[target] }
