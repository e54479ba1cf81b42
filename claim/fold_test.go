package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

var (
	t0   = time.Unix(1_000_000, 0).UTC()
	hx   = fleet.Holder{Instance: "x", Incarnation: 1}
	hy   = fleet.Holder{Instance: "y", Incarnation: 1}
	hz   = fleet.Holder{Instance: "z", Incarnation: 1}
	key  = operation.Key{Customer: "daugava", Name: "quote-1"}
	cx   = ID{Holder: hx, Seq: 1}
	cy   = ID{Holder: hy, Seq: 1}
	hour = time.Hour
)

func claimOf(id ID, base logservice.Offset) Entry {
	return Entry{Kind: Claim, Key: key, Claim: id, Digest: "d", Base: base, Window: hour}
}

func about(kind Kind, id ID) Entry {
	return Entry{Kind: kind, Key: key, Claim: id, Digest: "d", Window: hour, Answer: answerFor(kind)}
}

func answerFor(kind Kind) *operation.Answer {
	if kind != Complete {
		return nil
	}
	a := operation.NewCompleted(201, nil, []byte("booked"))
	return &a
}

// apply applies entries, one record each, one second apart.
func apply(f *Fold, entries ...Entry) {
	for _, e := range entries {
		f.Apply(Record{Offset: f.Next(), Time: t0.Add(time.Duration(f.Next()) * time.Second), Entries: []Entry{e}})
	}
}

func TestFold(t *testing.T) {
	deny := about(Lose, cx)
	deny.Presumed = true
	for _, tc := range []struct {
		name    string
		entries []Entry
		winner  ID
		state   operation.State
	}{
		{"first wins", []Entry{claimOf(cx, 0), claimOf(cy, 0)}, cx, operation.Claimed},
		{"twice counts once", []Entry{claimOf(cx, 0), claimOf(cx, 0), claimOf(cy, 1)}, cx, operation.Claimed},
		{"withdrawal frees the key for later requests", []Entry{claimOf(cx, 0), about(Withdraw, cx), claimOf(cy, 2)}, cy, operation.Claimed},
		{"withdrawal defeats earlier requests", []Entry{claimOf(cx, 0), about(Withdraw, cx), claimOf(cy, 1)}, cx, operation.NotRun},
		{"withdrawal before its claim", []Entry{about(Withdraw, cx), claimOf(cx, 0)}, cx, operation.NotRun},
		{"late copy of a withdrawn claim", []Entry{claimOf(cx, 0), about(Withdraw, cx), claimOf(cy, 2), about(Withdraw, cy), claimOf(cx, 0)}, cy, operation.NotRun},
		{"completed stays", []Entry{claimOf(cx, 0), about(Complete, cx), about(Withdraw, cx), about(Lose, cx)}, cx, operation.Completed},
		{"loser's outcome is ignored", []Entry{claimOf(cx, 0), claimOf(cy, 0), about(Complete, cy), about(Withdraw, cy)}, cx, operation.Claimed},
		{"holder's report overrides presumption", []Entry{claimOf(cx, 0), deny, about(Complete, cx)}, cx, operation.Completed},
		{"holder's withdrawal overrides presumption", []Entry{claimOf(cx, 0), deny, about(Withdraw, cx)}, cx, operation.NotRun},
		{"holder's own unknown cannot be withdrawn", []Entry{claimOf(cx, 0), about(Lose, cx), about(Withdraw, cx)}, cx, operation.Unknown},
		{"settled once", []Entry{claimOf(cx, 0), deny, about(SettleNotRun, cx), about(SettleCompleted, cx)}, cx, operation.SettledNotRun},
		{"settled not run stays closed", []Entry{claimOf(cx, 0), deny, about(SettleNotRun, cx), claimOf(cy, 9)}, cx, operation.SettledNotRun},
		{"live claims are not settled", []Entry{claimOf(cx, 0), about(SettleNotRun, cx)}, cx, operation.Claimed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := NewFold(0)
			apply(f, tc.entries...)
			op, ok := f.Get(key)
			assert.Assert(t, ok)
			assert.Equal(t, op.Claim, tc.winner)
			assert.Equal(t, op.State, tc.state)
		})
	}
}

