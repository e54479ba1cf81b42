package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func contentOf(uri string) *Content { return &Content{Method: "GET", Host: "h", URI: uri} }

// newLoss returns a loss at a target's process. Began and ended are in milliseconds after start.
func newLoss(target string, began, ended int) Loss {
	return Loss{Process: Process{Target: fleet.TargetID(target), Born: 7}, Began: at(began), Ended: at(ended)}
}

func newTable(changes *[]Change) *Table {
	return New(func(c Change) {
		if changes != nil {
			*changes = append(*changes, c)
		}
	})
}

// recordLosses records each loss at its end, and returns the standing once a proof has settled.
func recordLosses(t *Table, uri string, ls ...Loss) Standing {
	for _, l := range ls {
		t.RecordLoss(l.Ended, contentOf(uri), l)
	}
	return t.Standing(ls[len(ls)-1].Ended.Add(settlingTime), contentOf(uri))
}

func TestStandingFollowsLosses(t *testing.T) {
	x := newTable(nil)
	assert.Equal(t, x.Standing(start, contentOf("/a")), Unsuspected)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t1", 0, 100)), Suspected)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t1", 0, 110)), Suspected)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t2", 100, 200)), Restricted)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t3", 200, 300)), Quarantined)
	assert.Equal(t, x.Standing(at(350), contentOf("/a")), Restricted)
	assert.Equal(t, x.Standing(at(500), contentOf("/b")), Unsuspected)
	proof, until, ok := x.Proof(contentOf("/a"))
	assert.Assert(t, ok)
	assert.Equal(t, len(proof.Losses), 3)
	assert.Equal(t, until, at(300).Add(trialDelay))
}

// TestRestartedTargetCountsAsNewProcess: a target that restarts under the same ID may be crashed again.
func TestRestartedTargetCountsAsNewProcess(t *testing.T) {
	x := newTable(nil)
	restarted := newLoss("t1", 200, 300)
	restarted.Process.Born++
	assert.Equal(t, recordLosses(x, "/a", newLoss("t1", 0, 100), restarted), Restricted)
}

func TestSimultaneousLossesCountOnce(t *testing.T) {
	x := newTable(nil)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 50, 101), newLoss("t3", 90, 102), newLoss("t4", 99, 103)), Suspected)
}

