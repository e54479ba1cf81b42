package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/suspicion"
)

var backoffSeeds = flag.Uint64("backoff-seeds", 2, "number of seeds of the simulation of targets that send Retry-After")

const (
	// rejectStart is when targets begin to reject requests, for rejectDuration.
	rejectStart    = 2 * time.Second
	rejectDuration = 6 * time.Second
	// backoffSettleTime is the time after a rejection from which requests within the backoff are
	// counted.
	backoffSettleTime = 100 * time.Millisecond
	// rejectLatency is the time that a target takes to reject a request.
	rejectLatency = 3 * time.Millisecond
	// maxRequestsInBackoff is the largest allowed number of requests of an instance that reach a
	// target within a backoff.
	maxRequestsInBackoff = 1
	// slotUtilization is the fraction of the slots of all targets that the load uses.
	slotUtilization = 0.35
)

// arrival is a request of one instance at one target. If it was rejected, until is the end of the
// requested backoff.
type arrival struct {
	instance string
	target   fleet.TargetID
	at       time.Time
	until    time.Time
}

// backoffRun simulates a zone in which some targets reject requests with Retry-After.
type backoffRun struct {
	*zoneSim
	retryAfters map[fleet.TargetID]time.Duration
	// rejectShare is the fraction of requests that these targets reject.
	rejectShare float64
	// omitRetryAfter makes targets reject requests without Retry-After.
	omitRetryAfter bool
	arrivals       []arrival
	// requests and served count the requests since targets began to reject.
	requests, served int
}

// newBackoffRun returns a zone in which the given fraction of the targets rejects requests.
func newBackoffRun(seed uint64, instances, targets int, share float64) *backoffRun {
	z := &backoffRun{zoneSim: newZoneSim(seed, instances, targets, 0), retryAfters: make(map[fleet.TargetID]time.Duration), rejectShare: 1}
	var members []mesh.Member
	for _, in := range z.instances {
		members = append(members, mesh.Member{Addr: in.addr})
	}
	for _, in := range z.instances {
		in.knowledge = NewKnowledge(in.knowledge.chooser, pooled.Config{Ratio: 0.2, Slack: 1.6 * float64(instances), Window: 10 * time.Second}, start.Add(-time.Hour))
		in.knowledge.UpdateInstanceCount(start, viewOf(members...))
	}
	for i, t := range z.targets {
		if float64(i) < share*float64(targets) {
			z.retryAfters[t.ID] = []time.Duration{3 * time.Second, 1500 * time.Millisecond, 800 * time.Millisecond}[i%3]
		}
	}
	return z
}

// retryAfter returns the backoff that a target requests as it rejects a request; 0 if it accepts it.
func (z *backoffRun) retryAfter(now time.Time, id fleet.TargetID) time.Duration {
	if z.rng.Float64() >= z.rejectShare || now.Before(start.Add(rejectStart)) || now.After(start.Add(rejectStart+rejectDuration)) {
		return 0
	}
	return z.retryAfters[id]
}

// request sends an idempotent request through a random instance.
func (z *backoffRun) request(now time.Time) {
	in := z.instances[z.rng.IntN(len(z.instances))]
	in.knowledge.RecordRequest(now, "s", true)
	if now.After(start.Add(rejectStart)) {
		z.requests++
	}
	z.attempt(in, now, now, nil)
}

// attempt tries a target. After a rejection another one is tried if the retry budget allows.
func (z *backoffRun) attempt(in *zoneInstance, requestedAt, now time.Time, tried []fleet.TargetID) {
	w := placement.Work{Objective: objective, KB: 1, Retryable: true}
	p, ok := in.knowledge.Place(now, "s", z.targets, tried, nil, w, func(exchange.Target, time.Duration) bool { return true })
	if !ok {
		return
	}
	z.sendLoad(in, now, &p)
	after := z.retryAfter(now, p.ID)
	a := arrival{instance: in.addr, target: p.ID, at: now}
	if after > 0 {
		a.until = now.Add(after)
	}
	z.arrivals = append(z.arrivals, a)
	if after == 0 {
		z.schedule(now.Add(time.Duration((0.7+0.6*z.rng.Float64())*float64(meanServiceTime))), func(now time.Time) {
			z.recordResult(in, now, a.at, &p, suspicion.Success)
			if requestedAt.After(start.Add(rejectStart)) {
				z.served++
			}
		})
		return
	}
	z.schedule(now.Add(rejectLatency), func(now time.Time) {
		in.knowledge.Done(p)
		if !z.omitRetryAfter && in.knowledge.RecordBackoff(now, "s", p.ID, after) {
			packet := &mesh.Packet{Backoffs: []mesh.TargetBackoff{{Target: p.ID, RemainingMillis: after.Milliseconds()}}}
			z.send(in, now, packet, func(addr string) bool { return in.knowledge.PrefersTarget(addr, p.Target, z.targets) })
		}
		z.retry(in, requestedAt, now, append(slices.Clone(tried), p.ID))
	})
}

