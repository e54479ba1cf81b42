package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LossTTL is how long a loss counts against a content. A quarantine ends this long after the
	// losses that prove it, so a deadly content costs three targets per LossTTL.
	LossTTL = 30 * time.Minute
	// trialDelay is the time from a content's last loss to the next trial, multiplied by
	// trialGrowth for each failed trial. Trials release contents that were blamed for a service that crashed by
	// itself, such as popular requests that were always in flight. maxTrials limits the cost of a deadly content.
	trialDelay  = 2 * time.Minute
	trialGrowth = 8
	maxTrials   = 2
	// doubtedTrialDelay replaces trialDelay for a content that may be refused because of another one's
	// crashes. trialSpread staggers the trials of such contents, as one crash would fail all concurrent
	// trials. They wait until no process was lost for quietPeriod.
	doubtedTrialDelay = 2 * time.Second
	trialSpread       = 2 * time.Second
	quietPeriod       = time.Second
	// trialTimeout is how long the result of a trial is awaited.
	trialTimeout = 30 * time.Second
	// maxTransit bounds the error of times received from peers: times are sent as ages, which
	// do not include the time in transit.
	maxTransit = 250 * time.Millisecond
	// servedTTL is how long a success is stored, so that earlier losses that are received later
	// are ignored.
	servedTTL = 30 * time.Second
	// maxContents bounds the number of contents in the table. Beyond it the entry with the lowest standing,
	// and among these the least recently changed, of evictionSample random ones is evicted.
	maxContents    = 4096
	evictionSample = 8
	// cleanupInterval is the time between removals of expired state.
	cleanupInterval = time.Second
	// filterSlots is the size of the counting filter that recognizes requests that are not in the table
	// without computing their fingerprint.
	filterSlots = 1 << 14
	// maxHeartbeatLosses bounds the losses sent in one heartbeat.
	maxHeartbeatLosses = 12
)

// resendDelays are the delays after which evidence is sent again.
var resendDelays = []time.Duration{30 * time.Millisecond, 60 * time.Millisecond}

// ResendDelays returns the delays after which the instance sends the evidence again. Datagrams may be lost,
// and all instances should refuse a content within 100 ms of the proof, and serve it again once it was
// served. A single loss is sent once, as most are not caused by the request.
func (e *Evidence) ResendDelays() []time.Duration {
	if len(e.Losses) == 1 {
		return nil
	}
	return resendDelays
}

// Table holds an instance's evidence on contents that may crash their targets. It is safe for concurrent use.
type Table struct {
	report func(Change)

	// size is the number of contents, and filter counts them by
	// short hash modulo filterSlots.
	size   atomic.Int64
	filter [filterSlots]atomic.Int32

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// candidates are the contents with enough losses to be at fault.
	candidates map[*entry]struct{}
	// byProcess holds, for each process, the contents with a loss that a later response would refute.
	byProcess map[Process]map[*entry]struct{}
	// lastLoss is when a process last lost a response, whatever the content's standing is since.
	lastLoss   map[Process]time.Time
	attributed attributions
	// lastRepeated is the content that a heartbeat last included.
	lastRepeated Fingerprint
	// lastCleanup is when expired state was last removed.
	lastCleanup time.Time
}

// New returns an empty table that reports changes of standing.
func New(report func(Change)) *Table {
	return &Table{
		report: report, entries: make(map[Fingerprint]*entry), candidates: make(map[*entry]struct{}),
		byProcess: make(map[Process]map[*entry]struct{}), lastLoss: make(map[Process]time.Time),
	}
}

// Standing returns the standing of a request. For a content that is not in the table it takes no
// lock and does not allocate.
func (t *Table) Standing(now time.Time, c *Content) Standing {
	if !t.mayContain(c) {
		return Unsuspected
	}
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	switch {
	case e == nil:
		return Unsuspected
	case e.standing == Quarantined && !e.settled(now):
		return Restricted
	}
	return e.standing
}

// Proof returns the evidence for a content's quarantine and when the next trial is due or the quarantine ends.
// It returns false if the content is not quarantined.
func (t *Table) Proof(c *Content) (e Evidence, until time.Time, ok bool) {
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := t.entries[f]
	if stored == nil || stored.standing != Quarantined {
		return Evidence{}, time.Time{}, false
	}
	return stored.evidence(t.attributed), stored.until(), true
}