func TestSuccessClearsContent(t *testing.T) {
	var changes []Change
	x := newTable(&changes)
	recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	evidence, ok := x.RecordServed(at(400), contentOf("/a"))
	assert.Assert(t, ok)
	assert.Equal(t, x.Standing(at(900), contentOf("/a")), Unsuspected)
	assert.Equal(t, changes[len(changes)-1].Now, Unsuspected)
	// An earlier loss that arrives late is ignored, here and at other instances.
	x.Merge(at(410), Evidence{Content: contentOf("/a").Fingerprint(), Losses: []Loss{newLoss("t4", 300, 390)}}, "peer")
	assert.Equal(t, x.Standing(at(900), contentOf("/a")), Unsuspected)
	other := newTable(nil)
	recordLosses(other, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	other.Merge(at(420), evidence, "peer")
	assert.Equal(t, other.Standing(at(900), contentOf("/a")), Unsuspected)
	_, ok = x.RecordServed(at(500), contentOf("/a"))
	assert.Assert(t, !ok)
}

func TestAnswerRefutesLoss(t *testing.T) {
	x := newTable(nil)
	p := newLoss("t3", 200, 300).Process
	recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	x.RecordAnswer(at(400), p, at(250)) // the attempt began before the loss
	assert.Equal(t, x.Standing(at(500), contentOf("/a")), Quarantined)
	x.RecordAnswer(at(400), p, at(350)) // may be a delayed report
	assert.Equal(t, x.Standing(at(500), contentOf("/a")), Quarantined)
	x.RecordAnswer(at(700), Process{Target: p.Target, Born: p.Born + 1}, at(600))
	assert.Equal(t, x.Standing(at(700), contentOf("/a")), Quarantined)
	x.RecordAnswer(at(700), p, at(600))
	assert.Equal(t, x.Standing(at(700), contentOf("/a")), Restricted)
}

// recordBoth records a loss of a deadly request at the n-th target, and for the first three targets also
// one of another request.
func recordBoth(t *Table, n int) {
	target := fmt.Sprint("t", n)
	recordLosses(t, "/deadly", newLoss(target, 100*n+1, 100*n+100))
	if n < 3 {
		recordLosses(t, "/caught", newLoss(target, 100*n+2, 100*n+100))
	}
}

// TestRequestsInFlightAtCrashesAreNotBlamed: an ordinary request was in flight at three of the targets that
// a deadly one crashed. It is cleared once the deadly one is found.
func TestRequestsInFlightAtCrashesAreNotBlamed(t *testing.T) {
	x := newTable(nil)
	for n := range 5 {
		recordBoth(x, n)
		if n == 3 {
			// With four losses against three the two cannot be distinguished yet.
			assert.Equal(t, x.Standing(at(600), contentOf("/deadly")), Restricted)
			assert.Equal(t, x.Standing(at(600), contentOf("/caught")), Restricted)
		}
	}
	assert.Equal(t, x.Standing(at(1000), contentOf("/deadly")), Quarantined)
	assert.Equal(t, x.Standing(at(1000), contentOf("/caught")), Unsuspected)
	assert.Equal(t, recordLosses(x, "/caught", newLoss("t9", 1000, 1100)), Suspected)
}

// TestAllLossesOfDoubtedContentAreSent: the cost limit of a deadly content whose losses are attributed to another one
// is based on all of its losses, at each instance. A content below the number of losses for a quarantine
// is not sent if its losses are attributed to another one.
func TestAllLossesOfDoubtedContentAreSent(t *testing.T) {
	x := newTable(nil)
	for n := range 5 {
		recordBoth(x, n)
	}
	assert.Equal(t, x.Standing(at(1000), contentOf("/deadly")), Quarantined)
	evidence, ok := x.RecordLoss(at(1100), contentOf("/caught"), newLoss("t9", 1000, 1100))
	assert.Assert(t, ok)
	assert.Equal(t, len(evidence.Losses), 4)
	_, ok = x.RecordLoss(at(1200), contentOf("/once"), newLoss("t4", 401, 500))
	assert.Assert(t, !ok)
}

// TestDeadlyRequestIsStoppedDespiteCoincidingRequest: when traffic begins, a deadly request crashes all targets
// of a service within half a second. A popular request that was never served before was in flight at each
// of them. Neither has the required lead, so neither is refused, and new processes crash as they start. In
// one of 10,000 simulated runs this went on for seconds, and then the popular request was blamed first.
func TestDeadlyRequestIsStoppedDespiteCoincidingRequest(t *testing.T) {
	x := newTable(nil)
	for n := range maxChainLen {
		target := fmt.Sprint("t", n)
		recordLosses(x, "/popular", newLoss(target, 100*n+1, 100*n+100))
		recordLosses(x, "/deadly", newLoss(target, 100*n+1, 100*n+100))
	}
	assert.Equal(t, x.Standing(at(1000), contentOf("/deadly")), Quarantined)
}

// TestIndistinguishableContentsAreBothStopped: if two contents cannot be distinguished, both are refused. Each is
// retried soon, at different times; one success releases the innocent one.
func TestIndistinguishableContentsAreBothStopped(t *testing.T) {
	x := newTable(nil)
	for n := range maxChainLen {
		recordLosses(x, "/a", newLoss(fmt.Sprint("t", n), 100*n+1, 100*n+100))
		recordLosses(x, "/b", newLoss(fmt.Sprint("t", n), 100*n+1, 100*n+100))
	}
	last := at(100 * maxChainLen)
	due := make(map[string]time.Time)
	for _, uri := range []string{"/a", "/b"} {
		assert.Equal(t, x.Standing(last.Add(settlingTime), contentOf(uri)), Quarantined)
		_, due[uri], _ = x.Proof(contentOf(uri))
		assert.Assert(t, !x.AllowTrial(due[uri].Add(-time.Millisecond), contentOf(uri)))
		assert.Assert(t, x.AllowTrial(due[uri], contentOf(uri)))
		assert.Assert(t, due[uri].Sub(last) <= doubtedTrialDelay+trialSpread)
	}
	assert.Assert(t, due["/a"] != due["/b"])
	x.RecordServed(due["/a"].Add(time.Second), contentOf("/a"))
	x.RecordLoss(due["/b"].Add(time.Second), contentOf("/b"), Loss{Process: Process{Target: "u"}, Began: due["/b"], Ended: due["/b"].Add(time.Second)})
	assert.Equal(t, x.Standing(due["/b"].Add(2*time.Second), contentOf("/a")), Unsuspected)
	assert.Equal(t, x.Standing(due["/b"].Add(2*time.Second), contentOf("/b")), Quarantined)
}

// TestDoubtedContentIsTriedAfterQuietPeriod: a trial during other losses would fail whatever the content is.
func TestDoubtedContentIsTriedAfterQuietPeriod(t *testing.T) {
	x := newTable(nil)
	for n := range maxChainLen {
		recordLosses(x, "/a", newLoss(fmt.Sprint("t", n), 100*n+1, 100*n+100))
		recordLosses(x, "/b", newLoss(fmt.Sprint("t", n), 100*n+1, 100*n+100))
	}
	_, due, _ := x.Proof(contentOf("/a"))
	lost := Loss{Process: Process{Target: "u"}, Began: due, Ended: due}
	x.RecordLoss(due, contentOf("/c"), lost)
	assert.Assert(t, !x.AllowTrial(due.Add(quietPeriod-time.Millisecond), contentOf("/a")))
	assert.Assert(t, x.AllowTrial(due.Add(quietPeriod), contentOf("/a")))
}

// TestSettledQuarantineIsNotLiftedByAnother: several deadly contents have losses at the same processes, and
// would otherwise release each other.
func TestSettledQuarantineIsNotLiftedByAnother(t *testing.T) {
	x := newTable(nil)
	assert.Equal(t, recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300)), Quarantined)
	for n := range maxLosses {
		recordLosses(x, "/b", newLoss(fmt.Sprint("t", n), 100*n+400, 100*n+500))
		assert.Equal(t, x.Standing(at(100*n+500), contentOf("/a")), Quarantined)
	}
	assert.Equal(t, x.Standing(at(9000), contentOf("/b")), Quarantined)
}

