package operate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/wait"
)

// fault is a failure of the first dispatch of an operation.
type fault uint8

const (
	none fault = iota
	crashBefore
	crashAfter
	answerLost
	refused
	impatient
	faults
)

// trial is one operation of a measurement: its caller repeats it until its
// outcome is final, while one fault affects its first dispatch.
type trial struct {
	c     *cluster
	w     way
	name  string
	fault fault
	sum   *tally
	rnd   *rand.Rand // of the caller alone

	mu     sync.Mutex
	struck bool
	runs   int
	final  fleet.Outcome
	ticket string
	memory *sync.Map // of the naive ways: instance and incarnation to answers
}

func (c *cluster) crashAndRepeat(w way, seed uint64, n int, sum *tally) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	memory := &sync.Map{}
	for k := range n {
		x := &trial{
			c: c, w: w, name: fmt.Sprint("op-", k), fault: fault(rnd.IntN(int(faults))),
			sum: sum, memory: memory, rnd: rnd,
		}
		x.caller()
	}
}

// caller sends the operation and repeats it, each time through a random
// instance.
func (x *trial) caller() {
	at := x.rnd.IntN(4)
	if x.w == tickets {
		x.ticket = x.c.at(at).IssueTicket(keyed("", "b")).Header.Get(header.OperationTicket)
	}
	if x.fault == impatient {
		go x.send((at + 1) % 4)
		time.Sleep(5 * time.Millisecond)
	}
	for try := range 30 {
		if try > 0 {
			at = x.rnd.IntN(4)
		}
		if x.send(at) || x.ended() != 0 {
			break
		}
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	x.count()
}

func (x *trial) ended() fleet.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.final
}

func (x *trial) count() {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch x.final {
	case fleet.Completed:
		x.sum.completed.Add(1)
	case fleet.NotRun:
		x.sum.notRun.Add(1)
	default:
		x.sum.unknown.Add(1)
	}
	if x.runs > 1 {
		x.sum.duplicates.Add(1)
	}
}

// send sends one request. It returns true if the caller need not repeat it.
func (x *trial) send(at int) bool {
	s := x.c.at(at)
	if s == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	req := keyed(x.name, "b")
	req.Deadline = time.Now().Add(3 * time.Second)
	if x.ticket != "" {
		req.Key, req.Ticket = "", x.ticket
	}
	x.c.runners.Store(req.Key+req.Ticket, runner(x.run))
	a := x.answer(ctx, s, req)
	if s.ctx.Err() != nil {
		return false // the instance crashed: the caller saw a broken connection
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.Outcome == fleet.NotRun && x.runs > 0 {
		x.sum.falseNotRun.Add(1)
	}
	final := a.Outcome == fleet.Completed || a.Next == operation.AskOperator || a.Next == operation.UseNewKey
	if final {
		x.final = a.Outcome
	}
	return final
}

// answer returns the instance's answer for the way of the measurement. Without
// claims there is no unknown: an error is reported as not run. Claims in memory
// have the same states as those in the log, but only this process has them.
func (x *trial) answer(ctx context.Context, s *Service, req *Request) operation.Answer {
	if x.w >= logClaims {
		a := s.Do(ctx, req, nil)
		defer a.Delivered()
		return a.Answer
	}
	if x.w == memoryClaims {
		id := fmt.Sprint(s.cfg.Self, x.name)
		once, _ := x.memory.LoadOrStore(id, sync.OnceValue(func() operation.Answer { return x.naive(ctx, s, req) }))
		a := once.(func() operation.Answer)()
		if a.Outcome == fleet.NotRun {
			x.memory.Delete(id)
		}
		return a
	}
	return x.naive(ctx, s, req)
}

func (x *trial) naive(ctx context.Context, s *Service, req *Request) operation.Answer {
	res := x.run(ctx, s)
	switch {
	case res.Outcome == fleet.Completed:
		return res.Answer
	case res.Outcome == fleet.Unknown && x.w == memoryClaims:
		return unresolved(req)
	}
	return notRun(req, "no answer from the target")
}

// run simulates the target; the fault affects the first dispatch.
func (x *trial) run(ctx context.Context, at *Service) Result {
	x.mu.Lock()
	f := x.fault
	if x.struck {
		f = none
	}
	x.struck = true
	x.mu.Unlock()
	switch f {
	case refused:
		return Result{Outcome: fleet.NotRun}
	case crashBefore:
		x.c.restart(at)
		return Result{Outcome: fleet.Unknown}
	}
	x.mu.Lock()
	x.runs++
	x.mu.Unlock()
	switch f {
	case crashAfter:
		x.c.restart(at)
		return Result{Outcome: fleet.Unknown}
	case answerLost:
		return Result{Outcome: fleet.Unknown, Target: "t1"}
	case impatient:
		wait.For(ctx, 30*time.Millisecond)
	}
	return Result{Outcome: fleet.Completed, Target: "t1", Answer: operation.NewCompleted(201, nil, []byte("booked"))}
}

// restart crashes an instance and starts it again.
func (c *cluster) restart(s *Service) {
	id := s.cfg.Self.Instance
	c.mu.Lock()
	delete(c.nodes, id)
	c.mu.Unlock()
	s.cancel()
	c.start(id)
}