// retry tries another target if the retry budget, or a loan from peers, allows.
func (z *backoffRun) retry(in *zoneInstance, requestedAt, now time.Time, tried []fleet.TargetID) {
	if _, ok := in.knowledge.SpendBudget(now, "s", true); ok {
		z.attempt(in, requestedAt, now, tried)
		return
	}
	asks := in.knowledge.LoanRequests(now, "s")
	for _, i := range z.rng.Perm(len(z.instances))[:loanPeers] {
		if other := z.instances[i]; other != in && asks != nil {
			loans := other.knowledge.Lend(now, in.addr, asks)
			in.knowledge.HandlePacket(now, &mesh.Packet{Addr: other.addr, Zone: "a", Boot: other.boot, Loans: loans})
		}
	}
	z.schedule(now.Add(loanTimeout), func(now time.Time) {
		if _, ok := in.knowledge.SpendBudget(now, "s", true); ok {
			z.attempt(in, requestedAt, now, tried)
		}
	})
}

// run simulates traffic until 4 s after the last target accepts requests again.
func (z *backoffRun) run() {
	const until = rejectStart + rejectDuration + 4*time.Second
	rate := slotUtilization * float64(len(z.targets)*z.targets[0].Slots) / meanServiceTime.Seconds()
	for at := 0.0; at < until.Seconds(); at += z.rng.ExpFloat64() / rate {
		z.schedule(start.Add(time.Duration(at*float64(time.Second))), z.request)
	}
	z.queue.Run(until + 2*time.Second)
}

// maxInBackoff returns the largest number of requests from one instance that reached a target within
// a backoff that the target had requested from that instance.
func (z *backoffRun) maxInBackoff() int {
	type pair struct {
		instance string
		target   fleet.TargetID
	}
	of := make(map[pair][]arrival)
	for _, a := range z.arrivals {
		of[pair{a.instance, a.target}] = append(of[pair{a.instance, a.target}], a)
	}
	most := 0
	for _, as := range of {
		for i, refused := range as {
			n := 0
			for _, a := range as[i+1:] {
				if a.at.Sub(refused.at) >= backoffSettleTime && a.at.Before(refused.until) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// TestRetryAfterIsHonored guards against requests to targets that sent Retry-After. Such a target has
// nothing in flight, so without a backoff it is chosen again immediately, and its rejections use up
// the retry budget.
func TestRetryAfterIsHonored(t *testing.T) {
	const share, minServed = 0.375, 0.99
	for _, size := range zoneSizes {
		for seed := range *backoffSeeds {
			z := newBackoffRun(seed, size.instances, max(size.targets, 8), share)
			z.run()
			most, served := z.maxInBackoff(), float64(z.served)/float64(z.requests)
			what := fmt.Sprintf("%d instances, seed %d", size.fleet, seed)
			t.Logf("%s: %.4f of requests served, at most %d requests of an instance in one backoff", what, served, most)
			assert.Check(t, most <= maxRequestsInBackoff, "%s: %d requests of an instance in one backoff", what, most)
			assert.Check(t, served >= minServed, "%s: only %.4f of requests served", what, served)
		}
	}
}

// TestPartialRejectionKeepsTargetsInUse checks that callers lose nothing if all targets of a service
// reject a third of their requests with Retry-After, compared with rejections without it: only the
// rejected instance stops using the target.
func TestPartialRejectionKeepsTargetsInUse(t *testing.T) {
	const (
		tolerance   = 0.03
		minRequests = 3000 // as many seeds are run as it takes
	)
	for _, size := range zoneSizes {
		var requests, served [2]int // with Retry-After, and without
		for seed := uint64(0); requests[0] < minRequests; seed++ {
			for i, omit := range []bool{false, true} {
				z := newBackoffRun(seed, size.instances, max(size.targets, 8), 1)
				z.rejectShare, z.omitRetryAfter = 1.0/3, omit
				z.run()
				requests[i] += z.requests
				served[i] += z.served
				assert.Check(t, omit || z.maxInBackoff() <= maxRequestsInBackoff, "%d instances, seed %d: %d requests of an instance in one backoff", size.fleet, seed, z.maxInBackoff())
			}
		}
		share := func(i int) float64 { return float64(served[i]) / float64(requests[i]) }
		t.Logf("%d instances: %.4f of requests served, %.4f without Retry-After", size.fleet, share(0), share(1))
		assert.Check(t, share(0) >= share(1)-tolerance, "%d instances: %.4f of requests served, %.4f without Retry-After", size.fleet, share(0), share(1))
	}
}
