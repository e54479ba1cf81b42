package lab

import (
	"math"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// Local is the outlier detection that common proxies ship: each instance
// judges by its own tries alone. It ejects a target after a number of
// consecutive failures, or when its success rate in the last interval lies
// below the mean of the targets less a multiple of the standard deviation.
// An ejection lasts the base time, multiplied by how often the target was
// ejected in a row.
type Local struct {
	cfg     LocalConfig
	targets []localTarget
	next    time.Duration
	nOut    int
	nKnown  int
}

// LocalConfig holds the settings of Local.
type LocalConfig struct {
	// Consecutive failures eject a target; 0 turns the rule off.
	Consecutive int
	// Interval is the time between two evaluations of the success rate, and
	// between two looks at what may return.
	Interval time.Duration
	// MinHosts is the number of targets with MinRequests requests in the
	// interval below which success rates are not judged; 0 turns the rule off.
	MinHosts, MinRequests int
	// Stdev is the multiple of the standard deviation.
	Stdev float64
	// BaseEjection is the length of the first ejection.
	BaseEjection time.Duration
	// MaxEjectedPercent bounds the ejected share; one target may always go.
	MaxEjectedPercent int
}

type localTarget struct {
	failures int
	ok, all  int
	out      bool
	until    time.Duration
	times    int
}

// Consecutive is the baseline of 5 consecutive failures.
var Consecutive = localMaker("consecutive-5", LocalConfig{
	Consecutive: 5, Interval: 10 * time.Second,
	BaseEjection: 30 * time.Second, MaxEjectedPercent: 10,
})

// SuccessRate is the published success-rate outlier with its defaults.
var SuccessRate = localMaker("success-rate", LocalConfig{
	Interval: 10 * time.Second, MinHosts: 5, MinRequests: 100, Stdev: 1.9,
	BaseEjection: 30 * time.Second, MaxEjectedPercent: 10,
})

// SuccessRateFast is the same rule with settings that suit few requests.
var SuccessRateFast = localMaker("success-rate-1s", LocalConfig{
	Interval: time.Second, MinHosts: 3, MinRequests: 1, Stdev: 1.9,
	BaseEjection: 5 * time.Second, MaxEjectedPercent: 10,
})

// Baselines lists every baseline.
var Baselines = []Maker{NoEjection, Consecutive, SuccessRate, SuccessRateFast}

func localMaker(name string, cfg LocalConfig) Maker {
	return Maker{Name: name, New: func(s Service, _ int) Policy {
		return &Local{cfg: cfg, targets: make([]localTarget, s.Targets), next: cfg.Interval}
	}}
}

// SetTargets implements Policy.
func (p *Local) SetTargets(_ time.Duration, targets []fleet.Target) {
	p.nKnown = len(targets)
}

// SetHolder implements Policy.
func (p *Local) SetHolder(time.Duration, int) {}

// Start implements Policy.
func (p *Local) Start(_ time.Duration, target int) Ticket { return Ticket{Target: target} }

// Record implements Policy. A shed or cold answer is a 503 to these proxies
// and counts as a failure, as it does there.
func (p *Local) Record(now time.Duration, k Ticket, r fleet.TryResult, _ time.Duration) {
	if r == fleet.TryCanceled {
		return
	}
	t := &p.targets[k.Target]
	t.all++
	if r == fleet.TryOK {
		t.ok++
		t.failures = 0
		return
	}
	t.failures++
	if p.cfg.Consecutive > 0 && t.failures >= p.cfg.Consecutive {
		p.eject(now, t)
	}
}

// Tick implements Policy.
func (p *Local) Tick(now time.Duration) []Message {
	if now < p.next {
		return nil
	}
	p.next = now + p.cfg.Interval
	p.giveBack(now)
	if p.cfg.MinHosts > 0 {
		p.judge(now)
	}
	for i := range p.targets {
		p.targets[i].ok, p.targets[i].all = 0, 0
	}
	return nil
}

func (p *Local) giveBack(now time.Duration) {
	for i := range p.targets {
		t := &p.targets[i]
		if t.out && now >= t.until {
			t.out = false
			t.failures = 0
			p.nOut--
			continue
		}
		if !t.out && t.times > 0 && t.all > 0 && t.ok == t.all {
			t.times--
		}
	}
}

func (p *Local) judge(now time.Duration) {
	var n, sum, squares float64
	for _, t := range p.targets {
		if t.all < p.cfg.MinRequests {
			continue
		}
		rate := float64(t.ok) / float64(t.all)
		n, sum, squares = n+1, sum+rate, squares+rate*rate
	}
	if int(n) < p.cfg.MinHosts {
		return
	}
	mean := sum / n
	stdev := math.Sqrt(max(0, squares/n-mean*mean))
	for i := range p.targets {
		t := &p.targets[i]
		if t.all >= p.cfg.MinRequests && float64(t.ok)/float64(t.all) < mean-p.cfg.Stdev*stdev {
			p.eject(now, t)
		}
	}
}

func (p *Local) eject(now time.Duration, t *localTarget) {
	most := max(1, p.nKnown*p.cfg.MaxEjectedPercent/100)
	if t.out || p.nOut >= most {
		return
	}
	t.out = true
	t.times++
	t.until = now + time.Duration(t.times)*p.cfg.BaseEjection
	p.nOut++
}

// Receive implements Policy.
func (p *Local) Receive(time.Duration, Message) []Message { return nil }

// Weight implements Policy.
func (p *Local) Weight(target int) float64 {
	if p.targets[target].out {
		return 0
	}
	return 1
}