// TestRestoredQuarantineIsNotLiftedByAnother: after the loss of all instances, the first evidence that a new
// instance receives is on other contents that were lost at the same processes.
func TestRestoredQuarantineIsNotLiftedByAnother(t *testing.T) {
	x := newTable(nil)
	ls := []Loss{newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300)}
	recordLosses(x, "/b", ls...)
	x.Merge(at(310), Evidence{Content: contentOf("/a").Fingerprint(), Losses: ls, Upheld: true}, "store")
	assert.Equal(t, x.Standing(at(311), contentOf("/a")), Quarantined)
	recordLosses(x, "/b", newLoss("t4", 400, 500))
	assert.Equal(t, x.Standing(at(511), contentOf("/a")), Quarantined)
	x.RecordServed(at(600), contentOf("/a"))
	assert.Equal(t, recordLosses(x, "/a", newLoss("t5", 700, 800)), Suspected)
}

// TestInfrequentDeadlyRequestIsStopped: a deadly request comes every few seconds, while targets also crash
// without it. It is refused after its first late loss.
func TestInfrequentDeadlyRequestIsStopped(t *testing.T) {
	x := newTable(nil)
	const interval = 4000
	for n := range 4 {
		assert.Assert(t, x.Standing(at(interval*n), contentOf("/a")) < Quarantined)
		recordLosses(x, fmt.Sprint("/", n), newLoss(fmt.Sprint("u", n), interval*n+50, interval*n+60))
		recordLosses(x, "/a", newLoss(fmt.Sprint("t", n), interval*n+100, interval*n+200))
	}
	assert.Equal(t, x.Standing(at(4*interval), contentOf("/a")), Quarantined)
}

