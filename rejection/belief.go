package rejection

import (
	"math"
	"time"
)

const (
	// A belief begins with minRejections or more that are at least minShare of the attempts.
	minRejections = 8
	minShare      = 0.3
	// usualShare is the share that a service in good order may reject.
	usualShare = 0.03
	// minAssumedShare and maxAssumedShare bound the share against which an end is tested.
	minAssumedShare = 0.25
	maxAssumedShare = 0.9
	// endEvidence is the logarithm of the likelihood ratio, of usualShare to the assumed share, that ends a belief.
	// Against an assumed share of 0.5, 13 accepted attempts in a row reach it.
	endEvidence = 8.0
	// shareDelay is the number of newest slots that do not count for the assumed share: they may be from after the end.
	shareDelay = 4
	// beliefTimeout is the time without an attempt after which a belief ends.
	beliefTimeout = 2 * time.Second
)

// belief is whether the targets of a key reject widely.
type belief struct {
	rejecting bool
	// since is when the belief last changed, cut the time before which attempts do not count for the present one.
	since, cut time.Time
	// share is the assumed share of rejections while rejecting.
	share float64
	// heardAt is when attempts were last heard of.
	heardAt time.Time
}

// update takes the merged counts into account, which end at the given time. It reports whether the belief changed.
func (b *belief) update(now time.Time, merged *Report) bool {
	total := merged.total()
	if total.Attempts > 0 {
		b.heardAt = now
	}
	if !b.rejecting {
		return b.begin(now, merged)
	}
	b.assumeShare(merged)
	n, ended := b.endedBy(merged)
	if !ended && now.Sub(b.heardAt) < beliefTimeout {
		return false
	}
	b.rejecting, b.since = false, now
	b.cut = now.Add(-time.Duration(n) * SlotLength)
	return true
}

// begin begins the belief if the latest attempts, of one slot or of several, were rejected.
func (b *belief) begin(now time.Time, merged *Report) bool {
	if !isWide(merged) {
		return false
	}
	var latest Counts
	for i, c := range merged.Slots {
		latest.add(c)
		if latest.Rejections >= minRejections && latest.share() >= minShare {
			b.rejecting, b.since, b.share = true, now, clampShare(latest.share())
			b.cut = now.Add(-time.Duration(i+1) * SlotLength)
			return true
		}
	}
	return false
}

// isWide reports whether more than half of the targets that were tried rejected attempts.
func isWide(r *Report) bool { return 2*r.Rejecting.len() > r.Tried.len() }

func (b *belief) assumeShare(merged *Report) {
	var older Counts
	for _, c := range merged.Slots[shareDelay:] {
		older.add(c)
	}
	if older.Rejections >= minRejections {
		b.share = clampShare(older.share())
	}
}

func clampShare(share float64) float64 { return min(max(share, minAssumedShare), maxAssumedShare) }

// endedBy returns the index of the oldest slot after the end of the rejection, and whether it has ended.
func (b *belief) endedBy(merged *Report) (int, bool) {
	accepted := math.Log((1 - usualShare) / (1 - b.share))
	rejected := math.Log(usualShare / b.share)
	evidence := 0.0
	for i, c := range merged.Slots {
		evidence += float64(c.Attempts-c.Rejections)*accepted + float64(c.Rejections)*rejected
		if evidence >= endEvidence {
			return i, true
		}
	}
	return 0, false
}
