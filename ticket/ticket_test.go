package ticket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

var (
	t0   = time.Unix(1000, 0)
	home = fleet.Holder{Instance: "10.0.0.1:80", Incarnation: 7}
	heir = fleet.Holder{Instance: "i2", Incarnation: 9}
	done = operation.NewCompleted(201, nil, []byte("booked"))
)

func issue(t *testing.T, tab *Table) ID {
	t.Helper()
	id, ok := tab.Issue(t0, "daugava", [RandomLen]byte{1}, time.Hour)
	assert.Assert(t, ok)
	return id
}

func TestParse(t *testing.T) {
	id := New("daugava", home, [RandomLen]byte{1, 2})
	got, err := Parse(id.String())
	assert.NilError(t, err)
	assert.Equal(t, got, id)
	for _, bad := range []string{"", "a.b.c", "a.b.x.00", id.String() + "0", "." + id.String()[8:] + "x"} {
		_, err := Parse(bad)
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

func TestRunsOnceAndReplays(t *testing.T) {
	tab := NewTable(Config{}, home)
	id := issue(t, tab)
	d, _ := tab.Begin(t0, id, "x")
	assert.Equal(t, d, Run)
	d, _ = tab.Begin(t0, id, "x")
	assert.Equal(t, d, Wait)
	d, _ = tab.Begin(t0, id, "y")
	assert.Equal(t, d, OtherBody)
	tab.Finish(t0, id, done)
	d, a := tab.Begin(t0, id, "x")
	assert.Equal(t, d, Replay)
	assert.Equal(t, string(a.Body), "booked")
}

// A ticket that was refused unrun stays not run: a repeat must not run it
// while an earlier caller still reads "not run".
func TestNotRunIsFinal(t *testing.T) {
	tab := NewTable(Config{}, home)
	id := issue(t, tab)
	_, _ = tab.Begin(t0, id, "x")
	tab.Finish(t0, id, operation.NewProblem(operation.Name{}, 503, fleet.NotRun, operation.UseNewKey, "", 0))
	d, a := tab.Begin(t0, id, "x")
	assert.Equal(t, d, Replay)
	assert.Equal(t, a.Outcome, fleet.NotRun)
}

func TestSealAndHeir(t *testing.T) {
	tab := NewTable(Config{}, home)
	used := issue(t, tab)
	flying, _ := tab.Issue(t0, "daugava", [RandomLen]byte{2}, time.Hour)
	unused, _ := tab.Issue(t0, "daugava", [RandomLen]byte{3}, time.Hour)
	_, _ = tab.Begin(t0, used, "x")
	tab.Finish(t0, used, done)
	_, _ = tab.Begin(t0, flying, "x")
	tab.Seal(t0, operation.NewProblem(operation.Name{}, 503, fleet.NotRun, operation.UseNewKey, "", 0))
	_, ok := tab.Issue(t0, "daugava", [RandomLen]byte{4}, time.Hour)
	assert.Assert(t, !ok)
	d, a := tab.Begin(t0, unused, "x")
	assert.Equal(t, d, Replay)
	assert.Equal(t, a.Outcome, fleet.NotRun)
	assert.Equal(t, tab.InFlight(), 1)
	tab.Finish(t0, flying, done)

	second := NewTable(Config{}, heir)
	second.Import(tab.Export())
	for _, id := range []ID{used, flying} {
		d, a = second.Begin(t0, id, "x")
		assert.Equal(t, d, Replay)
		assert.Equal(t, a.Outcome, fleet.Completed)
	}
	d, _ = second.Begin(t0, used, "y")
	assert.Equal(t, d, OtherBody)
	third := NewTable(Config{}, fleet.Holder{Instance: "i3"})
	third.Import(second.Export())
	d, _ = third.Begin(t0, unused, "x")
	assert.Equal(t, d, Replay)
}

func TestCapRefusesAndForgetsNothing(t *testing.T) {
	tab := NewTable(Config{MaxTickets: 1}, home)
	id := issue(t, tab)
	_, ok := tab.Issue(t0, "daugava", [RandomLen]byte{2}, time.Hour)
	assert.Assert(t, !ok)
	_, _ = tab.Begin(t0, id, "x")
	tab.Sweep(t0.Add(time.Hour))
	assert.Equal(t, tab.Len(), 1)
	tab.Finish(t0.Add(time.Hour), id, done)
	tab.Sweep(t0.Add(2 * time.Hour))
	assert.Equal(t, tab.Len(), 0)
}

func TestUnusedTicketExpires(t *testing.T) {
	tab := NewTable(Config{}, home)
	id := issue(t, tab)
	d, _ := tab.Begin(t0.Add(time.Hour), id, "x")
	assert.Equal(t, d, NoRecord)
}
