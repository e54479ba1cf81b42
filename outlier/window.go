package outlier

import "time"

// slowWindow is the minimum time over which the evidence of slowness at one
// target counts as one try; a longer median latency of the service replaces it.
// A pause of the target, or one long request with others queued behind it, makes
// many tries slow at once; counted individually they would look like many
// independent failures.
const slowWindow = 250 * time.Millisecond

// slowWindows collects the evidence of slowness of one window.
type slowWindows struct {
	opened time.Time
	seen   []observation
	tally  tally
}

// add moves the evidence of slowness from the pending observations into the
// window.
func (w *slowWindows) add(now time.Time, pending []observation) {
	for i := range pending {
		t := pending[i].tallies[slowness]
		pending[i].tallies[slowness] = tally{}
		if t == (tally{}) {
			continue
		}
		if len(w.seen) == 0 {
			w.opened = now
		}
		w.tally = w.tally.plus(t)
		s := observation{source: pending[i].source}
		s.tallies[slowness] = t
		w.seen = append(w.seen, s)
	}
}

// close returns the window's evidence once the window is over: one bad try if
// most tries were slow, one good try otherwise, divided among its sources.
func (w *slowWindows) close(now time.Time, median time.Duration, to []observation) []observation {
	if len(w.seen) == 0 || now.Sub(w.opened) < max(slowWindow, median) {
		return to
	}
	slow := w.tally.bad > w.tally.good
	for _, s := range w.seen {
		t := s.tallies[slowness]
		if slow {
			t = tally{bad: t.bad / w.tally.bad}
		} else {
			t = tally{good: t.good / w.tally.good}
		}
		s.tallies[slowness] = t
		to = append(to, s)
	}
	w.clear()
	return to
}

func (w *slowWindows) clear() {
	w.seen = w.seen[:0]
	w.tally = tally{}
}
