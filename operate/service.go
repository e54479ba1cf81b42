package operate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/peer/peerv1/peerv1connect"
	"github.com/clementinereel/clementinereel/rendezvous"
	"github.com/clementinereel/clementinereel/ticket"
)

const (
	// maxMessage bounds a message between instances, in bytes.
	maxMessage = 16 << 20
	// historyRetention is how long processes are tracked after they left.
	historyRetention = 48 * time.Hour
	// refreshInterval is the minimum interval between queries for the ends of the
	// partitions.
	refreshInterval = time.Second
	// greetings is the number of other processes that a process announces itself
	// to. One is enough; more tolerate the loss of some.
	greetings = 8
	// endsRate is the number of queries for the ends that a recorder receives per
	// second.
	endsRate = 40
	// retryBusy is the Retry-After for a repeat of an undecided operation.
	retryBusy = 2 * time.Second
)

// Service runs operations for one instance. It is safe for concurrent use.
type Service struct {
	cfg     Config
	now     func() time.Time
	stats   *stats
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	clients sync.Map // of instances to their clients
	receipt *receipts

	mu          sync.Mutex
	table       *claim.Table
	history     *claim.History
	members     []membership.Member
	roles       *rendezvous.Table
	processes   []fleet.Holder
	flights     map[*claim.Attempt]*flight
	tickets     *ticket.Table
	ticketRuns  map[ticket.ID]chan struct{}
	partitions  map[int]*partition
	ends        []logservice.Offset
	kept        keptAnswers
	refreshed   time.Time
	endsAsked   time.Time
	greeting    bool
	surveyQueue []*surveyQuery
	surveying   bool
	sealed      bool
}

// New returns a service. Tick must be called several times a second; Close ends
// its background work.
func New(cfg Config) *Service {
	cfg.Settings = cfg.Settings.WithDefaults()
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.View == nil {
		cfg.View = func() []membership.Member { return aliveOf(cfg.Members()) }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	orDefault(&cfg.Attempts.MaxAttempts, cfg.MaxAttempts)
	orDefault(&cfg.Tickets.MaxTickets, cfg.MaxTickets)
	ctx, cancel := context.WithCancel(context.Background())
	gone := cfg.GoneAfter.D()
	s := &Service{
		cfg: cfg, now: cfg.Now, stats: newStats(cfg.Metrics), ctx: ctx, cancel: cancel,
		table:      claim.NewTable(cfg.Attempts, cfg.Self),
		roles:      rendezvous.NewTable(nil),
		history:    claim.NewHistory(cfg.Now(), gone, historyRetention),
		flights:    map[*claim.Attempt]*flight{},
		tickets:    ticket.NewTable(cfg.Tickets, cfg.Self),
		ticketRuns: map[ticket.ID]chan struct{}{}, partitions: map[int]*partition{},
		ends: make([]logservice.Offset, cfg.Partitions),
		kept: keptAnswers{max: cfg.MaxKeptAnswers, answers: map[claim.ID]operation.Answer{}},
	}
	s.receipt = newReceipts(s)
	return s
}

// Handler returns the path and the handler for calls from peers.
func (s *Service) Handler() (string, http.Handler) {
	return peerv1connect.NewOperationServiceHandler(&server{s: s}, peer.HandlerOptions(maxMessage))
}

// Close ends the service's background goroutines. It does not wait for operations; Seal does.
func (s *Service) Close() {
	s.cancel()
	s.wg.Wait()
}

// Ready reports whether keyed operations can start: another instance has known
// this one for long enough, and the service is not stopping.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Open(s.now())
}

// Do runs the operation of a request or finds its outcome. If run is nil,
// Config.Run is used.
func (s *Service) Do(ctx context.Context, req *Request, run Runner) Answer {
	if run == nil {
		run = s.cfg.Run
	}
	var a Answer
	switch {
	case req.Ticket != "":
		a = Answer{Answer: s.doTicket(ctx, req, run)}
	case req.Key == "":
		a = Answer{Answer: refuse(req, http.StatusBadRequest, "a confirmation needs an "+header.IdempotencyKey+" or an "+header.OperationTicket)}
	case !operation.ValidKey(req.Key):
		a = Answer{Answer: refuse(req, http.StatusBadRequest, header.IdempotencyKey+" must be 1 to 255 printable ASCII characters")}
	default:
		a = s.doKeyed(ctx, req, run)
	}
	s.stats.outcome(a.Answer)
	return a
}