// TestSecondDeadlyRequestDoesNotLiftFirst: crashes by one deadly request count as exonerating for the other only
// until they are attributed.
func TestSecondDeadlyRequestDoesNotLiftFirst(t *testing.T) {
	x := newTable(nil)
	recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	assert.Equal(t, recordLosses(x, "/b", newLoss("t4", 200, 450), newLoss("t5", 450, 500), newLoss("t6", 500, 600)), Quarantined)
	assert.Equal(t, x.Standing(at(700), contentOf("/a")), Quarantined)
}

// TestTwoConcurrentDeadlyRequestsAreStopped: neither is quarantined yet when the other begins.
func TestTwoConcurrentDeadlyRequestsAreStopped(t *testing.T) {
	x := newTable(nil)
	for n := range maxChainLen {
		recordLosses(x, "/a", newLoss(fmt.Sprint("a", n), 20*n, 20*n+10))
		recordLosses(x, "/b", newLoss(fmt.Sprint("b", n), 20*n+10, 20*n+20))
	}
	assert.Equal(t, x.Standing(at(1000), contentOf("/a")), Quarantined)
	assert.Equal(t, x.Standing(at(1000), contentOf("/b")), Quarantined)
}

func TestRepeatedEvidenceConverges(t *testing.T) {
	changes := []Change{}
	x := newTable(&changes)
	e := Evidence{Content: contentOf("/a").Fingerprint(), Losses: []Loss{newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300)}}
	x.Merge(at(310), e, "peer")
	n := len(changes)
	for shift := range 50 {
		repeated := Evidence{Content: e.Content}
		for _, l := range e.Losses {
			by := time.Duration(shift) * time.Millisecond
			repeated.Losses = append(repeated.Losses, Loss{Process: l.Process, Began: l.Began.Add(by), Ended: l.Ended.Add(by)})
		}
		x.Merge(at(310+shift), repeated, "peer")
	}
	assert.Equal(t, len(changes), n)
	assert.DeepEqual(t, x.HeartbeatEvidence(), []Evidence{e})
}

