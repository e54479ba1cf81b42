package publication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

var epoch = time.Unix(1_800_000_000, 0).UTC()

func example(t testing.TB) *contract.Contract {
	data, err := os.ReadFile(filepath.Join("..", "examples", "daugava.json"))
	assert.NilError(t, err)
	c, err := contract.Decode(data)
	assert.NilError(t, err)
	return c
}

// stream is a log stream in memory.
type stream struct {
	t       testing.TB
	records []logservice.Record
}

func (l *stream) add(data []byte, err error) logservice.Record {
	assert.NilError(l.t, err)
	n := len(l.records)
	r := logservice.Record{Offset: logservice.Offset(n), Time: epoch.Add(time.Duration(n) * time.Second), Data: data}
	l.records = append(l.records, r)
	return r
}

func announce(id, addr string, state fleet.TargetState) Announcement {
	return Announcement{ID: fleet.TargetID(id), Service: "daugava/plan-uploads", Addr: addr, Zone: "riga-a", State: state}
}

func TestFirstRecordWithCurrentBaseWins(t *testing.T) {
	l, s, c := &stream{t: t}, NewState(), example(t)
	d := s.Apply(l.add(EncodeContract("a", NoRevision, c)))
	assert.Equal(t, d.Verdict, Accepted)
	d = s.Apply(l.add(EncodeContract("b", NoRevision, c)))
	assert.Equal(t, d.Verdict, Conflict)
	assert.Equal(t, d.CurrentID, "a")
	assert.Equal(t, d.Current, logservice.Offset(0))
	d = s.Apply(l.add(EncodeContract("c", 0, c)))
	assert.Equal(t, d.Verdict, Accepted)
	d = s.Apply(l.add(EncodeContract("d", 0, c)))
	assert.Equal(t, d.Verdict, Conflict)
	assert.Equal(t, d.CurrentID, "c")
	d = s.Apply(l.add(EncodeContract("c", 0, c)))
	assert.Equal(t, d.Verdict, Repeated)
	assert.Equal(t, s.View().Contracts["daugava"].PublicationID, "c")
}

func TestHostBelongsToOneCustomer(t *testing.T) {
	l, s, c := &stream{t: t}, NewState(), example(t)
	s.Apply(l.add(EncodeContract("a", NoRevision, c)))
	other := *c
	other.Customer = "other"
	d := s.Apply(l.add(EncodeContract("b", NoRevision, &other)))
	assert.Equal(t, d.Verdict, HostTaken)
	assert.Assert(t, strings.Contains(d.Message, "daugava"))
	moved := *c
	moved.Hosts = []string{"elsewhere.example"}
	assert.Equal(t, s.Apply(l.add(EncodeContract("c", 0, &moved))).Verdict, Accepted)
	assert.Equal(t, s.Apply(l.add(EncodeContract("d", NoRevision, &other))).Verdict, Accepted)
}

func TestSecondCopyOfARefusedPublicationIsRefused(t *testing.T) {
	l, s, c := &stream{t: t}, NewState(), example(t)
	s.Apply(l.add(EncodeContract("a", NoRevision, c)))
	other := *c
	other.Customer = "other"
	assert.Equal(t, s.Apply(l.add(EncodeContract("b", NoRevision, &other))).Verdict, HostTaken)
	moved := *c
	moved.Hosts = []string{"elsewhere.example"}
	assert.Equal(t, s.Apply(l.add(EncodeContract("c", 0, &moved))).Verdict, Accepted)
	packed, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(packed)
	assert.NilError(t, err)
	again := l.add(EncodeContract("b", NoRevision, &other))
	assert.Equal(t, s.Apply(again).Verdict, Repeated)
	assert.Equal(t, restored.Apply(again).Verdict, Repeated)
	for i := range maxRefusals {
		s.remember(Decision{Verdict: Invalid, ID: fmt.Sprint("other-", i)})
	}
	assert.Equal(t, len(s.refusals.byID), maxRefusals)
	assert.Equal(t, s.Apply(l.add(EncodeContract("b", NoRevision, &other))).Verdict, Accepted)
}

