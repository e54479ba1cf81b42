package instance

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/admission"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/dispatch"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/operate"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/retry"
	"github.com/clementinereel/clementinereel/upstream"
)

// runOperations sets up work that must run at most once.
func (i *Instance) runOperations() {
	i.operations = operate.New(operate.Config{
		Settings: i.cfg.Operations,
		Self:     i.self,
		Log:      i.platform,
		Peers:    i.transport.Client(),
		Members:  i.processes,
		View:     func() []membership.Member { return i.members.Load().view.Members },
		Run:      i.runOperation,
		Metrics:  i.metrics.Metrics(),
	})
	i.peers.Handle(i.operations.Handler())
}

// processes lists every process that the platform names or that peers know,
// reachable or not.
func (i *Instance) processes() []fleet.Holder {
	return i.known.follow(i.members.Load().view, i.gossip.Listed())
}

// processList keeps the list of processes until what it follows from changes.
type processList struct {
	mu     sync.Mutex
	view   *membership.View
	listed []logservice.Listed
	all    []fleet.Holder
}

func (p *processList) follow(v *membership.View, listed []logservice.Listed) []fleet.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := len(listed) == len(p.listed) && (len(listed) == 0 || &listed[0] == &p.listed[0])
	if v == p.view && same {
		return p.all
	}
	p.view, p.listed, p.all = v, listed, make([]fleet.Holder, 0, len(v.Members))
	for _, m := range v.Members {
		p.all = append(p.all, m.Holder())
	}
	for _, l := range listed {
		if _, ok := v.Get(l.ID); !ok {
			p.all = append(p.all, fleet.Holder{Instance: l.ID})
		}
	}
	return p.all
}

// runOperation dispatches an operation to a target of its service.
func (i *Instance) runOperation(ctx context.Context, req *operate.Request) operate.Result {
	svc := i.services.Service(req.Service)
	route := i.routeOf(req)
	if route == nil {
		return notRun(req, http.StatusNotFound, "the contract in force has no such route", 0)
	}
	if svc == nil {
		return notRun(req, http.StatusServiceUnavailable, "the service has no targets yet", time.Second)
	}
	gate := svc.Gate(route.Class)
	d, err := gate.Acquire(ctx, route.Value, req.Deadline)
	if err != nil {
		return notRun(req, http.StatusServiceUnavailable, "the deadline passed before a target was tried", time.Second)
	}
	if d.Verdict != admission.Admitted {
		return notRun(req, http.StatusServiceUnavailable, "the service is full: "+d.Verdict.String(), d.RetryAfter)
	}
	defer gate.Release()
	res := dispatch.Run(ctx, svc, &dispatch.Job{
		Policy:     retry.PolicyOf(route),
		Deadline:   req.Deadline,
		NewRequest: func() *upstream.Request { return targetRequest(req, route) },
	})
	return conclude(req, &res)
}

// routeOf finds the route of an operation in the contract in force.
func (i *Instance) routeOf(req *operate.Request) *contract.Route {
	v := i.view.Load()
	if v == nil || v.Contracts[req.Customer] == nil {
		return nil
	}
	routes := v.Contracts[req.Customer].Contract.Routes
	for k := range routes {
		if routes[k].Name == req.Route {
			return &routes[k]
		}
	}
	return nil
}

// targetRequest is the request that a target gets.
func targetRequest(req *operate.Request, route *contract.Route) *upstream.Request {
	h := req.Header.Clone()
	h.Set(header.RequestID, req.ID)
	h.Set(header.OperationKey, operationKey(req))
	return &upstream.Request{
		Method:           req.Method,
		URL:              &url.URL{Path: req.Path, RawQuery: req.Query},
		Header:           h,
		Body:             bytes.NewReader(req.Body),
		Length:           int64(len(req.Body)),
		MaxResponseBytes: route.MaxAnswer,
	}
}

func operationKey(req *operate.Request) string {
	if req.Ticket != "" {
		return req.Ticket
	}
	return req.Key
}

// conclude says what a dispatch proves of the operation.
func conclude(req *operate.Request, res *upstream.Result) operate.Result {
	out := operate.Result{Target: res.Target.ID}
	switch {
	case dispatch.HasResponse(res):
		out.Outcome = fleet.Completed
		out.Answer = operation.NewCompleted(res.Response.Status, res.Response.Header, res.Response.Body)
	case res.NotRun():
		out = notRun(req, http.StatusServiceUnavailable, "no target took the request: "+res.Try.String(), max(res.RetryAfter, time.Second))
		out.Target = res.Target.ID
	default:
		out.Outcome = fleet.Unknown
	}
	return out
}

func notRun(req *operate.Request, status int, detail string, after time.Duration) operate.Result {
	name := operation.Name{RequestID: req.ID, Key: req.Key, Ticket: req.Ticket}
	return operate.Result{
		Outcome: fleet.NotRun,
		Answer:  operation.NewProblem(name, status, fleet.NotRun, operation.RepeatSameKey, detail, after),
	}
}
