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
	// burst is the part of the bound that the full buckets hold, to be spent at any speed;
	// the rest flows in within a window. A larger part serves short spells of failures,
	// a smaller one long ones: a spell of a window gets all of the bound, one that lasts on
	// gets 1 - burst of it.
	burst = 0.5
	// safety lowers the bound, for attempts that take up to half a second to reach
	// their target, and for loans that are on their way.
	safety = 0.95
	// urgentReserve is the part of a full bucket that less urgent requests leave to urgent
	// ones of the same service, where there are any.
	urgentReserve = 0.3
	// slots divide the window in which requests are counted.
	slots = 20
	// loanFor is for how long after it was asked for a loan is taken, and may be more than
	// the bucket holds. It bounds what is in no bucket at a moment.
	loanFor = 500 * time.Millisecond
)

// requests are those of a slot.
type requests struct {
	all, urgent int
}

// Budget is one service's budget at one instance. It belongs to one goroutine
// at a time.
type Budget struct {
	cfg Config
	// tokens are in the bucket, as of at.
	tokens float64
	at     time.Time
	slots  [slots]requests
	slot   int64
	total  requests
	// borrowed is what others have lent. It goes into the bucket when due.
	borrowed float64
	due      time.Time
}

// New returns the budget of a process that started at the given time.
func New(cfg Config, started time.Time) *Budget { return &Budget{cfg: cfg, at: started} }

// advance empties the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	current := now.UnixNano() / int64(b.cfg.Window/slots)
	for steps := min(current-b.slot, slots); steps > 0; steps-- {
		s := &b.slots[(current-steps+1)%slots]
		b.total.all -= s.all
		b.total.urgent -= s.urgent
		*s = requests{}
	}
	b.slot = max(b.slot, current)
}

// Request records a request.
func (b *Budget) Request(now time.Time, urgent bool) {
	b.advance(now)
	s := &b.slots[b.slot%slots]
	s.all++
	b.total.all++
	if urgent {
		s.urgent++
		b.total.urgent++
	}
	b.tokens += (1 - burst) * safety * b.cfg.Ratio
}

// fill lets the slack of the time since the last call flow in, and returns what a full
// bucket holds. Instances is how many there are at most; 0 if that is not known.
func (b *Budget) fill(now time.Time, instances int) (full float64) {
	b.advance(now)
	slack := 0.0
	if instances > 0 {
		slack = safety * b.cfg.Slack / float64(instances)
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += (1 - burst) * slack * passed.Seconds() / b.cfg.Window.Seconds()
		b.at = now
	}
	if now.After(b.due) {
		b.tokens += b.borrowed
		b.borrowed = 0
	}
	full = burst * (safety*b.cfg.Ratio*float64(b.total.all) + slack)
	b.tokens = min(b.tokens, full)
	return full
}

// Left is how many attempts may be added now, loans included.
func (b *Budget) Left(now time.Time, instances int) float64 {
	b.fill(now, instances)
	return b.tokens + b.borrowed
}

// Spend records an added attempt if the budget allows it.
func (b *Budget) Spend(now time.Time, instances int, urgent bool) bool {
	need, full := 1.0, b.fill(now, instances)
	if !urgent && b.total.urgent > 0 {
		need += urgentReserve * full
	}
	if b.tokens+b.borrowed < need {
		return false
	}
	lent := min(b.borrowed, 1)
	b.borrowed -= lent
	b.tokens -= 1 - lent
	return true
}

// Lend gives up some of what is left, at most half of it and no more than asked for, and
// returns how much the borrower may spend.
func (b *Budget) Lend(now time.Time, instances int, asked float64) float64 {
	b.fill(now, instances)
	lent := max(min(asked, b.tokens/2), 0)
	b.tokens -= lent
	return lent
}

// Asked records that others are asked for a loan.
func (b *Budget) Asked(now time.Time) { b.due = now.Add(loanFor) }

// Borrow takes in what another instance has lent, unless it was asked too long ago.
func (b *Budget) Borrow(now time.Time, lent float64) {
	if !now.After(b.due) {
		b.borrowed += lent
	}
}
