package lab

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// Own is the product's policy, set up by the contract of the service.
var Own = Maker{Name: "pooled", New: newPooled}

// Policies lists every policy that is measured: the baselines, the contract path's own
// by the service's contract, the same with either user's weight, and the gateway's.
var Policies = append(Baselines, Own, Estimate,
	Weighted("pooled-0.9", daugavaWeight), Weighted("pooled-0.1", loneStarWeight))

// Weighted is Own with another weight of false ejections.
func Weighted(name string, weight float64) Maker {
	return Maker{Name: name, New: func(s Service, instance int) Policy {
		s.FalseEjectionWeight = weight
		return newPooled(s, instance)
	}}
}

// Sizes of encoded messages without the transport's own headers, in bytes.
const (
	reportBytes, reportTargetBytes   = 70, 32
	verdictsBytes, verdictEntryBytes = 60, 32
)

// pooled drives one instance's detector and, on the holder, the aggregator.
type pooled struct {
	cfg      outlier.Config
	service  Service
	instance int
	holder   int
	targets  []fleet.Target
	detector *outlier.Detector
	snapshot *outlier.Snapshot
	// aggregator is nil but on the holder; sent is what it last sent to all.
	aggregator *outlier.Aggregator
	sent       int64
}

func newPooled(s Service, instance int) Policy {
	cfg := outlier.Config{
		FalseEjectionWeight: s.FalseEjectionWeight,
		BaseEjection:        outlier.DefaultBaseEjection,
		MaxEjection:         outlier.DefaultMaxEjection,
		SlowStart:           outlier.DefaultSlowStart,
		FloorPercent:        s.Floor,
		Slots:               s.Slots,
	}
	p := &pooled{cfg: cfg, service: s, instance: instance}
	p.detector = outlier.NewDetector(cfg, instanceID(instance), zoneID(s.Zone(instance)))
	p.SetHolder(0, holder)
	return p
}

// SetHolder implements Policy.
func (p *pooled) SetHolder(_ time.Duration, instance int) {
	p.holder = instance
	p.detector.ReportTo(instanceID(instance))
	if instance == p.instance && p.aggregator == nil {
		p.aggregator = outlier.NewAggregator(p.cfg, instanceID(instance))
		p.aggregator.SetTargets(p.targets)
	}
}

// SetTargets implements Policy.
func (p *pooled) SetTargets(now time.Duration, targets []fleet.Target) {
	p.targets = targets
	p.detector.SetTargets(epoch.Add(now), targets)
	if p.aggregator != nil {
		p.aggregator.SetTargets(targets)
	}
	p.snapshot = p.detector.Tick(epoch.Add(now)).Snapshot
}

// Start implements Policy.
func (p *pooled) Start(now time.Duration, target int) Ticket {
	return Ticket{Target: target, Token: p.detector.Start(targetID(target), epoch.Add(now))}
}

// Record implements Policy.
func (p *pooled) Record(_ time.Duration, t Ticket, r fleet.TryResult, took time.Duration) {
	p.detector.Done(t.Token.(outlier.Try), r, took)
}

// Tick implements Policy.
func (p *pooled) Tick(now time.Duration) []Message {
	out := p.detector.Tick(epoch.Add(now))
	p.snapshot = out.Snapshot
	var messages []Message
	if out.Report != nil {
		messages = p.report(now, *out.Report)
	}
	if p.aggregator != nil {
		messages = append(messages, p.announce(now)...)
	}
	return messages
}

func (p *pooled) report(now time.Duration, r outlier.Report) []Message {
	if p.aggregator != nil {
		p.detector.ApplyVerdicts(epoch.Add(now), p.aggregator.Fold(epoch.Add(now), r))
		return nil
	}
	size := reportBytes + len(r.Targets)*reportTargetBytes
	return []Message{{From: p.instance, To: p.holder, Body: r, Bytes: size}}
}

// announce sends verdicts to everyone when they changed.
func (p *pooled) announce(now time.Duration) []Message {
	v := p.aggregator.Tick(epoch.Add(now))
	if v.Number == p.sent {
		return nil
	}
	p.sent = v.Number
	p.detector.ApplyVerdicts(epoch.Add(now), v)
	var messages []Message
	for i := range p.service.Instances {
		if i != p.instance {
			messages = append(messages, p.verdicts(i, v))
		}
	}
	return messages
}

func (p *pooled) verdicts(to int, v outlier.Verdicts) Message {
	size := verdictsBytes + len(v.Entries)*verdictEntryBytes
	return Message{From: p.instance, To: to, Body: v, Bytes: size}
}

// Receive implements Policy.
func (p *pooled) Receive(now time.Duration, m Message) []Message {
	switch body := m.Body.(type) {
	case outlier.Report:
		return []Message{p.verdicts(m.From, p.aggregator.Fold(epoch.Add(now), body))}
	case outlier.Verdicts:
		p.detector.ApplyVerdicts(epoch.Add(now), body)
	}
	return nil
}

// Weight implements Policy.
func (p *pooled) Weight(target int) float64 { return p.snapshot.Weight(targetID(target)) }
