package quarantine

import (
	"bytes"
	"iter"
	"math"
	"slices"
	"time"
)

// maxLosses bounds the losses stored per content.
const maxLosses = 32

// entry is the state of one content.
type entry struct {
	content Fingerprint
	// losses are sorted by end time.
	losses   []Loss
	served   time.Time
	standing Standing
	// indexedBy lists the processes under which the table indexes the entry.
	indexedBy []Process
	// standingSince is the time of the last change of standing.
	standingSince time.Time
	// upheld reports whether the quarantine had settled at instances that have since been lost.
	upheld bool
	// restricted reports whether the content ever was restricted or quarantined.
	restricted bool
	// doubted reports that the losses may be the fault of another content.
	doubted bool
	// trials counts the trials that this instance has started since the content was last served. No other
	// trial starts before trialDeadline.
	trials        int
	trialDeadline time.Time
	// changedAt is when the entry last changed.
	changedAt time.Time
}

// addLoss records a loss and reports whether that changed anything.
//
// Of several reports on one process, the earliest end and the shortest duration are kept. Both only
// decrease, so that repeated reports with slightly later times converge.
func (e *entry) addLoss(l Loss) bool {
	if !l.Ended.After(e.served) {
		return false
	}
	i := slices.IndexFunc(e.losses, func(x Loss) bool { return x.Process == l.Process })
	if i < 0 {
		if len(e.losses) == maxLosses {
			e.losses = e.losses[1:]
		}
		e.losses = append(e.losses, l)
		slices.SortStableFunc(e.losses, byEnd)
		return true
	}
	stored := &e.losses[i]
	before := *stored
	duration := min(stored.Ended.Sub(stored.Began), l.Ended.Sub(l.Began))
	if l.Ended.Before(stored.Ended) {
		stored.Ended = l.Ended
	}
	stored.Began = stored.Ended.Add(-duration)
	changed := *stored != before
	slices.SortStableFunc(e.losses, byEnd)
	return changed
}

// markServed records that the content was served, which drops all losses up to that time. It reports
// whether any were dropped.
func (e *entry) markServed(at time.Time) bool {
	if !at.After(e.served) {
		return false
	}
	e.served = at
	e.trials, e.trialDeadline = 0, time.Time{}
	return e.dropLosses(func(l Loss) bool { return !l.Ended.After(at) })
}

// dropLosses deletes the losses that match and reports whether there were any.
func (e *entry) dropLosses(match func(Loss) bool) bool {
	n := len(e.losses)
	e.losses = slices.DeleteFunc(e.losses, match)
	return len(e.losses) < n
}

// hasLossAt reports whether a response was lost at the process.
func (e *entry) hasLossAt(p Process) bool {
	return slices.ContainsFunc(e.losses, func(l Loss) bool { return l.Process == p })
}

// refuteLoss drops the loss at a process that answered an attempt begun after it: only the connection
// had failed. It reports whether there was such a loss.
func (e *entry) refuteLoss(p Process, began time.Time) bool {
	return e.dropLosses(func(l Loss) bool { return l.Process == p && began.After(l.Ended.Add(maxTransit)) })
}

// trialDue returns when the next trial of the content is due. It returns false once the content has as many
// late losses as trials are allowed; a failed trial is a late loss.
func (e *entry) trialDue() (time.Time, bool) {
	delay, limit := trialDelay, maxTrials
	for range e.failedTrials(trialDelay) {
		delay *= trialGrowth
	}
	if e.doubted {
		limit++
		if e.failedTrials(doubtedTrialDelay) == 0 {
			delay = doubtedTrialDelay + time.Duration(e.content[0])*trialSpread/math.MaxUint8
		}
	}
	last := e.losses[len(e.losses)-1]
	return last.Ended.Add(delay), len(e.lateLosses()) < limit
}

// until returns when the next trial is due or the quarantine ends.
func (e *entry) until() time.Time {
	until := e.losses[0].Ended.Add(LossTTL)
	if due, ok := e.trialDue(); ok && due.Before(until) {
		return due
	}
	return until
}

// failedTrials counts the late losses that came so long after any other that they must be failed trials.
func (e *entry) failedTrials(after time.Duration) int {
	n := 0
	for _, l := range e.lateLosses() {
		isolated := !slices.ContainsFunc(e.losses, func(other Loss) bool {
			return other != l && !other.Ended.After(l.Ended) && l.Ended.Sub(other.Ended) < after
		})
		if isolated {
			n++
		}
	}
	return n
}

// lateLosses returns the losses of attempts that began more than lateAfter after the third loss.
func (e *entry) lateLosses() []Loss {
	if len(e.losses) < int(Quarantined) {
		return nil
	}
	from := e.losses[Quarantined-1].Ended.Add(lateAfter)
	return slices.DeleteFunc(slices.Clone(e.losses[Quarantined:]), func(l Loss) bool { return !l.Began.After(from) })
}