func TestTargetAnnouncements(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	s.Apply(l.add(EncodeContract("a", NoRevision, example(t))))
	unknown := announce("t1", "10.0.0.1:80", fleet.Joined)
	unknown.Service = "daugava/none"
	steps := []struct {
		base  logservice.Offset
		a     Announcement
		want  Verdict
		count int
	}{
		{NoRevision, unknown, UnknownService, 0},
		{NoRevision, announce("t1", "10.0.0.1", fleet.Joined), Invalid, 0},
		{NoRevision, announce("t1", "10.0.0.1:80", fleet.Leaving), WrongMove, 0},
		{NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined), Accepted, 1},
		{NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined), Conflict, 1},
		{4, announce("t1", "10.0.0.2:80", fleet.Leaving), WrongMove, 1},
		{4, announce("t1", "", 0), Invalid, 1},
		{4, announce("t1", "", fleet.Leaving), Accepted, 1},
		{8, announce("t1", "", fleet.Joined), Accepted, 1},
		{9, announce("t1", "", fleet.Stopped), Accepted, 0},
		{10, announce("t1", "", fleet.Joined), WrongMove, 0},
		{NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined), Conflict, 0},
	}
	for i, step := range steps {
		data, err := EncodeTarget(fmt.Sprint(i), step.base, step.a)
		d := s.Apply(l.add(bytes.Replace(data, []byte(`,"state":"target-state(0)"`), nil, 1), err))
		assert.Equal(t, d.Verdict, step.want, "step %d: %s", i, d.Message)
		assert.Equal(t, len(s.View().Targets["daugava/plan-uploads"]), step.count, "step %d", i)
	}
}

func TestStoppedTargetIsForgottenByTheLogsClock(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	s.Apply(l.add(EncodeContract("a", NoRevision, example(t))))
	s.Apply(l.add(EncodeTarget("b", NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined))))
	s.Apply(l.add(EncodeTarget("c", 1, announce("t1", "", fleet.Stopped))))
	late := l.add([]byte("later"), nil)
	late.Time = late.Time.Add(TombstoneAge)
	s.Apply(late)
	assert.Equal(t, len(s.targets), 0)
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	for _, data := range []string{"", "{}", "null", "[]", "\x00", `{"kind":"contract","id":"a"}`, `{"kind":"target","id":"a","target":null}`,
		`{"kind":"new","id":"a"}`, `{"kind":"contract","id":"","base":-1,"contract":{}}`, `{"kind":"target","id":"a","target":{"state":"gone"}}`} {
		d := s.Apply(l.add([]byte(data), nil))
		assert.Equal(t, d.Verdict, Malformed, data)
		assert.Assert(t, d.Skipped() && d.Applied() && !d.Changed())
	}
	assert.Equal(t, s.Apply(l.add([]byte(`{"kind":"contract","id":"a","base":-1,"contract":{}}`), nil)).Verdict, Invalid)
	assert.Equal(t, s.Next(), logservice.Offset(len(l.records)))
}

func TestOffsetsOnlyGoUp(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	r := l.add(EncodeContract("a", NoRevision, example(t)))
	assert.Equal(t, s.Apply(logservice.Record{Offset: 1, Data: r.Data}).Verdict, Gap)
	s.Apply(r)
	assert.Equal(t, s.Apply(r).Verdict, Stale)
	assert.Equal(t, s.Next(), logservice.Offset(1))
}

func TestViewIsUnchangedByLaterRecords(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	s.Apply(l.add(EncodeContract("a", NoRevision, example(t))))
	before := s.View()
	s.Apply(l.add(EncodeContract("b", 0, example(t))))
	s.Apply(l.add(EncodeTarget("c", NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined))))
	assert.Equal(t, before.Contracts["daugava"].PublicationID, "a")
	assert.Equal(t, len(before.Targets), 0)
	assert.Equal(t, s.View().Contracts["daugava"].PublicationID, "b")
}