// AllowTrial reports whether a quarantined request may be sent to one target to check whether it still
// crashes it. Only one instance of the fleet calls it for a given content.
func (t *Table) AllowTrial(now time.Time, c *Content) bool {
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || !e.settled(now) {
		return false
	}
	due, ok := e.trialDue()
	if !ok || now.Before(due) || now.Before(e.trialDeadline) || e.trials > maxTrials {
		return false
	}
	if e.doubted && !t.quiet(now) && now.Before(due.Add(trialDelay)) {
		return false
	}
	e.trials++
	e.trialDeadline = now.Add(trialTimeout)
	return true
}

// quiet reports whether no process was lost within the quiet period.
func (t *Table) quiet(now time.Time) bool {
	for _, ended := range t.lastLoss {
		if now.Sub(ended) < quietPeriod {
			return false
		}
	}
	return true
}

// mayContain returns false only for a content that is not in the table.
func (t *Table) mayContain(c *Content) bool {
	return t.size.Load() > 0 && t.filter[c.shortHash()%filterSlots].Load() > 0
}

// RecordLoss records an attempt of this instance that lost its response, and returns the evidence to send to the
// other instances. It returns false if the loss is attributed to another content.
func (t *Table) RecordLoss(now time.Time, c *Content, l Loss) (Evidence, bool) {
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, f)
	t.recordProcessLoss(l)
	t.update(now, e, fromSelf, func() bool { return e.addLoss(l) })
	if !t.attributed.countsAgainst(f, l.Process) {
		return Evidence{}, false
	}
	out := e.evidence(t.attributed)
	if !slices.ContainsFunc(out.Losses, func(x Loss) bool { return x.Process == l.Process }) {
		out.Losses = append(out.Losses, l)
	}
	return out, true
}

// Sources of a change other than peers and targets: this instance, expiry and an operator.
const (
	fromSelf     = "self"
	fromTime     = "time"
	fromOperator = "operator"
)

// RecordServed records a success of this instance. It returns false if there is no evidence to send.
func (t *Table) RecordServed(now time.Time, c *Content) (Evidence, bool) {
	if !t.mayContain(c) {
		return Evidence{}, false
	}
	f := c.Fingerprint()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return Evidence{}, false
	}
	suspected := len(e.losses) > 0
	t.update(now, e, fromSelf, func() bool { return e.markServed(now) })
	if !suspected {
		return Evidence{}, false
	}
	return Evidence{Content: f, Served: now}, true
}

// RecordAnswer records that a process answered an attempt that began at the given time: it had not
// crashed before that.
func (t *Table) RecordAnswer(now time.Time, p Process, began time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byProcess[p]) == 0 {
		return
	}
	for _, e := range slices.SortedFunc(maps.Keys(t.byProcess[p]), byContent) {
		t.update(now, e, string(p.Target), func() bool { return e.refuteLoss(p, began) })
	}
}

// Merge merges evidence received from another instance.
func (t *Table) Merge(now time.Time, received Evidence, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[received.Content] == nil && len(received.Losses) == 0 {
		return
	}
	e := t.entry(now, received.Content)
	t.update(now, e, from, func() bool {
		changed := e.markServed(received.Served)
		for _, l := range received.Losses {
			t.recordProcessLoss(l)
			changed = e.addLoss(l) || changed
		}
		if received.Upheld && !e.upheld && e.isCandidate() {
			e.upheld, changed = true, true
		}
		return changed
	})
}

// HeartbeatEvidence returns the evidence to include in the next heartbeat: some of the restricted and
// quarantined contents, and of those that were until recently.
func (t *Table) HeartbeatEvidence() []Evidence {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var repeated []*entry
	for _, e := range t.entries {
		if e.standing >= Restricted || e.cleared() {
			repeated = append(repeated, e)
		}
	}
	slices.SortFunc(repeated, byContent)
	next, _ := slices.BinarySearchFunc(repeated, t.lastRepeated, func(e *entry, last Fingerprint) int {
		return cmp.Or(bytes.Compare(e.content[:], last[:]), -1) // round-robin
	})
	var out []Evidence
	losses := 0
	for _, e := range slices.Concat(repeated[next:], repeated[:next]) {
		evidence := e.evidence(t.attributed)
		if losses += max(len(evidence.Losses), 1); losses > maxHeartbeatLosses && len(out) > 0 {
			break
		}
		t.lastRepeated = e.content
		out = append(out, evidence)
	}
	return out
}

