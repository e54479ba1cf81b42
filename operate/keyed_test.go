package operate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

func TestSameKeyAtOnceRunsOnce(t *testing.T) {
	c := newCluster(t, 3, nil)
	for round := range 50 {
		key := fmt.Sprint("quote-", round)
		var answers [2]operation.Answer
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() { answers[i] = c.send(i, keyed(key, "b")) })
		}
		wg.Wait()
		assert.Equal(t, c.ran(key), 1)
		for _, a := range answers {
			c.wantOutcome(a, fleet.Completed)
			assert.Equal(t, string(a.Body), "booked "+key+" run 1")
		}
	}
}

// hangingLog is a log that is unreachable for one instance: its calls hang.
type hangingLog struct{ logservice.Log }

func (hangingLog) Append(ctx context.Context, _ string, _ []byte) (logservice.Offset, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// A recorder that is cut off from the log must not block claims in its
// partitions.
func TestRecorderCutOffFromTheLog(t *testing.T) {
	c := newCluster(t, 3, func(cfg *Config) {
		cfg.Partitions = 16
		if cfg.Self.Instance == node(0) {
			cfg.Log = hangingLog{cfg.Log}
		}
	})
	for k := range 24 {
		key := fmt.Sprint("quote-", k)
		c.wantOutcome(c.send(1+k%2, keyed(key, "b")), fleet.Completed)
		assert.Equal(t, c.ran(key), 1)
	}
}

// firstWaits records how long the first read of each stream may wait.
type firstWaits struct {
	logservice.Log
	mu    sync.Mutex
	waits map[string]time.Duration
}

func (l *firstWaits) Read(ctx context.Context, stream string, from logservice.Offset, limit int, wait time.Duration) (logservice.Batch, error) {
	l.mu.Lock()
	if _, ok := l.waits[stream]; !ok {
		l.waits[stream] = wait
	}
	l.mu.Unlock()
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// A recorder that was just assigned an empty partition must accept claims
// immediately: its first read does not wait for a record.
func TestFirstReadDoesNotWait(t *testing.T) {
	log := &firstWaits{waits: map[string]time.Duration{}}
	newCluster(t, 1, func(cfg *Config) {
		log.Log = cfg.Log
		cfg.Log = log
	})
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Assert(t, len(log.waits) > 0)
	for stream, wait := range log.waits {
		assert.Equal(t, wait, time.Duration(0), stream)
	}
}

func TestRefusedBeforeAnythingIsSent(t *testing.T) {
	c := newCluster(t, 2, nil)
	a := c.send(0, keyed("", "b"))
	assert.Equal(t, a.Status, 400)
	c.wantOutcome(a, fleet.NotRun)
	assert.Equal(t, c.send(0, keyed("bad\nkey", "b")).Status, 400)
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Completed)
	for i := range 2 {
		a = c.send(i, keyed("k", "other"))
		assert.Equal(t, a.Status, 422)
	}
	assert.Equal(t, c.ran("k"), 1)
}

// The outcome must be available after the instance that ran the operation ended.
func TestReplayAfterCrash(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Completed)
	c.eventually("outcome recorded", func() bool { return c.at(0).unrecorded() == 0 })
	c.crash(0)
	for i := 1; i < 3; i++ {
		a := c.send(i, keyed("k", "b"))
		c.wantOutcome(a, fleet.Completed)
		assert.Assert(t, a.Replayed)
	}
	assert.Equal(t, c.ran("k"), 1)
}

