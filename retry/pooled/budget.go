package pooled

import (
	"time"
)

// Config holds the bound.
type Config struct {
	// Ratio is how many attempts may be added for each request.
	Ratio float64
	// Slack is how many more may be added in any window.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// slots divide the window; a slot is its resolution.
	slots = 20
	// assured is the part of its even share that an instance may always spend.
	assured = 0.4
	// lesserShare is the part of the slack that less urgent work may use.
	lesserShare = 0.7
	// safety lowers the whole bound, for windows that do not match exactly and
	// for requests that leave the instance's count earlier than the judge's.
	safety = 0.85
	// reserve is what each instance may be adding at this moment without the
	// others having heard of it, in attempts.
	reserve = 0.5
)

// Usage is what an instance did within the window.
type Usage struct {
	Requests, Added int
}

// Fleet is what the other instances told.
type Fleet struct {
	// Instances is how many there are, this one included, by the most
	// cautious count.
	Instances int
	// Requests is how many requests the others had.
	Requests int
	// Claimed is what the others have added, or may add without asking.
	Claimed float64
	// Complete tells that nearly all of them were heard from just now.
	Complete bool
}

// Add takes in what another instance told.
func (f *Fleet) Add(cfg Config, u Usage) {
	f.Requests += u.Requests
	f.Claimed += max(float64(u.Added), assured*cfg.share(u.Requests, f.Instances))
}

// share is an instance's even share of the bound.
func (c Config) share(requests, instances int) float64 {
	return (c.Ratio*float64(requests) + c.Slack/float64(max(instances, 1))) * safety
}

// Budget is one service's budget at one instance. It belongs to one goroutine
// at a time.
type Budget struct {
	cfg   Config
	slots [slots]Usage
	slot  int64
	total Usage
}

// New returns an unspent budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// advance empties the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	current := now.UnixNano() / int64(b.cfg.Window/slots)
	steps := min(current-b.slot, slots)
	for i := int64(0); i < steps; i++ {
		s := &b.slots[(current-i)%slots]
		b.total.Requests -= s.Requests
		b.total.Added -= s.Added
		*s = Usage{}
	}
	b.slot = max(b.slot, current)
}

// Request records a request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.slots[b.slot%slots].Requests++
	b.total.Requests++
}

// Usage is what this instance did within the window.
func (b *Budget) Usage(now time.Time) Usage {
	b.advance(now)
	return b.total
}

// Left is how many attempts may be added now.
func (b *Budget) Left(now time.Time, f Fleet) float64 {
	b.advance(now)
	added := float64(b.total.Added)
	own := assured*b.cfg.share(b.total.Requests, f.Instances) - added
	if f.Instances <= 1 {
		return b.cfg.share(b.total.Requests, 1) - added
	}
	if !f.Complete {
		return own
	}
	bound := (b.cfg.Ratio*float64(b.total.Requests+f.Requests) + b.cfg.Slack) * safety
	pool := bound - f.Claimed - added - reserve*float64(f.Instances)
	return max(own, pool)
}

// Spend records an added attempt if the budget allows it. Work that is less
// urgent leaves a part of the budget to the rest.
func (b *Budget) Spend(now time.Time, f Fleet, urgent bool) bool {
	need := 1.0
	if !urgent {
		need = 1 + (1-lesserShare)*b.cfg.Slack/float64(max(f.Instances, 1))
	}
	if b.Left(now, f) < need {
		return false
	}
	b.slots[b.slot%slots].Added++
	b.total.Added++
	return true
}
