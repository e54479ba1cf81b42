package retry

import (
	"math"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// initialTokens is the number of tokens in each bucket of a new budget.
	initialTokens = 1
	// tokenDecayTime is the time constant with which tokens above the first
	// decay.
	tokenDecayTime = 10 * time.Second
	// notRunPercent limits tries that follow a try the target did not run, in
	// percent of first tries.
	notRunPercent = 20
	// shedAverageTime is the time constant of the moving average of the share of
	// tries shed.
	shedAverageTime = 2 * time.Second
	// overloadedShedShare is the share of shed tries from which the service
	// counts as overloaded, once the average covers minShedSamples tries.
	overloadedShedShare = 0.15
	minShedSamples      = 5
	// saturatedShedShare is the share of shed tries from which shed requests are
	// not tried again either.
	saturatedShedShare = 0.3
)

// Budget limits the extra tries of one service at one instance. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	updated time.Time
	extra   float64 // tokens for retries and hedges
	notRun  float64 // tokens for tries that follow tries the target did not run
	tries   float64 // tries in the moving average
	sheds   float64 // shed tries in the moving average
}

// State is a snapshot of a Budget.
type State struct {
	// Tokens is the number of retries and hedges that may begin.
	Tokens float64
	// NotRunTokens is the number of tries that may follow tries the target did
	// not run.
	NotRunTokens float64
	// Overloaded reports whether the service sheds too many tries to allow
	// retries and hedges.
	Overloaded bool
	// Saturated reports whether the service sheds too many tries to allow
	// another try of a shed request.
	Saturated bool
}

// NewBudget returns a budget that holds the initial tokens.
func NewBudget(now time.Time) *Budget {
	return &Budget{updated: now, extra: initialTokens, notRun: initialTokens}
}

// RecordFirstTry records the first try of a request.
func (b *Budget) RecordFirstTry(now time.Time, p Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.extra += float64(p.Percent) / 100
	b.notRun += notRunPercent / 100.0
}

// RecordResult records the result of any try. Canceled tries are ignored.
func (b *Budget) RecordResult(now time.Time, r fleet.TryResult) {
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

// State returns the state of the budget at now.
func (b *Budget) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return State{
		Tokens:       b.extra,
		NotRunTokens: b.notRun,
		Overloaded:   b.shedding(overloadedShedShare),
		Saturated:    b.shedding(saturatedShedShare),
	}
}

// Spend takes a token for the try of decision d, which begins now. It returns
// false if no token is left, because other requests took them since the
// decision, or if the service has become overloaded; the try must not begin
// then.
func (b *Budget) Spend(now time.Time, d Decision) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	tokens := &b.extra
	if d.NotRun {
		tokens = &b.notRun
	}
	if *tokens < 1 || d.Action == Stop || (!d.NotRun && b.shedding(overloadedShedShare)) {
		return false
	}
	*tokens--
	return true
}

// shedding reports whether at least the given share of recent tries was shed,
// given at least minShedSamples of them.
func (b *Budget) shedding(share float64) bool {
	return b.tries >= minShedSamples && b.sheds >= share*b.tries
}

// advance decays the tokens and the averages to now.
func (b *Budget) advance(now time.Time) {
	dt := now.Sub(b.updated)
	if dt <= 0 {
		return
	}
	b.updated = now
	kept := math.Exp(-dt.Seconds() / tokenDecayTime.Seconds())
	b.extra = decayAboveOne(b.extra, kept)
	b.notRun = decayAboveOne(b.notRun, kept)
	kept = math.Exp(-dt.Seconds() / shedAverageTime.Seconds())
	b.tries *= kept
	b.sheds *= kept
}

// decayAboveOne multiplies the tokens above the first by kept.
func decayAboveOne(tokens, kept float64) float64 {
	if tokens <= 1 {
		return tokens
	}
	return 1 + (tokens-1)*kept
}
