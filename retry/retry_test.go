package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
)

var epoch = time.Unix(1_700_000_000, 0)

func lookupPolicy() Policy {
	return PolicyOf(&contract.Route{
		Class: fleet.Lookup,
		Retry: &contract.Retry{Attempts: 3, BudgetPercent: 10},
		Hedge: &contract.Hedge{After: contract.Duration(50 * time.Millisecond)},
	})
}

func input() Input {
	return Input{
		Now: epoch, Deadline: epoch.Add(time.Second), FirstTry: epoch,
		Policy: lookupPolicy(), Tries: 1, Last: fleet.TryTimeout,
		Expected: 20 * time.Millisecond, OtherTarget: true, Random: 0.5,
		Budget: State{Tokens: 1, NotRunTokens: 1},
	}
}

func TestDecide(t *testing.T) {
	confirmation := PolicyOf(&contract.Route{Class: fleet.Confirmation})
	for _, c := range []struct {
		name   string
		change func(*Input)
		want   Decision
	}{
		{"failed lookup", func(*Input) {}, Decision{Action: Retry, After: 10 * time.Millisecond}},
		{"backoff grows", func(in *Input) { in.Tries = 2 }, Decision{Action: Retry, After: 20 * time.Millisecond}},
		{"same target asked to wait", func(in *Input) { in.OtherTarget, in.RetryAfter = false, 100*time.Millisecond },
			Decision{Action: Retry, After: 100 * time.Millisecond}},
		{"answered", func(in *Input) { in.Last = fleet.TryOK }, stop(Answered)},
		{"canceled", func(in *Input) { in.Last = fleet.TryCanceled }, stop(Canceled)},
		{"attempts", func(in *Input) { in.Tries = 3 }, stop(Exhausted)},
		{"a hedge runs", func(in *Input) { in.Running = 1 }, stop(Exhausted)},
		{"overload", func(in *Input) { in.Budget.Overloaded = true }, stop(Overloaded)},
		{"deadline", func(in *Input) { in.Expected = time.Second }, stop(TooLate)},
		{"budget", func(in *Input) { in.Budget.Tokens = 0.9 }, stop(OverBudget)},
		{"failed confirmation", func(in *Input) { in.Policy = confirmation }, stop(NotIdempotent)},
		{"reset confirmation", func(in *Input) { in.Policy, in.Last = confirmation, fleet.TryReset }, stop(NotIdempotent)},
		{"unsent confirmation", func(in *Input) { in.Policy, in.Unsent = confirmation, true }, Decision{Action: Retry, NotRun: true}},
		{"draining confirmation", func(in *Input) { in.Policy, in.Last = confirmation, fleet.TryDraining }, Decision{Action: Retry, NotRun: true}},
		{"consumed upload", func(in *Input) { in.Last, in.BodyConsumed = fleet.TryShed, true }, stop(BodyConsumed)},
		{"shed when saturated", func(in *Input) { in.Last, in.Budget.Saturated = fleet.TryShed, true }, stop(Overloaded)},
		{"cold when overloaded", func(in *Input) { in.Last, in.Budget.Overloaded = fleet.TryCold, true }, Decision{Action: Retry, NotRun: true}},
		{"not run, no other target", func(in *Input) { in.Last, in.OtherTarget = fleet.TryCold, false }, stop(NoTarget)},
		{"not-run budget", func(in *Input) { in.Last, in.Budget.NotRunTokens = fleet.TryCold, 0 }, stop(OverBudget)},
		{"hedge", func(in *Input) { in.Last, in.Now = 0, epoch.Add(30*time.Millisecond) }, Decision{Action: Hedge, After: 20 * time.Millisecond}},
		{"hedge, no other target", func(in *Input) { in.Last, in.OtherTarget = 0, false }, stop(NoTarget)},
		{"hedge of a confirmation", func(in *Input) { in.Last, in.Policy = 0, confirmation }, stop(NotAllowed)},
		{"hedge too late", func(in *Input) { in.Last, in.Deadline = 0, epoch.Add(60*time.Millisecond) }, stop(TooLate)},
		{"hedge in overload", func(in *Input) { in.Last, in.Budget.Overloaded = 0, true }, stop(Overloaded)},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := input()
			c.change(&in)
			assert.Equal(t, Decide(in), c.want)
		})
	}
}

// TestRetryStorm checks that the budgets limit extra tries to the bound given in
// the package documentation when every second response of the targets fails. It
// simulates 44 instances, one of which gets 30 % of the traffic.
func TestRetryStorm(t *testing.T) {
	const n, perSecond, span = 44, 200, 60
	rng := rand.New(rand.NewPCG(1, 1))
	var budgets [n]*Budget
	for i := range budgets {
		budgets[i] = NewBudget(epoch)
	}
	firsts, extra := 0, 0
	for k := range perSecond * span {
		now := epoch.Add(time.Duration(k) * time.Second / perSecond)
		i := 0
		if rng.Float64() > 0.3 {
			i = 1 + rng.IntN(n-1)
		}
		firsts++
		extra += simulateRequest(now, rng, budgets[i])
	}
	bound := firsts/10 + n*initialTokens
	assert.Assert(t, extra <= bound, "%d extra, %d allowed", extra, bound)
	assert.Assert(t, extra >= firsts*9/100, "%d extra of %d: the budget should be used", extra, firsts)
	t.Logf("%d first tries, %d extra: %.1f %%", firsts, extra, 100*float64(extra)/float64(firsts))
}

// simulateRequest simulates one request and returns the number of its extra
// tries.
func simulateRequest(now time.Time, rng *rand.Rand, b *Budget) int {
	in := input()
	in.Now, in.Deadline, in.FirstTry = now, now.Add(time.Second), now
	b.RecordFirstTry(now, in.Policy)
	for {
		if rng.IntN(2) == 0 {
			in.Last = fleet.TryOK
		} else {
			in.Last = fleet.TryError
		}
		b.RecordResult(now, in.Last)
		in.Budget = b.State(now)
		d := Decide(in)
		if d.Action == Stop || !b.Spend(now, d) {
			return in.Tries - 1
		}
		in.Tries++
	}
}

func TestTokensDecayToOne(t *testing.T) {
	b := NewBudget(epoch)
	for range 1000 {
		b.RecordFirstTry(epoch, lookupPolicy())
	}
	assert.Assert(t, b.State(epoch).Tokens > 100)
	left := b.State(epoch.Add(time.Minute)).Tokens
	assert.Assert(t, left >= 1 && left < 1.5, "%f", left)
}

func TestNoExtraTriesWhenOverloaded(t *testing.T) {
	b := NewBudget(epoch)
	for i := range 50 {
		b.RecordFirstTry(epoch, lookupPolicy())
		r := fleet.TryOK
		if i%4 == 0 {
			r = fleet.TryShed
		}
		b.RecordResult(epoch, r)
	}
	assert.Assert(t, b.State(epoch).Overloaded)
	assert.Assert(t, !b.Spend(epoch, Decision{Action: Retry}))
	assert.Assert(t, !b.State(epoch.Add(time.Minute)).Overloaded)
	assert.Assert(t, b.Spend(epoch.Add(time.Minute), Decision{Action: Retry}))
}

func BenchmarkDecide(b *testing.B) {
	budget := NewBudget(epoch)
	in := input()
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordFirstTry(epoch, in.Policy)
		in.Budget = budget.State(epoch)
		budget.Spend(epoch, Decide(in))
	}
}
