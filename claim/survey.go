package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// SurveyAnswer is what one instance says of a key.
type SurveyAnswer struct {
	From fleet.Holder
	// Live is set if the instance holds an attempt that ran or may yet run.
	Live bool
	// View lists the processes that the instance knows, or knew of late.
	View []fleet.Holder
	// Watched is how long the instance has kept its view.
	Watched time.Duration
	// Claimants are the holders whose claims for the key wait here to be
	// appended or read back.
	Claimants []fleet.Holder
	// End is how far the instance knows that the partition's stream reaches.
	End logservice.Offset
	// Covered is set if the instance has read the whole history of the key,
	// up to Next, with a read that found the end and began Age ago.
	Covered bool
	Age     time.Duration
	Next    logservice.Offset
	// Op is what that history says; its State is 0 if nothing.
	Op Op
}

// Survey decides whether "not run" is true of a key while claims cannot be
// settled through the log. It is strict: what is not proved is unknown.
type Survey struct {
	started time.Time
	claim   ID
	history *History
	answers map[fleet.Holder]SurveyAnswer
	named   map[fleet.Holder]bool
	// bound holds the processes that must answer, gone or not.
	bound map[fleet.Holder]bool
	// reached holds the instances that answered, in any incarnation.
	reached map[fleet.InstanceID]bool
}

// NewSurvey starts a survey by the holder of a claim, which it must have
// abandoned before; a zero claim stands for none. The asking instance's own
// answer is added like the others'.
func NewSurvey(now time.Time, claim ID, h *History) *Survey {
	s := &Survey{
		started: now, claim: claim, history: h,
		answers: map[fleet.Holder]SurveyAnswer{},
		named:   map[fleet.Holder]bool{}, bound: map[fleet.Holder]bool{},
		reached: map[fleet.InstanceID]bool{},
	}
	for _, m := range h.All() {
		s.named[m] = true
	}
	return s
}

// Add takes an answer.
func (s *Survey) Add(a SurveyAnswer) {
	s.answers[a.From] = a
	s.reached[a.From.Instance] = true
	for _, m := range a.View {
		s.named[m] = true
	}
	for _, m := range a.Claimants {
		s.named[m] = true
		s.bound[m] = true
	}
}

// Ask returns the processes that have been named and have not answered.
func (s *Survey) Ask() []fleet.Holder {
	var list []fleet.Holder
	for m := range s.named {
		_, ok := s.answers[m]
		// A process of which only the instance is known, without incarnation.
		ok = ok || m.Incarnation == 0 && s.reached[m.Instance]
		if !ok {
			list = append(list, m)
		}
	}
	return sortHolders(list)
}

// Finding is the result of a survey.
type Finding struct {
	// NotRun is set if no attempt for the key ran or can run.
	NotRun bool
	// Fenced is set if that is so because the asker's own abandoned claim
	// stands in the log.
	Fenced bool
	// Op is what the history says of the key, if anything stands there.
	Op Op
	// Doubt says why NotRun is unset.
	Doubt string
}

// Find returns the survey's result at a time. Not run may be told only until
// tellWithin after the start.
func (s *Survey) Find(now time.Time, tellWithin time.Duration) Finding {
	best, ok := s.coverage()
	if !ok {
		return Finding{Doubt: "no recorder has read the key's history"}
	}
	if best.Op.State != 0 && s.claim != (ID{}) && best.Op.Claim == s.claim {
		return Finding{NotRun: true, Fenced: true, Op: best.Op}
	}
	if best.Op.State != 0 && best.Op.State != operation.NotRun {
		return Finding{Op: best.Op, Doubt: "the key has a claim"}
	}
	if doubt := s.doubt(best); doubt != "" {
		return Finding{Doubt: doubt}
	}
	if now.Sub(s.started) > tellWithin {
		return Finding{Doubt: "the survey took too long"}
	}
	return Finding{NotRun: true}
}

