package claim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

func openTable(cfg TableConfig) *Table {
	tab := NewTable(cfg, hx)
	tab.Announced(t0.Add(-time.Hour))
	return tab
}

func begin(t *testing.T, tab *Table) *Attempt {
	t.Helper()
	a, adm := tab.Begin(t0, Attempt{Key: key, Digest: "d", Window: hour})
	assert.Equal(t, adm, Begun)
	return a
}

func TestDispatchAtMostOnceAndNotAfterAbandon(t *testing.T) {
	tab := openTable(TableConfig{})
	a := begin(t, tab)
	assert.Equal(t, tab.Resolve(a, Won, Op{}), StepDispatch)
	assert.Equal(t, tab.Resolve(a, Won, Op{}), StepFollow)
	assert.Assert(t, !tab.Abandon(a))

	tab = openTable(TableConfig{})
	a = begin(t, tab)
	assert.Assert(t, tab.Abandon(a))
	assert.Equal(t, tab.Resolve(a, Won, Op{}), StepNotRun)
	assert.Assert(t, a.Fenced())
}

func TestNewProcessHoldsOff(t *testing.T) {
	tab := NewTable(TableConfig{}, hx)
	_, adm := tab.Begin(t0, Attempt{Key: key})
	assert.Equal(t, adm, HeldOff)
	tab.Announced(t0)
	_, adm = tab.Begin(t0.Add(time.Second), Attempt{Key: key})
	assert.Equal(t, adm, HeldOff)
	_, adm = tab.Begin(t0.Add(6*time.Second), Attempt{Key: key})
	assert.Equal(t, adm, Begun)
}

func TestTableFullRefusesAndForgetsNothing(t *testing.T) {
	tab := openTable(TableConfig{MaxAttempts: 1, MaxHolds: 1})
	a := begin(t, tab)
	other := operation.Key{Customer: "daugava", Name: "quote-2"}
	_, adm := tab.Begin(t0, Attempt{Key: other})
	assert.Equal(t, adm, Full)
	tab.Forget(a)
	assert.Equal(t, tab.Len(), 1)
	assert.Assert(t, !tab.Survey(t0, other))
	assert.Assert(t, tab.Survey(t0, operation.Key{Name: "third"}), "no room to hold off: live")
}

func TestRecorderRetriesLostReplies(t *testing.T) {
	r := NewRecorder(RecorderConfig{}, NewFold(0), t0)
	w, ok := r.Submit(t0, claimOf(cx, 0))
	assert.Assert(t, ok)
	batch, _ := r.Next(t0)
	assert.Equal(t, batch, uint64(0), "claim lingers")
	now := t0.Add(5 * time.Millisecond)
	batch, entries := r.Next(now)
	assert.Equal(t, len(entries), 1)
	r.Appended(now, batch, errors.New("reply lost"))
	now = now.Add(time.Second)
	batch, entries = r.Next(now)
	assert.Equal(t, len(entries), 1, "appended again")
	r.Appended(now, batch, nil)
	for i := range 2 {
		r.Read(now, Record{Offset: r.End(), Time: t0, Entries: entries})
		assert.Equal(t, len(r.Replies()), 1-i)
	}
	assert.Equal(t, w, Waiter(1))
	assert.Equal(t, r.Len(), 0)
}

