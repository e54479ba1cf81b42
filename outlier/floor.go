package outlier

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minFullTargets returns how many joined targets must keep their full share.
func minFullTargets(percent, joined int) int {
	return (joined*percent + 99) / 100
}

// enforceFloor restores ejected targets until at least min(least, usable) usable
// targets have their full share, where usable are the joined targets that are
// neither draining nor warming up. A target that is ejected for other zones does
// not count as in full use. The order depends on the ejections alone, so that
// instances with the same ejections use the same targets: first those closest to
// their return, then those accused only by this instance or its zone, then the
// weakest accusations, then by hash.
func enforceFloor(entries []*entry, least int) {
	full := 0
	var aside []*entry
	for _, e := range entries {
		switch {
		case !e.usable():
		case e.weight >= 1 && !e.ejectedElsewhere:
			full++
		case e.weight >= 1:
		default:
			aside = append(aside, e)
		}
	}
	if full >= least {
		return
	}
	slices.SortFunc(aside, compareReturn)
	for _, e := range aside[:min(least-full, len(aside))] {
		e.weight = 1
		e.status.GivenBack = true
	}
}

// compareReturn orders excluded targets by the order in which they are restored.
func compareReturn(a, b *entry) int {
	for _, d := range []int{
		returnOrder(a) - returnOrder(b),
		int(a.status.Scope) - int(b.status.Scope),
		a.score - b.score,
	} {
		if d != 0 {
			return d
		}
	}
	ha, hb := xxhash.Sum64String(string(a.target.ID)), xxhash.Sum64String(string(b.target.ID))
	if ha != hb && ha < hb {
		return -1
	}
	if ha != hb {
		return 1
	}
	return 0
}

func returnOrder(e *entry) int {
	switch e.status.Phase {
	case Returning:
		return 0
	case Trial:
		return 1
	}
	return 2
}