func TestContradictedSettlementIsListed(t *testing.T) {
	f := NewFold(0)
	apply(f, claimOf(cx, 0), about(Lose, cx), about(SettleNotRun, cx), about(Complete, cx))
	list := f.Unresolved("daugava")
	assert.Equal(t, len(list), 1)
	assert.Assert(t, list[0].Contradicted)
	assert.Equal(t, len(f.Unresolved("other")), 0)
}

// Decided keys are free again after their window; live and unknown ones never are.
func TestWindow(t *testing.T) {
	late := Record{Offset: 2, Time: t0.Add(2 * hour), Entries: []Entry{claimOf(cy, 0)}}
	for _, tc := range []struct {
		last   Entry
		winner ID
	}{{about(Complete, cx), cy}, {about(Lose, cx), cx}, {claimOf(cx, 0), cx}} {
		f := NewFold(0)
		apply(f, claimOf(cx, 0), tc.last)
		f.Apply(late)
		f.Sweep()
		op, _ := f.Get(key)
		assert.Equal(t, op.Claim, tc.winner)
	}
}

func TestSweepFreesMemory(t *testing.T) {
	f := NewFold(0)
	apply(f, claimOf(cx, 0), about(Complete, cx))
	other := claimOf(cy, 0)
	other.Key.Name = "quote-2"
	f.Apply(Record{Offset: 2, Time: t0.Add(2 * hour), Entries: []Entry{other}})
	f.Sweep()
	assert.Equal(t, f.Len(), 1)
	empty := NewFold(0)
	apply(empty, other)
	assert.Equal(t, f.Size(), empty.Size())
}

// A fold that starts after expired records stays uncovered until it has read
// all parts of a checkpoint that reaches back far enough.
func TestCheckpointCovers(t *testing.T) {
	complete := NewFold(0)
	second := claimOf(cy, 0)
	second.Key.Name = "quote-2"
	apply(complete, claimOf(cx, 0), second)
	parts := complete.Checkpoint("m", 1)
	assert.Equal(t, len(parts), 2)
	records := []Record{
		{Offset: 2, Time: t0, Entries: []Entry{about(Complete, cx)}},
		{Offset: 3, Time: t0, Checkpoint: &parts[0]},
		{Offset: 4, Time: t0, Entries: []Entry{about(Lose, ID{Holder: hy, Seq: 1})}},
		{Offset: 5, Time: t0, Checkpoint: &parts[1]},
	}
	f := NewFold(1)
	f.Apply(Record{Offset: 1, Time: t0, Entries: []Entry{second}})
	for i, r := range records {
		f.Apply(r)
		complete.Apply(r)
		assert.Equal(t, f.Covered(), i == 3)
	}
	for _, k := range []operation.Key{key, second.Key} {
		a, _ := f.Get(k)
		b, _ := complete.Get(k)
		assert.DeepEqual(t, a, b)
	}
	tooLate := NewFold(3)
	for _, r := range records[1:] {
		tooLate.Apply(r)
	}
	assert.Assert(t, !tooLate.Covered(), "record 2 is missing")
}

// After an adoption all folds have the same state, whatever they read before.
func TestAdoptionForgetsEverywhere(t *testing.T) {
	complete, fresh := NewFold(0), NewFold(1)
	apply(complete, claimOf(cx, 0), claimOf(cy, 0))
	adoption := Adoption("ilze", "log was purged")
	fresh.Apply(Record{Offset: 1, Time: t0, Entries: []Entry{claimOf(cy, 0)}})
	for _, f := range []*Fold{complete, fresh} {
		f.Apply(Record{Offset: 2, Time: t0, Checkpoint: &adoption})
		assert.Assert(t, f.Covered())
		_, ok := f.Get(key)
		assert.Assert(t, !ok)
	}
}

func TestCodec(t *testing.T) {
	e := about(Complete, cx)
	e.Service, e.Route, e.Target, e.Base = "daugava/quotes", "confirm", "t1", 7
	got, err := Decode(logservice.Record{Offset: 3, Time: t0, Data: Encode([]Entry{e, claimOf(cy, 1)})})
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Entries, []Entry{e, claimOf(cy, 1)})
	f := NewFold(0)
	apply(f, claimOf(cx, 0), about(Complete, cx))
	part := f.Checkpoint("m", 1<<20)[0]
	got, err = Decode(logservice.Record{Data: EncodePart(&part)})
	assert.NilError(t, err)
	assert.DeepEqual(t, *got.Checkpoint, part)
}