// Tick does periodic work: it updates the members, starts and stops recording
// partitions, and removes expired state.
func (s *Service) Tick(now time.Time) {
	view, processes := s.cfg.View(), s.cfg.Members()
	s.mu.Lock()
	refresh := now.Sub(s.refreshed) >= refreshInterval
	changed := s.setMembers(view)
	if refresh || !slices.Equal(s.processes, processes) {
		s.processes = processes
		s.history.Observe(now, s.latest(processes))
	}
	if refresh || changed {
		s.assign(now)
	}
	if !refresh {
		s.mu.Unlock()
		return
	}
	s.refreshed = now
	s.tickets.Sweep(now)
	parts := make([]*partition, 0, len(s.partitions))
	for _, p := range s.partitions {
		parts = append(parts, p)
	}
	askEnds := now.Sub(s.endsAsked) >= endsInterval(len(view))
	if askEnds {
		s.endsAsked = now
	}
	s.mu.Unlock()
	s.spawn(s.greet)
	if askEnds {
		s.spawn(s.refreshEnds)
	}
	unresolved := 0
	for _, p := range parts {
		unresolved += p.maintain(now)
	}
	s.stats.setUnresolved(unresolved)
}

// setMembers applies a member view and reports whether it differs from the
// previous one. The caller holds s.mu.
func (s *Service) setMembers(view []membership.Member) bool {
	if len(view) == len(s.members) && (len(view) == 0 || &view[0] == &s.members[0]) {
		return false
	}
	s.members, s.roles = view, rendezvous.NewTable(view)
	s.clients.Clear()
	return true
}

// endsInterval is the interval between an instance's queries for the ends, such
// that a recorder receives endsRate of them. With an outdated end, a repeat
// after NotRun is refused once more, and that response carries the new end.
func endsInterval(instances int) time.Duration {
	return max(refreshInterval, time.Duration(instances)*time.Second/endsRate)
}

// spawn runs a function in the background until Close.
func (s *Service) spawn(f func(ctx context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f(s.ctx)
	}()
}

// aliveOf returns processes as members of a view.
func aliveOf(processes []fleet.Holder) []membership.Member {
	var list []membership.Member
	for _, h := range processes {
		if h.Incarnation != 0 {
			list = append(list, membership.Member{
				ID: h.Instance, Incarnation: h.Incarnation, State: membership.Alive, Ready: true,
			})
		}
	}
	return list
}

// latest replaces unknown incarnations by the latest observed ones. The caller
// holds s.mu.
func (s *Service) latest(processes []fleet.Holder) []fleet.Holder {
	list := slices.Clone(processes)
	for i := range list {
		if list[i].Incarnation == 0 {
			list[i].Incarnation = s.history.Latest(list[i].Instance)
		}
	}
	return list
}

// end returns the known end of a partition's stream at the arrival of a request.
// The caller holds s.mu.
func (s *Service) end(p int) logservice.Offset {
	return s.ends[p]
}

// updateEnd updates the known end of a stream.
func (s *Service) updateEnd(p int, end logservice.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[p] = max(s.ends[p], end)
}

// greet announces this process to others, before the first attempt.
func (s *Service) greet(ctx context.Context) {
	s.mu.Lock()
	others := s.others()
	skip := s.greeting || s.table.Open(s.now())
	s.greeting = true
	s.mu.Unlock()
	if skip {
		return
	}
	met := 0
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others {
		if s.sendGreeting(ctx, m) == nil {
			met++
		}
		if met == greetings {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.greeting = false
	if met > 0 || len(others) == 0 {
		s.table.Announced(s.now())
	}
}

// others returns the members except this one. The caller holds s.mu.
func (s *Service) others() []fleet.Holder {
	var list []fleet.Holder
	for _, m := range s.members {
		if m.ID != s.cfg.Self.Instance {
			list = append(list, m.Holder())
		}
	}
	return list
}

// refuse returns the answer to an invalid request.
func refuse(req *Request, status int, detail string) operation.Answer {
	return operation.NewProblem(req.name(), status, fleet.NotRun, operation.FixRequest, detail, 0)
}

// logFailure logs a failed call.
func logFailure(msg string, err error, kv ...any) {
	klog.V(1).InfoS(msg, append(kv, "err", err)...)
}