// Tick removes expired state.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastCleanup) < cleanupInterval {
		return
	}
	t.lastCleanup = now
	maps.DeleteFunc(t.lastLoss, func(_ Process, ended time.Time) bool { return now.Sub(ended) > processLossTTL })
	expired := func(l Loss) bool { return now.Sub(l.Ended) > LossTTL }
	for _, e := range t.entries {
		if len(e.losses) > 0 && expired(e.losses[0]) {
			t.update(now, e, fromTime, func() bool { return e.dropLosses(expired) })
		}
		if len(e.losses) == 0 && now.Sub(e.served) > servedTTL {
			t.remove(e)
		}
	}
}

// Snapshot returns the evidence to store across the loss of all instances: that on contents that may be at fault,
// quarantined or not. Without the losses of the latter, each would cost as many targets again.
func (t *Table) Snapshot(now time.Time) map[Fingerprint]Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Fingerprint]Evidence, len(t.candidates))
	for e := range t.candidates {
		evidence := e.evidence(nil)
		if e.settled(now) {
			evidence = e.evidence(t.attributed)
			evidence.Upheld = true
		}
		out[e.content] = evidence
	}
	return out
}

// MayBeAtFault reports whether a content has enough losses to be at fault.
func (t *Table) MayBeAtFault(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	return e != nil && e.isCandidate()
}

// Counts returns the number of contents by standing, without Unsuspected.
func (t *Table) Counts() map[Standing]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := map[Standing]int{Suspected: 0, Restricted: 0, Quarantined: 0}
	for _, e := range t.entries {
		if e.standing != Unsuspected {
			n[e.standing]++
		}
	}
	return n
}

// update applies a change to an entry and updates all standings that depend on it. The callback reports
// whether it changed anything.
func (t *Table) update(now time.Time, e *entry, from string, apply func() bool) {
	if !apply() {
		return
	}
	t.unindex(e)
	t.index(e)
	e.changedAt = now
	_, wasCandidate := t.candidates[e]
	if e.isCandidate() {
		t.candidates[e] = struct{}{}
	} else {
		delete(t.candidates, e)
	}
	if wasCandidate || e.isCandidate() {
		t.judge(now, from)
	}
	if !e.isCandidate() {
		e.doubted, e.upheld = false, false
		t.setStanding(now, e, e.provenStanding(t.attributed), from)
	}
}

// index adds an entry to the index by the processes of its losses.
func (t *Table) index(e *entry) {
	for _, l := range e.losses {
		at := t.byProcess[l.Process]
		if at == nil {
			at = make(map[*entry]struct{})
			t.byProcess[l.Process] = at
		}
		at[e] = struct{}{}
		e.indexedBy = append(e.indexedBy, l.Process)
	}
}

// unindex removes an entry from the index by process.
func (t *Table) unindex(e *entry) {
	for _, p := range e.indexedBy {
		delete(t.byProcess[p], e)
		if len(t.byProcess[p]) == 0 {
			delete(t.byProcess, p)
		}
	}
	e.indexedBy = e.indexedBy[:0]
}

// recordProcessLoss records when a process last lost a response.
func (t *Table) recordProcessLoss(l Loss) {
	if last, ok := t.lastLoss[l.Process]; (ok || len(t.lastLoss) < maxContents) && l.Ended.After(last) {
		t.lastLoss[l.Process] = l.Ended
	}
}

// entry returns the entry of a content, and creates it if needed.
func (t *Table) entry(now time.Time, f Fingerprint) *entry {
	if e := t.entries[f]; e != nil {
		return e
	}
	if len(t.entries) >= maxContents {
		t.evict()
	}
	e := &entry{content: f, changedAt: now}
	t.entries[f] = e
	t.size.Add(1)
	t.filter[f.shortHash()%filterSlots].Add(1)
	return e
}

// evict removes one content to make room for another.
func (t *Table) evict() {
	var victim *entry
	n := 0
	for _, e := range t.entries { // in random order
		if victim == nil || cmp.Or(cmp.Compare(e.standing, victim.standing), e.changedAt.Compare(victim.changedAt)) < 0 {
			victim = e
		}
		if n++; n == evictionSample {
			break
		}
	}
	t.remove(victim)
}

// remove deletes the entry of a content.
func (t *Table) remove(e *entry) {
	t.unindex(e)
	delete(t.candidates, e)
	delete(t.entries, e.content)
	t.size.Add(-1)
	t.filter[e.content.shortHash()%filterSlots].Add(-1)
}