func TestCrashAfterDispatchIsUnknownUntilSettled(t *testing.T) {
	c := newCluster(t, 3, nil)
	dispatched := make(chan struct{})
	c.setBehaviour(func(ctx context.Context, req *Request) Result {
		c.book(req)
		close(dispatched)
		<-ctx.Done()
		return Result{Outcome: fleet.Unknown, Target: "t1"}
	})
	victim := c.at(0)
	go victim.Do(context.Background(), keyed("k", "b"), nil)
	<-dispatched
	c.crash(0)
	var a operation.Answer
	c.eventually("presumed unknown", func() bool {
		a = c.send(1, keyed("k", "b"))
		return a.Next == operation.AskOperator
	})
	c.wantOutcome(a, fleet.Unknown)
	assert.Equal(t, c.ran("k"), 1)

	key := operation.Key{Customer: "daugava", Name: "k"}
	op, ok := c.at(1).lookup(context.Background(), key)
	assert.Assert(t, ok)
	e := op.Entry
	e.Kind, e.Operator, e.Reason = claim.SettleCompleted, "ilze", "found in the ledger"
	_, err := c.log.Append(context.Background(), claim.StreamName(key.Partition(2)), claim.Encode([]claim.Entry{e}))
	assert.NilError(t, err)
	c.eventually("settled", func() bool { return c.send(2, keyed("k", "b")).Outcome == fleet.Completed })
	assert.Equal(t, c.ran("k"), 1)
}

// While the log is unavailable, a new key is refused as not run and is not run.
func TestLogDownBeforeClaim(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.log.set(func(l *memLog) { l.down = true })
	a := c.send(0, keyed("k", "b"))
	c.wantOutcome(a, fleet.NotRun)
	assert.Assert(t, a.RetryAfter > 0)
	c.log.set(func(l *memLog) { l.down = false })
	c.eventually("runs once the log is back", func() bool {
		return c.send(1, keyed("k", "b")).Outcome == fleet.Completed
	})
	assert.Equal(t, c.ran("k"), 1)
}

// While an instance that may hold the key does not respond, no instance may
// report not run.
func TestLogDownAndOneCutOff(t *testing.T) {
	c := newCluster(t, 3, nil)
	release := make(chan struct{})
	c.setBehaviour(func(_ context.Context, req *Request) Result {
		res := c.book(req)
		<-release
		return res
	})
	first := make(chan operation.Answer, 1)
	go func() { first <- c.send(0, keyed("k", "b")) }()
	c.eventually("dispatched", func() bool { return c.ran("k") == 1 })
	c.log.set(func(l *memLog) { l.down = true })
	c.isolate(0, 3)
	for i := 1; i < 3; i++ {
		a := c.send(i, keyed("k", "b"))
		c.wantOutcome(a, fleet.Unknown)
		assert.Equal(t, a.Next, operation.RepeatSameKey)
	}
	close(release)
	c.wantOutcome(<-first, fleet.Completed)
	c.isolate(0, 0)
	for j := range 3 {
		c.setCut(0, j, false)
		c.setCut(j, 0, false)
	}
	a := c.send(1, keyed("k", "b"))
	c.wantOutcome(a, fleet.Completed)
	assert.Equal(t, c.ran("k"), 1)
}

// An instance that the platform lists counts as running, even if no peer tracks
// it any more.
func TestListedInstanceMayHoldTheKey(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.mu.Lock()
	c.listed = []fleet.Holder{{Instance: "i9"}}
	c.mu.Unlock()
	c.eventually("seen", func() bool {
		s := c.at(0)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.history.Present(fleet.Holder{Instance: "i9"})
	})
	c.log.set(func(l *memLog) { l.down = true })
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Unknown)
}

// If the log becomes unavailable after the claim, the operation runs and a
// repeat gets the answer from the holder.
func TestLogDownBetweenClaimAndOutcome(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.setBehaviour(func(_ context.Context, req *Request) Result {
		c.log.set(func(l *memLog) { l.down = true })
		return c.book(req)
	})
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Completed)
	c.wantOutcome(c.send(1, keyed("k", "b")), fleet.Completed)
	c.log.set(func(l *memLog) { l.down = false })
	c.eventually("recorded", func() bool { return c.at(0).unrecorded() == 0 })
	c.crash(0)
	c.wantOutcome(c.send(2, keyed("k", "b")), fleet.Completed)
	assert.Equal(t, c.ran("k"), 1)
}

