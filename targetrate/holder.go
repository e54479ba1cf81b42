package targetrate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// holderTimeout is for how long a reported holder is valid.
	holderTimeout = 3 * time.Second
	// minDenial and maxDenial bound the time without requests to the holder after a denial. The
	// minimum keeps many instances from requesting scarce tokens all at once.
	minDenial = 20 * time.Millisecond
	maxDenial = 2 * time.Second
)

// Candidate is an instance that may become the holder of rates.
type Candidate struct {
	Addr string
	// Young marks a process that may not have heard of the other instances yet. It becomes a holder
	// only if all candidates are young.
	Young bool
}

// Holder returns the address of the instance among the candidates that holds the target's rate, or "" if
// there are none. The ranking differs between targets, so that the load of holding rates is spread.
func Holder(id fleet.TargetID, candidates []Candidate) string {
	best, bestRank := -1, uint64(0)
	for i, c := range candidates {
		rank := xxhash.Sum64String(string(id) + "/" + c.Addr)
		switch {
		case best < 0, candidates[best].Young && !c.Young:
		case c.Young && !candidates[best].Young, rank <= bestRank:
			continue
		}
		best, bestRank = i, rank
	}
	if best < 0 {
		return ""
	}
	return candidates[best].Addr
}

// Grant takes a token of a rate that this instance holds. If there is none, it returns the time after which
// one may be available. Targets without a rate need no token.
func (t *Table) Grant(now time.Time, id fleet.TargetID, urgent bool) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	if e == nil || e.Rate == 0 {
		return 0, true
	}
	return e.bucket.take(now, e.Rate, urgent)
}

// UpdateHeld updates which rates this instance holds. The bucket of a newly held rate is empty.
func (t *Table) UpdateHeld(now time.Time, holds func(fleet.TargetID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.targets {
		switch {
		case e.Rate == 0 || !holds(id):
			e.bucket = bucket{}
		case e.bucket.updatedAt.IsZero():
			e.bucket.updatedAt = now
		}
	}
}

// SetReportedHolder records the holder of a target's rate as reported by another instance.
func (t *Table) SetReportedHolder(now time.Time, id fleet.TargetID, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		e.holder, e.holderAt = holder, now
	}
}

// ReportedHolder returns the holder that was reported within holderTimeout, or "" if there is none.
func (t *Table) ReportedHolder(now time.Time, id fleet.TargetID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	if e == nil || now.Sub(e.holderAt) > holderTimeout {
		return ""
	}
	return e.holder
}

// Deny records that the holder had no token, and the time after which it may have one.
func (t *Table) Deny(now time.Time, id fleet.TargetID, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		e.deniedUntil = now.Add(min(max(wait, minDenial), maxDenial))
	}
}

// Denied reports whether a denial by the holder is still in effect.
func (t *Table) Denied(now time.Time, id fleet.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.targets[id]
	return e != nil && e.Rate > 0 && now.Before(e.deniedUntil)
}