func TestRecorderRefusesAtItsBounds(t *testing.T) {
	r := NewRecorder(RecorderConfig{MaxPending: 4, MaxWait: time.Second}, NewFold(0), t0)
	submit := func(now time.Time, kind Kind, n int) bool {
		e := Entry{Kind: kind, Key: operation.Key{Name: fmt.Sprint(n)}, Claim: ID{Holder: hx, Seq: uint64(n)}}
		_, ok := r.Submit(now, e)
		return ok
	}
	assert.Assert(t, submit(t0, Claim, 1))
	assert.Assert(t, !submit(t0.Add(2*time.Second), Claim, 2), "log is stalled")
	assert.Assert(t, submit(t0, Claim, 2))
	assert.Assert(t, submit(t0, Claim, 3))
	assert.Assert(t, !submit(t0, Claim, 4))
	assert.Assert(t, submit(t0, Complete, 5), "outcomes have a reserve")
	assert.Assert(t, !submit(t0, Complete, 6))
	r = NewRecorder(RecorderConfig{MaxRecord: 500}, NewFold(0), t0)
	for n := range 3 {
		assert.Assert(t, submit(t0, Claim, n))
	}
	_, entries := r.Next(t0.Add(time.Second))
	assert.Equal(t, len(entries), 2, "record size is limited")
	r = NewRecorder(RecorderConfig{}, NewFold(7), t0)
	assert.Assert(t, !submit(t0, Claim, 1), "history not covered")
}

// A survey proves "not run" only if no required response is missing or outdated.
func TestSurvey(t *testing.T) {
	covered := SurveyAnswer{From: hy, Covered: true, Age: time.Minute, Next: 9, Watched: hour, End: 9}
	claimed := Op{Entry: claimOf(cy, 0), State: operation.Claimed}
	mine := Op{Entry: claimOf(cx, 0), State: operation.Claimed}
	with := func(change func(a *SurveyAnswer)) SurveyAnswer {
		a := covered
		change(&a)
		return a
	}
	for _, tc := range []struct {
		name    string
		answers []SurveyAnswer
		after   time.Duration
		notRun  bool
	}{
		{"no instance has an attempt", []SurveyAnswer{{From: hx}, covered}, 0, true},
		{"one does not respond", []SurveyAnswer{covered}, 0, false},
		{"one holds an attempt", []SurveyAnswer{{From: hx, Live: true}, covered}, 0, false},
		{"no recorder", []SurveyAnswer{{From: hx}, {From: hy}}, 0, false},
		{"recorder lags", []SurveyAnswer{{From: hx, End: 10}, covered}, 0, false},
		{"key is claimed", []SurveyAnswer{{From: hx}, with(func(a *SurveyAnswer) { a.Op = claimed })}, 0, false},
		{"own claim stands", []SurveyAnswer{with(func(a *SurveyAnswer) { a.Op = mine })}, hour, true},
		{"another process is named", []SurveyAnswer{{From: hx}, with(func(a *SurveyAnswer) { a.View = []fleet.Holder{hz} })}, 0, false},
		{"a claimant does not respond", []SurveyAnswer{{From: hx}, with(func(a *SurveyAnswer) { a.Claimants = []fleet.Holder{hz} })}, 0, false},
		{"view is too recent", []SurveyAnswer{{From: hx}, with(func(a *SurveyAnswer) { a.Watched = time.Second })}, 0, false},
		{"too late", []SurveyAnswer{{From: hx}, covered}, 2 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := NewHistory(t0, time.Minute, hour)
			h.Observe(t0, []fleet.Holder{hx, hy})
			s := NewSurvey(t0, cx, h)
			for _, a := range tc.answers {
				s.Add(a)
			}
			f := s.Result(t0.Add(tc.after), time.Second)
			assert.Equal(t, f.NotRun, tc.notRun, f.Doubt)
		})
	}
}

// A process counts as ended only a margin after an observed view without it.
func TestHistoryGone(t *testing.T) {
	h := NewHistory(t0, time.Minute, hour)
	h.Observe(t0, []fleet.Holder{hx, hy})
	assert.Assert(t, !h.EndedBefore(hy, t0.Add(hour)), "no view observed since")
	h.Observe(t0.Add(time.Minute), []fleet.Holder{hx})
	assert.Assert(t, !h.EndedBefore(hy, t0.Add(2*time.Minute)))
	assert.Assert(t, h.EndedBefore(hy, t0.Add(3*time.Minute)))
	next := fleet.Holder{Instance: "x", Incarnation: 2}
	h.Seen(next)
	assert.Assert(t, h.Superseded(t0, hx))
}
