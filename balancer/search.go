package balancer

import "time"

// Search is the state of one request's search for a free slot. The zero value
// is ready to use.
//
// A try at a target that sheds costs one round trip and gives more current
// information than any shared load table. A request therefore goes on to a
// few other targets immediately (a sweep), then pauses until slots may have
// become free and starts a new sweep, until Config.SearchTimeout. Only a
// request that no target has run may be tried again; the caller must ensure
// this from the result of each try.
type Search struct {
	// Tried is the set of targets that the current sweep must not choose
	// again.
	Tried  Tried
	sweeps int
}

// Refused records that the target rejected the request without running it.
// waited is the total time that the request has waited for a slot. Refused
// returns the pause before the next Pick, or false when the search is over.
func (b *Balancer) Refused(s *Search, p Pick, waited time.Duration) (pause time.Duration, again bool) {
	s.Tried.Add(p.Target.ID)
	if s.Tried.Len() < b.cfg.SweepTries {
		return 0, true
	}
	return b.Exhausted(s, waited)
}

// Exhausted records that Pick found no target. It returns the pause before
// the next Pick, or false when the search is over.
func (b *Balancer) Exhausted(s *Search, waited time.Duration) (pause time.Duration, again bool) {
	pause = b.cfg.SweepPause
	if s.sweeps > 0 {
		pause *= 2
	}
	if waited+pause > b.cfg.SearchTimeout {
		return 0, false
	}
	s.sweeps++
	s.Tried = Tried{}
	return pause, true
}