func TestLostAppendReplies(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.log.set(func(l *memLog) { l.loseReply = true; l.latency = 20 * time.Millisecond })
	for i := range 6 {
		key := fmt.Sprint("k", i)
		c.wantOutcome(c.send(i%3, keyed(key, "b")), fleet.Completed)
		c.wantOutcome(c.send((i+1)%3, keyed(key, "b")), fleet.Completed)
		assert.Equal(t, c.ran(key), 1)
	}
}

// If a target reports that it did not run the request, the key can be used again.
func TestRefusedUnrunOpensTheKey(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.setBehaviour(func(context.Context, *Request) Result { return Result{Outcome: fleet.NotRun} })
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.NotRun)
	c.setBehaviour(func(_ context.Context, req *Request) Result { return c.book(req) })
	c.eventually("runs", func() bool { return c.send(1, keyed("k", "b")).Outcome == fleet.Completed })
	assert.Equal(t, c.ran("k"), 1)
}

// Until not run was delivered to the caller, no other request may run the key.
func TestKeyStaysShutUntilTold(t *testing.T) {
	c := newCluster(t, 2, nil)
	c.setBehaviour(func(context.Context, *Request) Result { return Result{Outcome: fleet.NotRun} })
	slow := c.at(0).Do(context.Background(), keyed("k", "b"), nil)
	c.wantOutcome(slow.Answer, fleet.NotRun)
	c.setBehaviour(func(_ context.Context, req *Request) Result { return c.book(req) })
	for range 5 {
		c.wantOutcome(c.send(1, keyed("k", "b")), fleet.Unknown)
	}
	assert.Equal(t, c.ran("k"), 0)
	slow.Delivered()
	c.eventually("runs", func() bool { return c.send(1, keyed("k", "b")).Outcome == fleet.Completed })
}

// Keys are kept beyond the log's retention.
func TestCheckpointOutlivesRetention(t *testing.T) {
	c := newCluster(t, 2, func(cfg *Config) { cfg.CheckpointInterval = 1e7 })
	c.wantOutcome(c.send(0, keyed("k", "b")), fleet.Completed)
	c.eventually("recorded", func() bool { return c.at(0).unrecorded() == 0 })
	stream := claim.StreamName(operation.Key{Customer: "daugava", Name: "k"}.Partition(2))
	var upto logservice.Offset
	c.eventually("checkpoint", func() bool {
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		for _, r := range c.log.streams[stream] {
			rec, _ := claim.Decode(r)
			if rec.Checkpoint != nil && rec.Checkpoint.Upto > 1 {
				upto = rec.Checkpoint.Upto
			}
		}
		return upto > 0
	})
	c.log.set(func(l *memLog) { l.first[stream] = upto })
	c.crash(0)
	c.crash(1)
	c.start(node(2))
	c.eventually("replayed", func() bool {
		a := c.send(2, keyed("k", "b"))
		return a.Outcome == fleet.Completed && a.Replayed
	})
	assert.Equal(t, c.ran("k"), 1)
}

// A large answer is replayed while its holder runs; afterwards a repeat still
// gets the outcome that the operation ran.
func TestLargeAnswer(t *testing.T) {
	c := newCluster(t, 2, func(cfg *Config) { cfg.MaxRecordedAnswer = 4 })
	first := c.send(0, keyed("k", "b"))
	c.eventually("recorded", func() bool { return c.at(0).unrecorded() == 0 })
	a := c.send(1, keyed("k", "b"))
	assert.DeepEqual(t, a.Body, first.Body)
	c.crash(0)
	c.wantOutcome(c.send(1, keyed("k", "b")), fleet.Completed)
	assert.Equal(t, c.ran("k"), 1)
}

// A claim that one try may have left in the log must be withdrawn, even if all
// recorders refused it at the next try.
func TestDoubtOfAnEarlierTryIsKept(t *testing.T) {
	sure := recorded{verdict: claim.Refused, refused: true, withheld: true}
	doubt := recorded{verdict: claim.Refused, refused: true}
	assert.Assert(t, sure.after(sure).withheld)
	assert.Assert(t, !sure.after(doubt).withheld)
	assert.Assert(t, !sure.after(sure.after(doubt)).withheld)
}
