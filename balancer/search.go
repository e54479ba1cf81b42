package balancer

import "time"

// Search is one request's search for a free slot. The zero value begins one.
//
// A target that sheds costs a round trip and tells more than any table: so a
// request goes on to a few other targets at once (a sweep), then pauses until
// slots may have come free, and begins a new sweep, for as long as its
// patience lasts. Only work that no target ran may go on; that is up to the
// caller, who knows the result of each try.
type Search struct {
	// Tried are the targets that the present sweep must not choose again.
	Tried  Tried
	sweeps int
}

// Refused notes that the target turned the request away unrun, after the
// request has waited for a slot for so long in all. It returns how long to
// pause before the next Pick, or false when the search is over.
func (b *Balancer) Refused(s *Search, p Pick, waited time.Duration) (pause time.Duration, again bool) {
	s.Tried.Add(p.Target.ID)
	if s.Tried.Len() < b.cfg.SweepTries {
		return 0, true
	}
	return b.Exhausted(s, waited)
}

// Exhausted notes that Pick found no target. It returns how long to pause
// before the next Pick, or false when the search is over.
func (b *Balancer) Exhausted(s *Search, waited time.Duration) (pause time.Duration, again bool) {
	pause = b.cfg.SweepPause
	if s.sweeps > 0 {
		pause *= 2
	}
	if waited+pause > b.cfg.Patience {
		return 0, false
	}
	s.sweeps++
	s.Tried = Tried{}
	return pause, true
}
