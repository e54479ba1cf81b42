package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/rejection"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/retry/spending"
	"github.com/clementinereel/clementinereel/waitqueue"
)

const (
	// waitingInterval is the interval at which decisions are made while requests wait.
	waitingInterval = 10 * time.Millisecond
	// maxRankLabel bounds the ranks in metrics and reports; less urgent ones count as this one.
	maxRankLabel = 9
)

// Verdicts apart from those of package spending.
const (
	// verdictLeft means that the caller has left.
	verdictLeft spending.Verdict = "the caller left"
	// verdictStopping means that the instance stops before the request could be served.
	verdictStopping spending.Verdict = "the instance is stopping"
)

// Waiting holds the requests that wait at this instance for a later attempt. It is safe for concurrent use.
type Waiting struct {
	rejections   *rejection.Table
	zone         fleet.Zone
	bounds       waitqueue.Bounds
	knowledge    *Knowledge
	targets      func() *registry.View
	requestLoans func(loans []mesh.Loan, neighbours int)
	metrics      *Metrics

	mu       sync.Mutex
	services map[document.ServiceName]*waitingService
	lastID   uint64
}

// waitingService is what waits for one service.
type waitingService struct {
	planner *spending.Planner
	tickets map[uint64]*ticket
	// deciding is set while a goroutine decides at intervals.
	deciding bool
	// ranks are those for which there is a metric.
	ranks map[int]bool
}

// ticket connects a request in the queue with the goroutine that serves it.
type ticket struct {
	// verdict receives what becomes of the request, at most once.
	verdict chan spending.Verdict
	// stops reports whether the instance may stop before the request's deadline.
	stops func() bool
}

// NewWaiting returns a Waiting without requests.
func NewWaiting(zone fleet.Zone, b waitqueue.Bounds, k *Knowledge, targets func() *registry.View, requestLoans func([]mesh.Loan, int), m *Metrics) *Waiting {
	return &Waiting{
		rejections: rejection.NewTable(logRejectionChange), zone: zone, bounds: b, knowledge: k, targets: targets, requestLoans: requestLoans, metrics: m,
		services: make(map[document.ServiceName]*waitingService),
	}
}

// budgetAccount is the retry budget of a service.
type budgetAccount struct {
	w       *Waiting
	service document.ServiceName
	// blocked is set while all targets are in backoff, so that an attempt would find no target.
	blocked bool
}

// Balance implements spending.Account.
func (a budgetAccount) Balance(now time.Time) pooled.Balance {
	return a.w.knowledge.BudgetBalance(now, a.service)
}

// SpendAbove implements spending.Account. Where nothing is to be kept, it asks others for loans, which later calls
// may spend.
func (a budgetAccount) SpendAbove(now time.Time, share float64, rank int) bool {
	if a.blocked {
		return false
	}
	if a.w.knowledge.SpendBudgetAbove(now, a.service, share, isUrgent(rank)) {
		return true
	}
	if share == 0 {
		if requests := a.w.knowledge.LoanRequests(now, a.service); requests != nil {
			a.w.requestLoans(requests, loanPeers)
		}
	}
	return false
}

func (w *Waiting) service(name document.ServiceName) *waitingService {
	s := w.services[name]
	if s == nil {
		p := spending.New(spending.Config{Bounds: w.bounds, ReservedShare: spending.ReservedShare, Random: rand.Float64})
		s = &waitingService{planner: p, tickets: make(map[uint64]*ticket), ranks: make(map[int]bool)}
		w.services[name] = s
	}
	return s
}