func byContent(a, b *entry) int { return bytes.Compare(a.content[:], b.content[:]) }

func byEnd(a, b Loss) int { return a.Ended.Compare(b.Ended) }

// attributions maps each process that a quarantined content has crashed to that content.
// Other losses at the process do not count against other contents.
type attributions map[Process]Fingerprint

// attribute attributes to a content the losses that count against it.
func (a attributions) attribute(e *entry) {
	for _, l := range e.losses {
		if a.countsAgainst(e.content, l.Process) {
			a[l.Process] = e.content
		}
	}
}

// countsAgainst reports whether the loss at a process counts against a content.
func (a attributions) countsAgainst(f Fingerprint, p Process) bool {
	by, ok := a[p]
	return !ok || by == f
}

// chain yields the consecutive losses: each attempt began after the previous loss had ended. Simultaneous
// losses count once, since the outage of a whole service breaks many attempts with one content.
func (e *entry) chain(attr attributions) iter.Seq[Loss] {
	return func(yield func(Loss) bool) {
		var last time.Time
		for _, l := range e.losses {
			if l.Began.Before(last) || !attr.countsAgainst(e.content, l.Process) {
				continue
			}
			if !yield(l) {
				return
			}
			last = l.Ended
		}
	}
}

// chainLen returns the number of consecutive losses.
func (e *entry) chainLen(attr attributions) int {
	n := 0
	for range e.chain(attr) {
		n++
	}
	return n
}

// isCandidate reports whether the content has enough losses to be at fault.
func (e *entry) isCandidate() bool { return len(e.losses) >= int(Quarantined) }

// settled reports whether the content has been quarantined for long enough that exonerating evidence
// would have arrived.
func (e *entry) settled(now time.Time) bool {
	return e.standing == Quarantined && (e.upheld || now.Sub(e.standingSince) >= settlingTime)
}

// cleared reports whether the content was restricted and has since been served.
func (e *entry) cleared() bool { return e.restricted && len(e.losses) == 0 && !e.served.IsZero() }

// compareSettled orders contents by when their quarantine settled, those without a settled one last.
func (e *entry) compareSettled(now time.Time, other *entry) int {
	a, b := e.settled(now), other.settled(now)
	switch {
	case a && b:
		return e.standingSince.Compare(other.standingSince)
	case a:
		return -1
	case b:
		return 1
	}
	return 0
}

// atCostLimit reports whether the content has reached the limit from which it is refused despite
// exonerating evidence.
func (e *entry) atCostLimit(attr attributions) bool {
	return e.chainLen(attr) >= maxChainLen || e.hasFullChain() && len(e.lateLosses()) > 0
}

// unsharedLosses counts the losses at processes where no other content has a loss that has at least
// 1/rivalDivisor as many losses in total.
func (e *entry) unsharedLosses(at map[Process][]*entry) int {
	n := 0
	for _, l := range e.losses {
		shared := slices.ContainsFunc(at[l.Process], func(other *entry) bool {
			return other != e && rivalDivisor*len(other.losses) >= len(e.losses)
		})
		if !shared {
			n++
		}
	}
	return n
}

// hasFullChain reports whether the losses suffice for a quarantine if attributions are ignored.
func (e *entry) hasFullChain() bool { return e.chainLen(nil) >= int(Quarantined) }

// provenStanding returns the standing that follows from the losses.
func (e *entry) provenStanding(attr attributions) Standing {
	switch len(e.losses) {
	case 0:
		return Unsuspected
	case 1:
		if attr.countsAgainst(e.content, e.losses[0].Process) {
			return Suspected
		}
		return Unsuspected
	}
	return Standing(min(e.chainLen(attr), int(Quarantined)))
}

// countedLosses returns the number of losses that count against the content.
func (e *entry) countedLosses(attr attributions) int {
	n := 0
	for _, l := range e.losses {
		if attr.countsAgainst(e.content, l.Process) {
			n++
		}
	}
	return n
}

// maxSentLosses bounds the losses of one content that are sent to other instances. It exceeds what the
// proof needs, since an instance that has only some of them might attribute the rest to another content.
const maxSentLosses = 12

// evidence returns what is sent to other instances: the losses that prove the standing, then others that count
// against the content. For a doubted content it includes all losses, as its cost limit is based on all of them.
func (e *entry) evidence(attr attributions) Evidence {
	if e.doubted {
		attr = nil
	}
	out := Evidence{Content: e.content, Served: e.served, Losses: slices.Collect(e.chain(attr)), Upheld: e.upheld}
	for _, l := range e.losses {
		if attr.countsAgainst(e.content, l.Process) && !slices.Contains(out.Losses, l) {
			out.Losses = append(out.Losses, l)
		}
	}
	out.Losses = out.Losses[:min(len(out.Losses), maxSentLosses)]
	return out
}
