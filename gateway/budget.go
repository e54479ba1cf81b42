package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/retry/pooled"
)

const (
	// loanPeers is the number of neighbours that receive a loan request. Each lends at most
	// half of its budget, so three together can lend an attempt if each has one or less.
	loanPeers = 3
	// loanRequestInterval is the minimum time between loan requests for one service: if a
	// whole service fails, no instance has budget to lend.
	loanRequestInterval = 200 * time.Millisecond
	// loanTimeout is how long a request waits for a loan. A neighbour responds within 1 to 2 ms.
	loanTimeout = 8 * time.Millisecond
)

// RecordRequest adds a request to the service's retry budget.
func (k *Knowledge) RecordRequest(now time.Time, name document.ServiceName, urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).budget.RecordRequest(now, urgent)
}

// SpendBudget takes an attempt from the service's retry budget. It returns what was left
// before, in attempts, and false if the budget does not allow the attempt.
func (k *Knowledge) SpendBudget(now time.Time, name document.ServiceName, urgent bool) (left float64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, instances := k.service(name).budget, k.instances(now)
	left = b.Available(now, instances)
	return left, b.Spend(now, instances, urgent)
}

// BudgetBalance returns the state of the service's retry budget.
func (k *Knowledge) BudgetBalance(now time.Time, name document.ServiceName) pooled.Balance {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).budget.Balance(now, k.instances(now))
}

// SpendBudgetAbove takes an attempt from the service's retry budget if the given share of a full bucket is left afterwards.
func (k *Knowledge) SpendBudgetAbove(now time.Time, name document.ServiceName, share float64, urgent bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).budget.SpendAbove(now, k.instances(now), share, urgent)
}

// LoanRequests returns the loans to request from other instances, nil if the last request
// was less than loanRequestInterval ago.
func (k *Knowledge) LoanRequests(now time.Time, name document.ServiceName) []mesh.Loan {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	if now.Sub(s.loansRequestedAt) < loanRequestInterval {
		return nil
	}
	s.loansRequestedAt = now
	s.budget.LoanRequested(now)
	return []mesh.Loan{{Service: name, Permille: permille}}
}

// Lend returns the loans that this instance grants to a requester, and takes them from
// its own budgets.
func (k *Knowledge) Lend(now time.Time, to string, requests []mesh.Loan) []mesh.Loan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var loans []mesh.Loan
	for _, r := range requests {
		lent := k.service(r.Service).budget.Lend(now, k.instances(now), float64(r.Permille)/permille)
		if part := int(lent * permille); part > 0 {
			loans = append(loans, mesh.Loan{Service: r.Service, Permille: part})
			eventlog.Info(eventlog.BudgetLent, "service", r.Service, "to", to, "permille", part)
		}
	}
	return loans
}

// applyLoans adds the loans of another instance to the budgets. The lock is held.
func (k *Knowledge) applyLoans(now time.Time, loans []mesh.Loan) {
	for _, l := range loans {
		k.service(l.Service).budget.ReceiveLoan(now, float64(l.Permille)/permille)
	}
}
