package retry

import (
	"math"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// startCredit is what a budget holds at first, in tokens.
	startCredit = 1
	// savedFor is the time constant by which savings above one token decay.
	savedFor = 10 * time.Second
	// unrunPercent bounds tries after refusals that ran nothing, in percent
	// of first tries.
	unrunPercent = 20
	// shedMemory is the time constant of the average of sheds.
	shedMemory = 2 * time.Second
	// overloadedAt is the share of tries shed from which on the service
	// counts as overloaded, given overloadedMin tries in the average.
	overloadedAt  = 0.15
	overloadedMin = 5
	// saturatedAt is the same for tries of requests that were shed.
	saturatedAt = 0.3
)

// Budget bounds the extra tries of one service at one instance. It is safe
// for concurrent use.
type Budget struct {
	mu    sync.Mutex
	at    time.Time
	extra float64
	unrun float64
	tries float64
	sheds float64
}

// State is a budget at one moment.
type State struct {
	// Tokens is how many retries and hedges may begin.
	Tokens float64
	// UnrunTokens is how many tries may follow refusals that ran nothing.
	UnrunTokens float64
	// Overloaded tells that the service sheds too much for retries and
	// hedges, Saturated that it is no use to try again what was shed.
	Overloaded bool
	Saturated  bool
}

// NewBudget returns a budget that holds the start credit.
func NewBudget(now time.Time) *Budget {
	return &Budget{at: now, extra: startCredit, unrun: startCredit}
}

// First records the first try of a request.
func (b *Budget) First(now time.Time, p Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.extra += float64(p.Percent) / 100
	b.unrun += unrunPercent / 100.0
}

// Observe records the end of any try.
func (b *Budget) Observe(now time.Time, r fleet.TryResult) {
	if r == fleet.TryCanceled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tries++
	if r == fleet.TryShed {
		b.sheds++
	}
}

// State returns what is left.
func (b *Budget) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return State{
		Tokens:      b.extra,
		UnrunTokens: b.unrun,
		Overloaded:  b.shedding(overloadedAt),
		Saturated:   b.shedding(saturatedAt),
	}
}

// Spend takes the token of a decision whose try begins now. It tells false if
// others were faster or the service became overloaded; no try may begin then.
func (b *Budget) Spend(now time.Time, d Decision) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	tokens := &b.extra
	if d.Unrun {
		tokens = &b.unrun
	}
	if *tokens < 1 || d.Action == Stop || (!d.Unrun && b.shedding(overloadedAt)) {
		return false
	}
	*tokens--
	return true
}

func (b *Budget) shedding(share float64) bool {
	return b.tries >= overloadedMin && b.sheds >= share*b.tries
}

// advance lets savings and averages decay.
func (b *Budget) advance(now time.Time) {
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	b.at = now
	kept := math.Exp(-dt.Seconds() / savedFor.Seconds())
	b.extra = decayed(b.extra, kept)
	b.unrun = decayed(b.unrun, kept)
	kept = math.Exp(-dt.Seconds() / shedMemory.Seconds())
	b.tries *= kept
	b.sheds *= kept
}

// decayed keeps one token and a part of what is above it.
func decayed(tokens, kept float64) float64 {
	if tokens <= 1 {
		return tokens
	}
	return 1 + (tokens-1)*kept
}