// wait waits until the request gets an attempt or is given up. joined is called with the number of requests
// ahead once the request waits.
func (w *Waiting) wait(ctx context.Context, name document.ServiceName, r waitqueue.Request, stops func() bool, joined func(ahead int)) spending.Verdict {
	t := &ticket{verdict: make(chan spending.Verdict, 1), stops: stops}
	id, ahead := w.join(name, r, t)
	if ahead >= 0 {
		joined(ahead)
	}
	select {
	case v := <-t.verdict:
		return v
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(name)
	s.planner.Leave(id)
	delete(s.tickets, id)
	return verdictLeft
}

// join adds a request. It returns the number of requests ahead, or -1 if it may not wait.
func (w *Waiting) join(name document.ServiceName, r waitqueue.Request, t *ticket) (id uint64, ahead int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	r.ID = w.lastID
	s := w.service(name)
	s.tickets[r.ID] = t
	s.ranks[rankLabel(r.Rank)] = true
	ahead, out := s.planner.Join(time.Now(), r, budgetAccount{w: w, service: name})
	s.deliver(out)
	if s.tickets[r.ID] == nil {
		ahead = -1
	}
	if !s.deciding && s.planner.Len() > 0 {
		s.deciding = true
		go w.decideUntilEmpty(name, s)
	}
	return r.ID, ahead
}

func (s *waitingService) deliver(out []spending.Decision) {
	for _, d := range out {
		if t := s.tickets[d.ID]; t != nil {
			t.verdict <- d.Verdict
			delete(s.tickets, d.ID)
		}
	}
}

// decideUntilEmpty decides at intervals while requests of the service wait.
func (w *Waiting) decideUntilEmpty(name document.ServiceName, s *waitingService) {
	t := time.NewTicker(waitingInterval)
	defer t.Stop()
	for now := range t.C {
		if !w.decide(now, name, s) {
			return
		}
	}
}

// decide makes the decisions that are due and reports whether requests still wait.
func (w *Waiting) decide(now time.Time, name document.ServiceName, s *waitingService) bool {
	targets := w.targets().Services[name]
	state := w.rejections.State(name, zonesOf(targets))
	account := budgetAccount{w: w, service: name, blocked: w.knowledge.minBackoffLeft(now, targets) > 0}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range s.tickets {
		if t.stops() && s.planner.Leave(id) {
			t.verdict <- verdictStopping
			delete(s.tickets, id)
		}
	}
	s.deliver(s.planner.Decide(now, state.Wide, account))
	s.deciding = s.planner.Len() > 0
	return s.deciding
}

// Len returns the number of requests that wait for a service.
func (w *Waiting) Len(name document.ServiceName) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[name]; s != nil {
		return s.planner.Len()
	}
	return 0
}

// waitingCount is the number of requests of a rank that wait for a service.
type waitingCount struct {
	service       document.ServiceName
	rank, waiting int
}

func rankLabel(rank int) int { return min(max(rank, 0), maxRankLabel) }

// counts returns what waits, with zero for ranks of which requests have waited.
func (w *Waiting) counts() (all []waitingCount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, s := range w.services {
		waiting := make(map[int]int)
		for _, r := range s.planner.Waiting(time.Now()) {
			waiting[rankLabel(r.Rank)]++
		}
		for rank := range s.ranks {
			all = append(all, waitingCount{name, rank, waiting[rank]})
		}
	}
	return all
}

// Reports returns what waits for each service, and what is believed of those that reject requests, by name.
func (w *Waiting) Reports(now time.Time) []spending.Report {
	zones := w.rejections.ZoneReports(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	all := []spending.Report{}
	names := make(map[document.ServiceName]bool)
	for name := range zones {
		names[name] = true
	}
	for name := range w.services {
		names[name] = true
	}
	for name := range names {
		state := w.rejections.State(name, zonesOf(w.targets().Services[name]))
		r := spending.Report{Service: name, Rejecting: state.Wide, Zones: zones[name]}
		if s := w.services[name]; s != nil {
			r.Ranks, r.Tenants = summarize(now, s.planner.Waiting(now))
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b spending.Report) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return all
}

// summarize counts requests that are in order of rank.
func summarize(now time.Time, waiting []waitqueue.Request) (ranks []spending.RankReport, tenants int) {
	seen := make(map[document.TenantName]bool)
	for _, r := range waiting {
		seen[r.Tenant] = true
		if len(ranks) == 0 || ranks[len(ranks)-1].Rank != r.Rank {
			ranks = append(ranks, spending.RankReport{Rank: r.Rank})
		}
		last := &ranks[len(ranks)-1]
		last.Waiting++
		last.Oldest = max(last.Oldest, now.Sub(r.Since))
	}
	return ranks, len(seen)
}
