package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Thresholds for the proof that a content crashes its targets.
const (
	// settlingTime is how long a proof must stand before requests are refused for it. Evidence on one
	// crash arrives from all instances that had attempts at the process, and the content at fault can only be
	// determined once all of it has arrived, including resent datagrams.
	settlingTime = 100 * time.Millisecond
	// requiredLead is how many more losses a content needs than another one with losses at the same
	// processes to be considered at fault, and requiredLeadSettled applies once its quarantine has
	// settled. Further crashes distinguish the two.
	requiredLead        = 2
	requiredLeadSettled = 1
	// rivalDivisor limits rivals: a content with less than 1/rivalDivisor of another's losses casts no doubt on it.
	rivalDivisor = 2
	// unrelatedWindow is how long before a content's first loss the losses at other processes still
	// count as exonerating: targets then crash or reset connections without the content too. Each of
	// them raises the number of losses that the proof requires by one.
	unrelatedWindow = 5 * time.Second
	// maxChainLen limits the cost of a content that has exonerating evidence: with this many consecutive
	// losses, or a late one, it is refused, and a trial follows soon.
	maxChainLen = 6
	// lateAfter is how long after the third loss further ones are late: all instances should have the proof by then.
	lateAfter = 3 * time.Second
	// processLossTTL is how long the last loss at a process is stored.
	processLossTTL = time.Minute
	// maxCandidates bounds the contents that are compared with each other.
	maxCandidates = 64
)

// judge determines the contents that crash their targets: the smallest set that explains the losses. It
// goes through the candidates in order: settled quarantines first, the oldest leading, then by number of losses.
// Losses of other contents at the same processes are considered coincidental. So requests that were in flight
// when a deadly one crashed the target are not blamed, and a blamed one is cleared once the deadly one is found.
//
// A settled quarantine is not lifted because another content may be at fault as well: several deadly
// contents would otherwise release each other. The content is marked as doubted instead, gets no losses attributed, and
// is retried soon. A content is also doubted if too few losses remain without the processes it shares with other candidates.
func (t *Table) judge(now time.Time, from string) {
	candidates := slices.SortedFunc(maps.Keys(t.candidates), func(a, b *entry) int {
		return cmp.Or(a.compareSettled(now, b), cmp.Compare(len(b.losses), len(a.losses)), byContent(a, b))
	})
	candidates, rest := candidates[:min(len(candidates), maxCandidates)], candidates[min(len(candidates), maxCandidates):]
	before := t.attributed
	t.attributed = make(attributions)
	at := groupByProcess(candidates)
	refused := make(map[*entry]bool)
	for _, e := range candidates {
		atFault := t.proven(now, e) && !t.contested(now, e, at)
		refused[e] = atFault || e.atCostLimit(t.attributed) || (e.settled(now) || e.upheld) && e.hasFullChain()
		e.doubted = !atFault || e.unsharedLosses(at) < int(Quarantined)
		if atFault {
			t.attributed.attribute(e)
		}
	}
	for _, e := range slices.Concat(candidates, rest) {
		s := Quarantined
		if !refused[e] {
			s = min(e.provenStanding(t.attributed), Restricted)
		}
		t.setStanding(now, e, s, from)
	}
	if maps.Equal(before, t.attributed) {
		return
	}
	for _, e := range t.entries {
		if !e.isCandidate() {
			t.setStanding(now, e, e.provenStanding(t.attributed), from)
		}
	}
}

// proven reports whether the content has too many consecutive losses for chance. Losses
// of other contents do not lift a settled quarantine.
func (t *Table) proven(now time.Time, e *entry) bool {
	n := e.chainLen(t.attributed)
	switch {
	case n < int(Quarantined):
		return false
	case n >= maxChainLen, e.settled(now):
		return true
	}
	return n >= int(Quarantined)+t.unrelatedLosses(e)
}

// unrelatedLosses counts the processes lost around the time of a content's losses that have neither a loss
// of the content nor one that is attributed to another content.
func (t *Table) unrelatedLosses(e *entry) int {
	var since time.Time
	for first := range e.chain(t.attributed) {
		since = first.Began.Add(-unrelatedWindow)
		break
	}
	n := 0
	for p, ended := range t.lastLoss {
		if !e.hasLossAt(p) && t.attributed.countsAgainst(e.content, p) && ended.After(since) {
			n++
		}
	}
	return n
}

// contested reports whether another content may be at fault instead: one with losses at the same
// processes and about as many.
func (t *Table) contested(now time.Time, e *entry, at map[Process][]*entry) bool {
	lead := requiredLead
	if e.settled(now) {
		lead = requiredLeadSettled
	}
	shared := make(map[*entry]int)
	for _, l := range e.losses {
		if !t.attributed.countsAgainst(e.content, l.Process) {
			continue
		}
		for _, other := range at[l.Process] {
			shared[other]++
		}
	}
	own := shared[e]
	for other, n := range shared {
		if other != e && n >= int(Quarantined) && other.countedLosses(t.attributed)+lead > own {
			return true
		}
	}
	return false
}

// groupByProcess returns the contents with a loss at each process.
func groupByProcess(candidates []*entry) map[Process][]*entry {
	at := make(map[Process][]*entry)
	for _, e := range candidates {
		for _, l := range e.losses {
			at[l.Process] = append(at[l.Process], e)
		}
	}
	return at
}

func (t *Table) setStanding(now time.Time, e *entry, s Standing, from string) {
	before := e.standing
	e.standing = s
	if s == before {
		return
	}
	e.standingSince = now
	e.restricted = e.restricted || s >= Restricted
	t.report(Change{Evidence: e.evidence(t.attributed), Before: before, Now: s, From: from})
}
