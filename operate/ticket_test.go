package operate

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/operation"
)

// ticketed requests a ticket from an instance and returns a request with it.
func (c *cluster) ticketed(i int, body string) *Request {
	c.t.Helper()
	req := keyed("", body)
	a := c.at(i).IssueTicket(req)
	assert.Equal(c.t, a.Status, 201)
	req.Ticket = a.Header.Get(header.OperationTicket)
	return req
}

func TestTicketThroughAnyInstanceWithLogDown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.log.set(func(l *memLog) { l.down = true })
	req := c.ticketed(0, "b")
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { c.wantOutcome(c.send(i, req), fleet.Completed) })
	}
	wg.Wait()
	assert.Equal(t, c.ran(req.Ticket), 1)
	other := *req
	other.Body = []byte("other")
	assert.Equal(t, c.send(1, &other).Status, 422)
	foreign := *req
	foreign.Customer = "lonestar"
	assert.Equal(t, c.send(1, &foreign).Status, 400)
	assert.Equal(t, c.ran(req.Ticket), 1)
}

// An unreachable home is not replaced: the answer is unknown without a long
// wait, and a later repeat finds the outcome.
func TestTicketHomeCutOff(t *testing.T) {
	c := newCluster(t, 3, nil)
	req := c.ticketed(0, "b")
	c.setCut(1, 0, true)
	a := c.send(1, req)
	c.wantOutcome(a, fleet.Unknown)
	assert.Equal(t, a.Next, operation.RepeatSameKey)
	assert.Equal(t, c.ran(req.Ticket), 0)
	c.setCut(1, 0, false)
	c.wantOutcome(c.send(1, req), fleet.Completed)
	assert.Equal(t, c.ran(req.Ticket), 1)
}

// After a crash of the home, no instance runs the operation again, even if the
// home restarts under the same name.
func TestTicketHomeCrash(t *testing.T) {
	c := newCluster(t, 3, nil)
	req := c.ticketed(0, "b")
	c.wantOutcome(c.send(1, req), fleet.Completed)
	c.crash(0)
	a := c.send(1, req)
	c.wantOutcome(a, fleet.Unknown)
	assert.Equal(t, a.Next, operation.AskOperator)
	c.start(node(0))
	for i := range 3 {
		c.wantOutcome(c.send(i, req), fleet.Unknown)
	}
	assert.Equal(t, c.ran(req.Ticket), 1)
}

// During a graceful stop, running operations finish and successors replay them,
// even after those successors stop in turn. Unused tickets are answered as not
// run from then on.
func TestTicketsOutliveGracefulStops(t *testing.T) {
	c := newCluster(t, 4, nil)
	release := make(chan struct{})
	c.setBehaviour(func(_ context.Context, req *Request) Result {
		res := c.book(req)
		<-release
		return res
	})
	req, unused := c.ticketed(0, "b"), c.ticketed(0, "b")
	flying := make(chan operation.Answer, 1)
	go func() { flying <- c.send(1, req) }()
	c.eventually("dispatched", func() bool { return c.ran(req.Ticket) == 1 })
	sealed := make(chan error, 1)
	home := c.at(0)
	go func() { sealed <- home.Seal(context.Background()) }()
	c.eventually("sealed", func() bool { return c.at(0).IssueTicket(keyed("", "b")).Status == 503 })
	close(release)
	c.wantOutcome(<-flying, fleet.Completed)
	assert.NilError(t, <-sealed)
	c.crash(0)
	for _, stop := range []int{1, 2} {
		c.wantOutcome(c.send(3, req), fleet.Completed)
		c.wantOutcome(c.send(3, unused), fleet.NotRun)
		assert.NilError(t, c.at(stop).Seal(context.Background()))
		c.crash(stop)
	}
	c.wantOutcome(c.send(3, req), fleet.Completed)
	assert.Equal(t, c.ran(req.Ticket), 1)
	assert.Equal(t, c.ran(unused.Ticket), 0)
}

// A keyed operation in flight finishes during a graceful stop, and an outcome
// that did not reach the log in time is recorded by a successor.
func TestSealLeavesNoOutcomeBehind(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.setBehaviour(func(_ context.Context, req *Request) Result {
		c.log.set(func(l *memLog) { l.down = true })
		return c.book(req)
	})
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Completed)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, c.at(0).Seal(ctx))
	c.crash(0)
	c.log.set(func(l *memLog) { l.down = false })
	c.eventually("replayed", func() bool { return c.send(1, keyed("k", "b")).Outcome == fleet.Completed })
	assert.Equal(t, c.ran("k"), 1)
}

func TestSealFlushesReceipts(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.wantOutcome(c.send(0, c.ticketed(0, "b")), fleet.Completed)
	assert.NilError(t, c.at(0).Seal(context.Background()))
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	assert.Assert(t, len(c.log.streams[ReceiptStream]) > 0)
}
