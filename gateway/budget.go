package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
)

const (
	// lenders is how many neighbours are asked for a loan. Each lends half of what it has
	// at most, so that three together have an attempt where buckets hold one or less.
	lenders = 3
	// askEvery is the least time between askings for one service: where a whole service
	// fails nobody has anything to lend.
	askEvery = 200 * time.Millisecond
	// loanWait is how long a request waits for a loan; a neighbour answers within 1 to 2 ms.
	loanWait = 8 * time.Millisecond
)

// Request records a request for a service, for its retry budget.
func (k *Knowledge) Request(now time.Time, name document.ServiceName, urgent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service(name).budget.RecordRequest(now, urgent)
}

// Spend takes an attempt out of the service's retry budget, if there is one.
func (k *Knowledge) Spend(now time.Time, name document.ServiceName, urgent bool) (left float64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, instances := k.service(name).budget, k.instances(now)
	left = b.Available(now, instances)
	return left, b.Spend(now, instances, urgent)
}

// Short returns what others are to be asked for, nil if they were asked a moment ago.
func (k *Knowledge) Short(now time.Time, name document.ServiceName) []mesh.Loan {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	if now.Sub(s.askedAt) < askEvery {
		return nil
	}
	s.askedAt = now
	s.budget.LoanRequested(now)
	return []mesh.Loan{{Service: name, Permille: permille}}
}

// Lend returns what this instance lends to one that asked.
func (k *Knowledge) Lend(now time.Time, to string, asks []mesh.Loan) []mesh.Loan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var loans []mesh.Loan
	for _, a := range asks {
		lent := k.service(a.Service).budget.Lend(now, k.instances(now), float64(a.Permille)/permille)
		if part := int(lent * permille); part > 0 {
			loans = append(loans, mesh.Loan{Service: a.Service, Permille: part})
			eventlog.Info(eventlog.BudgetLent, "service", a.Service, "to", to, "permille", part)
		}
	}
	return loans
}

// borrow takes in what another instance has lent.
func (k *Knowledge) borrow(now time.Time, loans []mesh.Loan) {
	for _, l := range loans {
		k.service(l.Service).budget.ReceiveLoan(now, float64(l.Permille)/permille)
	}
}