func TestCheckpointIsTheState(t *testing.T) {
	l, s := &stream{t: t}, NewState()
	s.Apply(l.add(EncodeContract("a", NoRevision, example(t))))
	for i := range 4000 {
		a := announce(fmt.Sprintf("t%d-%x", i, uint64(i)*0x9E3779B97F4A7C15), "10.0.0.1:80", fleet.Joined)
		s.Apply(l.add(EncodeTarget(fmt.Sprintf("p%x", uint64(i)*0xD1342543DE82EF95), NoRevision, a)))
	}
	parts, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	again, err := s.EncodeCheckpoint()
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(parts, again))
	var c Collector
	for i := len(parts) - 1; i >= 0; i-- {
		assert.Assert(t, c.Newest() == nil)
		assert.NilError(t, c.Add(l.add(parts[i], nil)))
	}
	restored := c.Newest()
	assertEqualStates(t, restored, s)
	next := l.records[s.Next()]
	assert.Equal(t, restored.Apply(next).Verdict, Checkpointed)
	assert.Equal(t, restored.Checkpoint().Time, next.Time)
	assert.Equal(t, s.Clone().Checkpoint(), CheckpointMark{})
}

func TestBrokenCheckpointIsRefused(t *testing.T) {
	bad := []Part{
		{Next: 0, Count: 1, Data: []byte("x")},
		{Next: 0, Count: 0},
		{Next: 0, Count: 1 << 60, Index: -1},
	}
	var c Collector
	for i, p := range bad {
		data, err := encode(Envelope{Kind: KindCheckpoint, Checkpoint: &p})
		assert.NilError(t, err)
		_ = c.Add(logservice.Record{Offset: logservice.Offset(i), Data: data})
		assert.Assert(t, c.Newest() == nil)
	}
	_, err := Restore([]byte("nothing"))
	assert.Assert(t, err != nil)
}

func assertEqualStates(t testing.TB, a, b *State) {
	t.Helper()
	x, err := a.Snapshot()
	assert.NilError(t, err)
	y, err := b.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, string(x) == string(y), "snapshots differ")
	assert.Assert(t, reflect.DeepEqual(a.View(), b.View()), "views differ")
}

func FuzzApply(f *testing.F) {
	doc, err := EncodeContract("a", NoRevision, example(f))
	assert.NilError(f, err)
	join, err := EncodeTarget("b", NoRevision, announce("t", "10.0.0.1:80", fleet.Joined))
	assert.NilError(f, err)
	s := NewState()
	s.Apply(logservice.Record{Data: doc, Time: epoch})
	parts, err := s.EncodeCheckpoint()
	assert.NilError(f, err)
	for _, data := range [][]byte{doc, join, parts[0]} {
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := NewState()
		var c Collector
		for i, data := range [][]byte{doc, first, second} {
			r := logservice.Record{Offset: logservice.Offset(i), Time: epoch, Data: data}
			d := s.Apply(r)
			assert.Assert(t, d.Applied())
			_ = c.Add(r)
		}
		packed, err := s.Snapshot()
		assert.NilError(t, err)
		restored, err := Restore(packed)
		assert.NilError(t, err)
		assertEqualStates(t, restored, s)
		_, err = json.Marshal(s.View())
		assert.NilError(t, err)
	})
}

func FuzzRestore(f *testing.F) {
	s := NewState()
	l := &stream{t: f}
	s.Apply(l.add(EncodeContract("a", NoRevision, example(f))))
	s.Apply(l.add(EncodeTarget("b", NoRevision, announce("t1", "10.0.0.1:80", fleet.Joined))))
	s.Apply(l.add(EncodeTarget("c", 1, announce("t1", "", fleet.Stopped))))
	s.Apply(l.add(EncodeContract("d", NoRevision, &contract.Contract{})))
	f.Add([]byte(canonical(f, s)))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := readState(json.NewDecoder(bytes.NewReader(data)))
		if err != nil {
			return
		}
		for range 2 {
			s.Apply(logservice.Record{Offset: s.Next(), Time: epoch.Add(2 * TombstoneAge), Data: []byte("rubbish")})
		}
		again, err := readState(json.NewDecoder(strings.NewReader(canonical(t, s))))
		assert.NilError(t, err)
		assert.Equal(t, canonical(t, again), canonical(t, s))
	})
}
