package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// SurveyAnswer is the response of one instance to a survey of a key.
type SurveyAnswer struct {
	From fleet.Holder
	// Live is set if the instance holds an attempt that ran or may still run.
	Live bool
	// View lists the processes that the instance tracks or tracked recently.
	View []fleet.Holder
	// Watched is how long the instance has kept its view.
	Watched time.Duration
	// Claimants are the holders whose claims for the key wait at this
	// instance to be appended or read back.
	Claimants []fleet.Holder
	// End is the end offset of the partition's stream seen by the instance.
	End logservice.Offset
	// Covered is set if the instance has read the whole history of the key,
	// up to Next, by a read that reached the end and began Age ago.
	Covered bool
	Age     time.Duration
	Next    logservice.Offset
	// Op is the key's state in that history; its State is 0 if there is none.
	Op Op
}

// Survey decides whether "not run" holds for a key while claims cannot be
// decided through the log. Anything not proved is unknown.
type Survey struct {
	started time.Time
	claim   ID
	history *History
	answers map[fleet.Holder]SurveyAnswer
	named   map[fleet.Holder]bool
	// required holds the processes that must respond even if they ended.
	required map[fleet.Holder]bool
	// reached holds the instances that responded, in any incarnation.
	reached map[fleet.InstanceID]bool
}

// NewSurvey starts a survey by the holder of a claim, which must have
// been abandoned before; a zero claim means none. The requester's own response
// is added like the others.
func NewSurvey(now time.Time, claim ID, h *History) *Survey {
	s := &Survey{
		started: now, claim: claim, history: h,
		answers: map[fleet.Holder]SurveyAnswer{},
		named:   map[fleet.Holder]bool{}, required: map[fleet.Holder]bool{},
		reached: map[fleet.InstanceID]bool{},
	}
	for _, m := range h.All() {
		s.named[m] = true
	}
	return s
}

// Add records a response.
func (s *Survey) Add(a SurveyAnswer) {
	s.answers[a.From] = a
	s.reached[a.From.Instance] = true
	for _, m := range a.View {
		s.named[m] = true
	}
	for _, m := range a.Claimants {
		s.named[m] = true
		s.required[m] = true
	}
}

// Unanswered returns the processes that were named and have not responded.
func (s *Survey) Unanswered() []fleet.Holder {
	var list []fleet.Holder
	for m := range s.named {
		_, ok := s.answers[m]
		// A zero incarnation means that only the instance is known.
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
	// Fenced is set if NotRun follows from the requester's own abandoned
	// claim in the log.
	Fenced bool
	// Op is the state of the key in the history, if any.
	Op Op
	// Doubt is the reason why NotRun is unset.
	Doubt string
}

// Result returns the survey's result. "Not run" may be reported only until
// notRunTimeout after the start.
func (s *Survey) Result(now time.Time, notRunTimeout time.Duration) Finding {
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
	if now.Sub(s.started) > notRunTimeout {
		return Finding{Doubt: "the survey took too long"}
	}
	return Finding{NotRun: true}
}

// doubt returns why the responses do not prove that nobody holds the key, or ""
// if they do.
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
	for _, m := range s.Unanswered() {
		if s.required[m] || !s.history.EndedBefore(m, since) {
			return "no answer from " + m.String()
		}
	}
	return ""
}

// coverage returns the response with the most recent history.
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

// History records which processes were in the instance's view and when they
// left it. A process may leave the view only when the platform no longer lists
// it; being unreachable is no reason. A new process must be in the view less
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
// ended a margin after it left the view, or when a later incarnation of its
// instance is seen. Processes are kept for keep after they left.
func NewHistory(now time.Time, margin, keep time.Duration) *History {
	return &History{
		margin: margin, keep: keep, began: now,
		left:   map[fleet.Holder]time.Time{},
		latest: map[fleet.InstanceID]fleet.Incarnation{},
	}
}

// Observe records the complete view as of now.
func (h *History) Observe(now time.Time, view []fleet.Holder) {
	present := map[fleet.Holder]bool{}
	for _, m := range view {
		present[m] = true
		h.Seen(m)
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

// Seen records a process that announced itself.
func (h *History) Seen(m fleet.Holder) {
	h.left[m] = time.Time{}
	h.latest[m.Instance] = max(h.latest[m.Instance], m.Incarnation)
}

// All returns the recorded processes.
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

// Present reports whether a process was in the latest observed view.
func (h *History) Present(m fleet.Holder) bool {
	at, ok := h.left[m]
	return ok && at.IsZero()
}

// Watched returns the period over which the history is complete.
func (h *History) Watched(now time.Time) time.Duration {
	return min(now.Sub(h.began), h.keep-h.margin)
}

// EndedBefore reports whether a process had certainly ended before t. It is false
// for a process that was never seen or never found absent.
func (h *History) EndedBefore(m fleet.Holder, t time.Time) bool {
	at, ok := h.left[m]
	return ok && !at.IsZero() && at.Add(h.margin).Before(t)
}

// Superseded reports whether a process has certainly ended: a later incarnation
// of its instance runs, or the platform stopped listing it a margin ago.
func (h *History) Superseded(now time.Time, m fleet.Holder) bool {
	return h.latest[m.Instance] > m.Incarnation || h.EndedBefore(m, now)
}