// doubt says what keeps the answers from proving that nobody holds the key.
func (s *Survey) doubt(best SurveyAnswer) string {
	watched := false
	for _, a := range s.answers {
		switch {
		case a.Live:
			return "an attempt is held at " + a.From.String()
		case a.End > best.Next:
			return "the recorders have not read the stream to its end"
		}
		watched = watched || a.Watched >= best.Age
	}
	if !watched {
		return "nobody has watched the instances for long enough"
	}
	since := s.started.Add(-best.Age)
	for _, m := range s.Ask() {
		if s.bound[m] || !s.history.GoneBefore(m, since) {
			return "no answer from " + m.String()
		}
	}
	return ""
}

// coverage returns the answer that has read the history farthest.
func (s *Survey) coverage() (SurveyAnswer, bool) {
	var best SurveyAnswer
	found := false
	for _, a := range s.answers {
		if !a.Covered {
			continue
		}
		farther := a.Next > best.Next || a.Next == best.Next && a.Age < best.Age
		if !found || farther {
			best = a
			found = true
		}
	}
	return best, found
}

// History remembers which processes were in the instance's view, and when they
// left it. A process may leave the view only when the platform no longer lists
// it; being out of reach is no reason. A new process must be in the view less
// than the margin after its start.
type History struct {
	margin time.Duration
	keep   time.Duration
	began  time.Time
	// left is when a process was first found absent; zero while present.
	left   map[fleet.Holder]time.Time
	latest map[fleet.InstanceID]fleet.Incarnation
}

// NewHistory returns an empty history that begins now. A process counts as
// gone a margin after it left the view, or when a later incarnation of its
// instance is seen. Processes are remembered for keep after they left.
func NewHistory(now time.Time, margin, keep time.Duration) *History {
	return &History{
		margin: margin, keep: keep, began: now,
		left:   map[fleet.Holder]time.Time{},
		latest: map[fleet.InstanceID]fleet.Incarnation{},
	}
}

// Observe takes the whole view as of now.
func (h *History) Observe(now time.Time, view []fleet.Holder) {
	present := map[fleet.Holder]bool{}
	for _, m := range view {
		present[m] = true
		h.Met(m)
	}
	for m, at := range h.left {
		switch {
		case present[m]:
		case at.IsZero():
			h.left[m] = now
		case now.Sub(at) > h.keep:
			delete(h.left, m)
		}
	}
}

// Met notes a process that made itself known.
func (h *History) Met(m fleet.Holder) {
	h.left[m] = time.Time{}
	h.latest[m.Instance] = max(h.latest[m.Instance], m.Incarnation)
}

// All returns the processes that are remembered.
func (h *History) All() []fleet.Holder {
	list := make([]fleet.Holder, 0, len(h.left))
	for m := range h.left {
		list = append(list, m)
	}
	return sortHolders(list)
}

func sortHolders(list []fleet.Holder) []fleet.Holder {
	slices.SortFunc(list, func(a, b fleet.Holder) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Latest returns the latest incarnation of an instance that was seen, or 0.
func (h *History) Latest(id fleet.InstanceID) fleet.Incarnation { return h.latest[id] }

// Present tells whether a process was in the view at the last look.
func (h *History) Present(m fleet.Holder) bool {
	at, ok := h.left[m]
	return ok && at.IsZero()
}

// Watched returns for how long the history is whole.
func (h *History) Watched(now time.Time) time.Duration {
	return min(now.Sub(h.began), h.keep-h.margin)
}

// GoneBefore tells whether a process certainly did nothing from a time on. One
// that was never seen, or was never found absent, is not gone.
func (h *History) GoneBefore(m fleet.Holder, t time.Time) bool {
	at, ok := h.left[m]
	return ok && !at.IsZero() && at.Add(h.margin).Before(t)
}

// Superseded tells whether a process has certainly ended: a later incarnation
// of its instance runs, or the platform stopped listing it a margin ago.
func (h *History) Superseded(now time.Time, m fleet.Holder) bool {
	return h.latest[m.Instance] > m.Incarnation || h.GoneBefore(m, now)
}