// TestQuarantinedContentIsTriedWithBackoff: one request at a time, two trials at most, with increasing
// delays; one success ends the quarantine.
func TestQuarantinedContentIsTriedWithBackoff(t *testing.T) {
	x := newTable(nil)
	c := contentOf("/a")
	recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	now := at(300).Add(trialDelay)
	assert.Assert(t, !x.AllowTrial(now.Add(-time.Millisecond), c))
	assert.Assert(t, x.AllowTrial(now, c))
	assert.Assert(t, !x.AllowTrial(now.Add(time.Second), c), "second trial allowed while one is pending")
	ended := now.Add(time.Second)
	failed := Loss{Process: Process{Target: "t4"}, Began: now, Ended: ended}
	other := newTable(nil)
	recordLosses(other, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	evidence, _ := x.RecordLoss(ended, c, failed)
	other.Merge(ended, evidence, "peer")
	for _, y := range []*Table{x, other} {
		assert.Assert(t, !y.AllowTrial(ended.Add(trialDelay), c), "second trial allowed after the delay of the first")
	}
	next := ended.Add(trialGrowth * trialDelay)
	assert.Assert(t, other.AllowTrial(next, c))
	evidence, _ = other.RecordLoss(next.Add(time.Second), c, Loss{Process: Process{Target: "t5"}, Began: next, Ended: next.Add(time.Second)})
	x.Merge(next, evidence, "peer")
	for _, y := range []*Table{x, other} {
		assert.Assert(t, !y.AllowTrial(next.Add(LossTTL), c), "third trial allowed")
	}
	_, ok := x.RecordServed(next.Add(time.Minute), c)
	assert.Assert(t, ok)
	assert.Equal(t, x.Standing(next.Add(2*time.Minute), c), Unsuspected)
}

// TestTrialsAreResetByASuccess: trials from before a success do not count against the limit.
func TestTrialsAreResetByASuccess(t *testing.T) {
	x := newTable(nil)
	c := contentOf("/a")
	now := start
	for range maxTrials + 1 {
		for n := range Quarantined {
			began := now.Add(time.Duration(n) * time.Second)
			x.RecordLoss(began.Add(time.Second), c, Loss{Process: Process{Target: "t", Born: began.Unix()}, Began: began, Ended: began.Add(time.Second)})
		}
		now = now.Add(3*time.Second + trialDelay)
		assert.Assert(t, x.AllowTrial(now, c))
		x.RecordServed(now.Add(time.Second), c)
		now = now.Add(time.Minute)
	}
}

func TestQuarantineExpires(t *testing.T) {
	x := newTable(nil)
	recordLosses(x, "/a", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	x.Tick(at(1000))
	assert.Equal(t, x.Counts()[Quarantined], 1)
	x.Tick(at(1000).Add(LossTTL))
	assert.Equal(t, x.Standing(at(1000).Add(LossTTL), contentOf("/a")), Unsuspected)
	assert.Equal(t, x.size.Load(), int64(0))
	assert.Equal(t, len(x.byProcess), 0)
}

// TestTableIsBounded: eviction keeps the contents with the highest standing.
func TestTableIsBounded(t *testing.T) {
	x := newTable(nil)
	recordLosses(x, "/deadly", newLoss("t1", 0, 100), newLoss("t2", 100, 200), newLoss("t3", 200, 300))
	for n := range 3 * maxContents {
		recordLosses(x, fmt.Sprint("/", n), newLoss("t4", 300, 400))
	}
	assert.Equal(t, x.size.Load(), int64(maxContents))
	assert.Equal(t, len(x.entries), maxContents)
	assert.Equal(t, x.Standing(at(9000), contentOf("/deadly")), Quarantined)
}

// TestStandingOfUntrackedContentDoesNotAllocate: the lookup is on the path of each request.
func TestStandingOfUntrackedContentDoesNotAllocate(t *testing.T) {
	x := newTable(nil)
	recordLosses(x, "/deadly", newLoss("t1", 0, 100))
	c := contentOf("/other")
	assert.Equal(t, testing.AllocsPerRun(100, func() { x.Standing(start, c) }), 0.0)
}

func BenchmarkStanding(b *testing.B) {
	for _, tracked := range []int{0, 1000, 100_000} {
		x := newTable(nil)
		for n := range tracked {
			x.RecordLoss(start, contentOf(fmt.Sprint("/", n)), newLoss("t", 0, 100))
		}
		contents := make([]*Content, 4096)
		for i := range contents {
			contents[i] = contentOf(fmt.Sprint("/other/", i))
		}
		b.Run(fmt.Sprint(tracked, " tracked"), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				x.Standing(start, contents[i%len(contents)])
				i++
			}
		})
	}
}

// BenchmarkRecordLoss records losses while many contents compete for them, as in an outage.
func BenchmarkRecordLoss(b *testing.B) {
	for _, candidates := range []int{1, 8, maxCandidates} {
		b.Run(fmt.Sprint(candidates, " candidates"), func(b *testing.B) {
			x := newTable(nil)
			for n := range maxChainLen {
				for i := range candidates {
					recordLosses(x, fmt.Sprint("/", i), newLoss(fmt.Sprint("t", n), 100*n+1, 100*n+100))
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				x.RecordLoss(at(1000+i), contentOf(fmt.Sprint("/", i%candidates)), newLoss(fmt.Sprint("u", i), 1000+i-10, 1000+i))
				i++
			}
		})
	}
}

// BenchmarkFullTable measures an instance's work with a full table, as after an outage: for a success of a
// target that lost a response, for repeated evidence, and for each removal of expired state.
func BenchmarkFullTable(b *testing.B) {
	x := newTable(nil)
	for n := range maxContents {
		x.RecordLoss(at(100), contentOf(fmt.Sprint("/", n)), newLoss(fmt.Sprint("t", n%100), 0, 100))
	}
	repeated := Evidence{Content: contentOf("/1").Fingerprint(), Losses: []Loss{newLoss("t1", 0, 100)}}
	for name, do := range map[string]func(){
		"success": func() { x.RecordAnswer(at(200), newLoss("t1", 0, 100).Process, at(50)) },
		"merge":   func() { x.Merge(at(200), repeated, "peer") },
		"tick": func() {
			x.lastCleanup = time.Time{}
			x.Tick(at(1000))
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				do()
			}
		})
	}
}
