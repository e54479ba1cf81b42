package operate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

// answerReserve is the part of a request's deadline reserved for sending the
// answer.
const answerReserve = 100 * time.Millisecond

// flight is an attempt in progress with the callers that wait for its answer.
type flight struct {
	a    *claim.Attempt
	done chan struct{}
	// answer and until are set before done is closed. NotRun may be
	// reported only until then; zero means no limit.
	answer operation.Answer
	until  time.Time

	// mu guards the rest.
	mu        sync.Mutex
	waiters   int
	delivered chan struct{}
	closed    bool
}

func newFlight(a *claim.Attempt) *flight {
	return &flight{a: a, done: make(chan struct{}), delivered: make(chan struct{})}
}

// join adds a waiter. It returns false if the answer was already delivered to
// all waiters.
func (f *flight) join() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.waiters++
	return true
}

// leave removes a waiter. After the answer is set, the last one closes the
// flight.
func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters--
	if f.waiters > 0 || f.closed {
		return
	}
	select {
	case <-f.done:
		f.closed = true
		close(f.delivered)
	default:
		// There is no answer yet: later callers may join.
	}
}

// finish sets the answer and wakes the waiters.
func (f *flight) finish(a operation.Answer, until time.Time) {
	f.answer = a
	f.until = until
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.done)
	if f.waiters == 0 && !f.closed {
		f.closed = true
		close(f.delivered)
	}
}

// doKeyed runs an operation with an idempotency key.
func (s *Service) doKeyed(ctx context.Context, req *Request, run Runner) Answer {
	f, adm := s.begin(req, run)
	switch adm {
	case claim.DifferentRequest:
		return Answer{Answer: otherBody(req)}
	case claim.HeldOff:
		return Answer{Answer: undecided(req, "the key is held off for a moment")}
	case claim.Full:
		a, until := s.survey(ctx, req, nil)
		return Answer{Answer: s.expireNotRun(req, a, until)}
	}
	if f == nil {
		return Answer{Answer: undecided(req, "an earlier attempt has just ended")}
	}
	once := sync.OnceFunc(f.leave)
	select {
	case <-f.done:
	case <-ctx.Done():
		return Answer{Answer: undecided(req, "the caller gave up"), delivered: once}
	case <-s.ctx.Done():
		return Answer{Answer: undecided(req, "the instance stops"), delivered: once}
	}
	return Answer{Answer: s.expireNotRun(req, f.answer, f.until), delivered: once}
}

// expireNotRun turns NotRun into Unknown if it can no longer be reported.
func (s *Service) expireNotRun(req *Request, a operation.Answer, until time.Time) operation.Answer {
	if a.Outcome == fleet.NotRun && !until.IsZero() && s.now().After(until) {
		return undecided(req, "the answer comes too late to be sure")
	}
	return a
}

// begin starts an attempt or joins the existing one. A nil flight with Joined
// means that its answer was already delivered to all waiters.
func (s *Service) begin(req *Request, run Runner) (*flight, claim.Admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := req.opKey()
	a, adm := s.table.Begin(s.now(), claim.Attempt{
		Key: key, Digest: req.digest(), Base: s.end(key.Partition(s.cfg.Partitions)),
		Window: req.Window, Service: req.Service, Route: req.Route,
	})
	switch adm {
	case claim.Joined:
		f := s.flights[a]
		if f == nil || !f.join() {
			return nil, adm
		}
		return f, adm
	case claim.Begun:
		f := newFlight(a)
		f.waiters = 1
		s.flights[a] = f
		s.spawn(func(ctx context.Context) { s.runAttempt(ctx, f, req, run) })
		return f, adm
	}
	return nil, adm
}

