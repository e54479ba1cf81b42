package claim

import (
	"errors"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

var errLost = errors.New("reply lost")

// track is the state that a process keeps for an attempt.
type track struct {
	a        *Attempt
	arrived  int
	out      fleet.Outcome // to report; 0 while open
	until    time.Time     // end of the time in which "not run" may be reported; zero means always
	reported bool
	survey   *Survey
	runs     bool // dispatched and not finished
	ran      bool
}

type follower struct {
	key   operation.Key
	claim ID
}

// node is one process: a holder and a recorder.
type node struct {
	m          *model
	self       fleet.Holder
	table      *Table
	rec        *Recorder
	hist       *History
	end        logservice.Offset
	readAt     time.Time
	read       bool
	paused     bool
	announced  bool
	tracks     []*track
	waiting    map[*track]([]operation.Key)
	followers  []follower
	dones      map[Waiter]func(Reply)
	unresolved bool
}

func newNode(m *model, self fleet.Holder) *node {
	return &node{
		m: m, self: self, table: NewTable(TableConfig{}, self),
		rec:     NewRecorder(RecorderConfig{MaxPending: 64}, NewFold(logservice.Offset(m.first)), m.now),
		hist:    NewHistory(m.now, time.Minute, time.Hour),
		waiting: map[*track][]operation.Key{}, dones: map[Waiter]func(Reply){},
	}
}

func (n *node) track(a *Attempt) *track {
	for _, t := range n.tracks {
		if t.a == a {
			return t
		}
	}
	return nil
}

// act runs one action of the process; action is from 47 to 99.
func (n *node) act(action int) {
	m := n.m
	switch {
	case action < 54:
		if n.announced {
			n.arrive(operation.Key{Customer: "c", Name: string(rune('a' + m.pick(m.keys)))})
		} else {
			m.announce(n)
		}
	case action < 64:
		n.appendNext()
	case action < 74:
		n.readLog(1 + m.pick(6))
	case action < 76:
		n.hist.Observe(m.now, m.listed)
	case action < 77:
		n.checkpoint()
	case action < 79:
		n.presume(m.chance(20))
	case action < 80:
		n.end = max(n.end, n.rec.End())
	default:
		n.actAttempt(action)
	}
}

func (n *node) actAttempt(action int) {
	if len(n.followers) > 0 && action < 84 {
		n.poll(n.m.pick(len(n.followers)))
		return
	}
	if len(n.tracks) == 0 {
		return
	}
	t := n.tracks[n.m.pick(len(n.tracks))]
	switch {
	case action < 86:
		n.finish(t)
	case action < 89:
		n.abandon(t)
	case action < 92:
		n.conclude(t)
	case action < 97:
		n.respond(t)
	default:
		n.resubmit(t)
	}
}

// tick runs everything that is due, without faults.
func (n *node) tick() {
	n.appendNext()
	n.readLog(1000)
	n.presume(false)
	n.end = n.rec.End()
	for i := len(n.followers) - 1; i >= 0; i-- {
		n.poll(i)
	}
	for _, t := range append([]*track(nil), n.tracks...) {
		n.finish(t)
		n.conclude(t)
		n.respond(t)
		n.resubmit(t)
	}
}

func (n *node) arrive(key operation.Key) {
	m := n.m
	a, adm := n.table.Begin(m.now, Attempt{Key: key, Digest: "d", Base: n.end, Window: 24 * time.Hour})
	if adm == HeldOff || adm == Full {
		m.recordResponse(key, fleet.Unknown)
		return
	}
	if adm == Begun {
		t := &track{a: a, arrived: m.step}
		n.tracks = append(n.tracks, t)
		n.begin(t)
	}
	t := n.track(a)
	if t.reported {
		m.recordResponse(key, joinedOutcome(t.out))
		return
	}
	n.waiting[t] = append(n.waiting[t], key)
}

// joinedOutcome returns the outcome for a request that joins an attempt already
// reported: its withdrawal may be in flight, so "not run" must not be repeated.
func joinedOutcome(out fleet.Outcome) fleet.Outcome {
	if out == fleet.Completed {
		return out
	}
	return fleet.Unknown
}

func (n *node) begin(t *track) {
	if n.m.rules.dispatchEarly || n.m.rules.memoryOnly {
		n.table.Dispatch(t.a, Won)
		n.dispatched(t)
	}
	if !n.m.rules.memoryOnly {
		n.submit(t)
	}
}

func (n *node) submit(t *track) {
	n.table.Submitted(t.a)
	n.send(t.a.Entry(Claim), func(r Reply) { n.resolve(t, r) })
}

// send submits an entry to a random recorder; the reply arrives as a message.
func (n *node) send(e Entry, done func(Reply)) {
	m := n.m
	to := m.nodes[m.pick(len(m.nodes))]
	m.post(to.self, func(r *node) {
		if m.rules.ignoreBase {
			e.Base = 1 << 40
		}
		w, ok := r.rec.Submit(m.now, e)
		if !ok {
			return
		}
		r.dones[w] = func(rep Reply) {
			end := r.rec.End()
			m.post(n.self, func(x *node) {
				x.end = max(x.end, end)
				done(rep)
			})
		}
	})
}

func (n *node) resolve(t *track, r Reply) {
	if _, held := n.table.Find(t.a.ID, t.a.Key); !held {
		return
	}
	n.m.note("%s receives %s, op %s %s", t.a.ID, r.Verdict, r.Op.State, r.Op.Claim)
	switch n.table.Resolve(t.a, r.Verdict, r.Op) {
	case StepDispatch:
		n.dispatched(t)
	case StepNotRun:
		if t.out == 0 || t.out == fleet.NotRun {
			t.out = fleet.NotRun
			t.until = time.Time{}
		}
	case StepFollow:
		if r.Op.Claim != t.a.ID {
			n.followAll(t, r.Op.Claim)
		}
	case StepReplay:
		t.out = r.Op.State.Outcome()
		if t.out == fleet.NotRun {
			t.out = fleet.Unknown
		}
	case StepRepeat:
		t.out = fleet.Unknown
	}
}

func (n *node) dispatched(t *track) {
	t.runs = true
	if n.m.chance(15) {
		return
	}
	t.ran = true
	n.m.recordRun(t.a.Key, t.arrived)
}

func (n *node) finish(t *track) {
	if !t.runs {
		return
	}
	t.runs = false
	t.out = fleet.NotRun
	if t.ran {
		t.out = fleet.Completed
	}
	if n.m.chance(20) {
		t.out = fleet.Unknown
	}
	n.table.Finish(t.a, t.out, "t1", &operation.Answer{Status: 200})
}

// abandon gives an open attempt up and starts a survey.
func (n *node) abandon(t *track) {
	if t.out != 0 || t.survey != nil || !n.table.Abandon(t.a) {
		return
	}
	m := n.m
	t.survey = NewSurvey(m.now, t.a.ID, n.hist)
	t.survey.Add(n.answer(t.a.Key))
	m.note("%s starts survey at %s %v", t.a.ID, m.now, n.hist.All())
	n.ask(t)
}

func (n *node) ask(t *track) {
	for _, h := range t.survey.Unanswered() {
		n.m.post(h, func(x *node) {
			ans := x.answer(t.a.Key)
			n.m.note("%s queries %s at %s: live %v view %v", t.a.ID, x.self, n.m.now, ans.Live, ans.View)
			n.m.post(n.self, func(*node) { t.survey.Add(ans) })
		})
	}
}

func (n *node) answer(key operation.Key) SurveyAnswer {
	m := n.m
	op, _ := n.rec.Fold().Get(key)
	return SurveyAnswer{
		From: n.self, Live: n.table.Survey(m.now, key), View: n.hist.All(),
		Watched: n.hist.Watched(m.now), Claimants: n.rec.Claimants(key), End: n.end,
		Covered: n.rec.Fold().Covered() && n.read, Age: m.now.Sub(n.readAt),
		Next: n.rec.End(), Op: op,
	}
}

// conclude applies the result of a survey.
func (n *node) conclude(t *track) {
	if t.survey == nil || t.out != 0 {
		return
	}
	if len(t.survey.Unanswered()) > 0 && n.m.chance(60) {
		n.ask(t)
		return
	}
	if n.m.rules.ignoreSilent {
		for _, h := range t.survey.Unanswered() {
			t.survey.Add(SurveyAnswer{From: h})
		}
	}
	f := t.survey.Result(n.m.now, n.table.Config().NotRunTimeout)
	n.m.note("%s ends survey: %+v", t.a.ID, f)
	t.out = fleet.Unknown
	if f.NotRun {
		t.out = fleet.NotRun
		if !f.Fenced {
			t.until = t.survey.started.Add(n.table.Config().NotRunTimeout)
		}
	}
}

// respond sends the outcome to the callers that wait for an attempt.
func (n *node) respond(t *track) {
	if t.out == 0 {
		return
	}
	out := t.out
	if out == fleet.NotRun && !t.until.IsZero() && n.m.now.After(t.until) {
		out = fleet.Unknown
	}
	for _, key := range n.waiting[t] {
		n.m.recordResponse(key, out)
	}
	delete(n.waiting, t)
	t.reported = true
}

// resubmit submits the claim or outcome that has not been read back.
func (n *node) resubmit(t *track) {
	if _, held := n.table.Find(t.a.ID, t.a.Key); !held {
		if t.reported {
			n.forget(t)
		}
		return
	}
	e, ended := n.table.Outcome(t.a, 1024)
	early := n.m.rules.withdrawEarly && ended
	switch {
	case n.m.rules.memoryOnly:
	case ended && (t.reported || early || e.Kind != Withdraw):
		n.send(e, func(Reply) {
			n.table.Forget(t.a)
		})
	case t.a.State() == operation.Planned:
		n.submit(t)
	}
}

func (n *node) forget(t *track) {
	for i, x := range n.tracks {
		if x == t {
			n.tracks = append(n.tracks[:i], n.tracks[i+1:]...)
			return
		}
	}
}

func (n *node) followAll(t *track, claim ID) {
	for _, key := range n.waiting[t] {
		n.followers = append(n.followers, follower{key, claim})
	}
	delete(n.waiting, t)
	t.reported = true
}

// poll queries a recorder for the outcome of the claim that a caller follows.
func (n *node) poll(i int) {
	f := n.followers[i]
	r := n.m.nodes[n.m.pick(len(n.m.nodes))]
	if r.paused || !r.rec.Fold().Covered() {
		return
	}
	op, ok := r.rec.Fold().Get(f.key)
	if !ok || op.Claim == f.claim && !op.State.Final() || r.rec.End() < n.end {
		return
	}
	out := fleet.Unknown
	if op.State == operation.Completed {
		out = fleet.Completed
	}
	n.m.recordResponse(f.key, out)
	n.followers = append(n.followers[:i], n.followers[i+1:]...)
}
