package pooled

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Unix(1000, 0)
	config = Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
)

// settledBudget returns the budget of a process that has run for long.
func settledBudget() *Budget { return New(config, start.Add(-time.Hour)) }

func spendAll(b *Budget, now time.Time, instances int) int {
	n := 0
	for b.Spend(now, instances, true) {
		n++
	}
	return n
}

func TestWindowStaysWithinLimit(t *testing.T) {
	b := settledBudget()
	const perSecond = 30
	requests, sum := 0, 0
	for ms := 0; ms < 10_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms*perSecond/1000 > requests {
			b.RecordRequest(now, true)
			requests++
		}
		sum += spendAll(b, now, 1)
	}
	limit := config.Ratio*float64(requests) + config.Slack
	assert.Assert(t, float64(sum) <= limit, "%d of %v", sum, limit)
	assert.Assert(t, float64(sum) >= 0.7*limit, "%d of %v", sum, limit)
}

// TestNewProcessStartsWithEmptyBucket: a restart must not refill spent tokens, since the new process has no
// record of them.
func TestNewProcessStartsWithEmptyBucket(t *testing.T) {
	b := New(config, start)
	assert.Equal(t, spendAll(b, start, 1), 0)
	for range 30 {
		b.RecordRequest(start, true)
	}
	assert.Equal(t, spendAll(b, start, 1), 2) // half of 0.2 * 30, times safetyFactor
	assert.Equal(t, spendAll(b, start.Add(config.Window/2), 1), 14)
	assert.Equal(t, spendAll(b, start.Add(time.Hour), 0), 0, "the number of instances that share the slack is unknown")
}

func TestLoanIsSpentOnce(t *testing.T) {
	const instances = 4
	alone := settledBudget().Available(start, instances)
	lender, borrower := settledBudget(), settledBudget()
	borrower.LoanRequested(start)
	borrower.ReceiveLoan(start, lender.Lend(start, instances, 2.5))
	assert.Equal(t, lender.Available(start, instances), alone-2.5)
	assert.Equal(t, borrower.Available(start, instances), alone+2.5)
	assert.Equal(t, spendAll(borrower, start, instances), int(alone+2.5))
	assert.Equal(t, borrower.Lend(start, instances, 5) < 1, true, "less than one token is left")
	assert.Equal(t, settledBudget().Lend(start, instances, 1000), alone/2, "the lender keeps half")
}

func TestLateLoanIsDiscarded(t *testing.T) {
	const instances = 4
	b := settledBudget()
	alone := b.Available(start, instances)
	b.LoanRequested(start)
	b.ReceiveLoan(start, 1)
	after := start.Add(loanTimeout + time.Millisecond)
	b.ReceiveLoan(after, 1)
	assert.Equal(t, b.Available(after, instances), alone, "late loans do not add to a full bucket")
}

func TestNonUrgentAttemptsLeaveReserve(t *testing.T) {
	b := settledBudget()
	b.RecordRequest(start, true)
	for b.Spend(start, 1, false) { // until it refuses
	}
	assert.Assert(t, b.Spend(start, 1, true))

	alone := settledBudget()
	for alone.Spend(start, 1, false) { // until it refuses
	}
	assert.Assert(t, !alone.Spend(start, 1, true), "nothing is reserved without urgent requests")
}

func TestSpendAboveKeepsShare(t *testing.T) {
	const instances = 1
	b := settledBudget()
	full := b.Balance(start, instances)
	spent := 0
	for b.SpendAbove(start, instances, 0.75, true) {
		spent++
	}
	assert.Equal(t, spent, int(full.Capacity/4))
	assert.Assert(t, b.Balance(start, instances).Tokens >= 0.75*full.Capacity)
	assert.Equal(t, full.Tokens, full.Capacity)
	assert.Assert(t, full.Inflow > 0)

	whole := settledBudget()
	assert.Assert(t, whole.SpendAbove(start, instances, 1, true), "a full bucket allows one attempt")
	assert.Assert(t, !whole.SpendAbove(start, instances, 1, true))
	refilled := start.Add(time.Duration(float64(time.Second) / full.Inflow * 1.01))
	assert.Assert(t, whole.SpendAbove(refilled, instances, 1, true), "what flows in may be spent")
}

// TestSpendAboveLeavesReserveToUrgent: requests that wait leave the reserve to urgent ones like all others.
func TestSpendAboveLeavesReserveToUrgent(t *testing.T) {
	b := settledBudget()
	b.RecordRequest(start, true)
	full := b.Balance(start, 1)
	for b.SpendAbove(start, 1, 0, false) { // until it refuses
	}
	assert.Assert(t, b.Balance(start, 1).Tokens >= urgentReserve*full.Capacity)
	assert.Assert(t, b.SpendAbove(start, 1, 0, true))
}