// runAttempt runs an attempt from its claim to its recorded outcome.
func (s *Service) runAttempt(ctx context.Context, f *flight, req *Request, run Runner) {
	bounded, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, until := s.decide(bounded, f, req, run)
	cancel()
	f.finish(answer, until)
	s.record(ctx, f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(f.a)
	delete(s.flights, f.a)
}

// decide claims the key and acts on the verdict.
func (s *Service) decide(ctx context.Context, f *flight, req *Request, run Runner) (operation.Answer, time.Time) {
	began := s.now()
	verdict, op := s.claim(ctx, f.a)
	s.stats.claimed(verdict, s.now().Sub(began))
	s.mu.Lock()
	step := s.table.Resolve(f.a, verdict, op)
	s.mu.Unlock()
	switch step {
	case claim.StepDispatch:
		return s.dispatch(ctx, f, req, run), time.Time{}
	case claim.StepNotRun:
		return notRun(req, "the claim was given up before anything was sent"), time.Time{}
	case claim.StepFollow:
		return s.follow(ctx, req, op.Claim), time.Time{}
	case claim.StepReplay:
		return s.replay(ctx, req, op), time.Time{}
	case claim.StepDifferentRequest:
		return otherBody(req), time.Time{}
	case claim.StepRepeat:
		return undecided(req, "another attempt has just ended"), time.Time{}
	}
	return s.survey(ctx, req, f.a)
}

// dispatch runs an attempt in state dispatched.
func (s *Service) dispatch(ctx context.Context, f *flight, req *Request, run Runner) operation.Answer {
	res := run(ctx, req)
	answer := operation.NewCompleted(res.Answer.Status, res.Answer.Header, res.Answer.Body)
	switch res.Outcome {
	case fleet.Completed:
	case fleet.NotRun:
		answer = s.notRunByTargets(req, res)
	default:
		res.Outcome = fleet.Unknown
		answer = unresolved(req)
		klog.InfoS("operation outcome unknown", "customer", req.Customer, "key", req.Key,
			"request", req.ID, "target", res.Target, "claim", f.a.ID.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Finish(f.a, res.Outcome, res.Target, &answer)
	return answer
}

// notRunByTargets returns the answer when no target ran a dispatched request.
func (s *Service) notRunByTargets(req *Request, res Result) operation.Answer {
	a := notRun(req, "no target took the request")
	if res.Answer.RetryAfter > a.RetryAfter {
		a = operation.NewProblem(req.name(), a.Status, a.Outcome, a.Next, "no target took the request", res.Answer.RetryAfter)
	}
	return a
}

// notRun returns the answer for a key that was not run and can be used again.
func notRun(req *Request, detail string) operation.Answer {
	return operation.NewProblem(req.name(), http.StatusServiceUnavailable, fleet.NotRun,
		operation.RepeatSameKey, detail, retryBusy)
}

// undecided returns the answer for a request that was not dispatched, while
// another with the same key may have been. A repeat is safe.
func undecided(req *Request, detail string) operation.Answer {
	return operation.NewProblem(req.name(), http.StatusServiceUnavailable, fleet.Unknown,
		operation.RepeatSameKey, detail, retryBusy)
}

// unresolved returns the answer for an operation that may have run and whose
// outcome is unknown.
func unresolved(req *Request) operation.Answer {
	return operation.NewProblem(req.name(), http.StatusBadGateway, fleet.Unknown,
		operation.AskOperator, "the operation was sent and its outcome is not known", 0)
}

func otherBody(req *Request) operation.Answer {
	return operation.NewProblem(req.name(), http.StatusUnprocessableEntity, fleet.NotRun,
		operation.FixRequest, "the key or ticket belongs to another request; this request was not run", 0)
}

// replay returns the answer of an operation with a recorded outcome. An answer
// that was too large for the log is fetched from its holder.
func (s *Service) replay(ctx context.Context, req *Request, op claim.Op) operation.Answer {
	if op.State == operation.Completed && op.Answer == nil && req.digest() == op.Digest {
		if a, ok := s.await(ctx, req, op.Claim); ok {
			return a
		}
	}
	return replay(req, op)
}

// replay returns the answer of an operation from its state in the log.
func replay(req *Request, op claim.Op) operation.Answer {
	if req.digest() != op.Digest {
		return otherBody(req)
	}
	switch op.State {
	case operation.Completed:
		if op.Answer != nil {
			return op.Answer.AsReplay()
		}
		return operation.NewProblem(req.name(), http.StatusOK, fleet.Completed,
			operation.AskOperator, "the operation ran; its answer was too large to be kept", 0).AsReplay()
	case operation.SettledCompleted:
		return operation.NewProblem(req.name(), http.StatusOK, fleet.Completed,
			operation.UseNewKey, "an operator found that the operation ran: "+op.Reason, 0).AsReplay()
	case operation.SettledNotRun:
		return operation.NewProblem(req.name(), http.StatusConflict, fleet.NotRun,
			operation.UseNewKey, "an operator found that the operation did not run: "+op.Reason, 0).AsReplay()
	case operation.Unknown:
		return unresolved(req).AsReplay()
	}
	return undecided(req, "the operation has no outcome yet")
}
