package publication

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// drawRecord adds a record to the stream: a revision, an announcement, a
// checkpoint of the fold so far, or rubbish, with a base that may be stale.
func drawRecord(t *rapid.T, l *stream, c *contract.Contract, folded *State) {
	n := len(l.records)
	id := fmt.Sprintf("p%d", rapid.IntRange(0, n).Draw(t, "id"))
	back := rapid.SampledFrom([]logservice.Offset{0, 0, 0, 1, 7}).Draw(t, "back")
	switch rapid.SampledFrom([]string{"contract", "other", "target", "target", "checkpoint", "rubbish"}).Draw(t, "kind") {
	case "contract":
		l.add(EncodeContract(id, folded.Revision(c.Customer)-back, c))
	case "other":
		other := *c
		other.Customer = "other"
		other.Hosts = rapid.SampledFrom([][]string{c.Hosts, {"other.example"}}).Draw(t, "hosts")
		l.add(EncodeContract(id, folded.Revision(other.Customer)-back, &other))
	case "target":
		a := announce(rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target"), "10.0.0.1:80",
			rapid.SampledFrom([]fleet.TargetState{fleet.Joined, fleet.Leaving, fleet.Stopped}).Draw(t, "state"))
		l.add(EncodeTarget(id, folded.TargetRevision(a.Service, a.ID)-back, a))
	case "checkpoint":
		parts, err := folded.EncodeCheckpoint()
		l.add(parts[0], err)
	default:
		l.add([]byte("rubbish"), nil)
	}
	folded.Apply(l.records[n])
}

// TestAnyInterleavingGivesTheSameState feeds replicas from a log that expires
// and from each other, in any order and with repeats, and checks that offsets
// only go up and that equal offsets mean equal states.
func TestAnyInterleavingGivesTheSameState(t *testing.T) {
	c, err := contract.Decode([]byte(`{"format":"clementinereel/contract/v1","customer":"daugava","hosts":["h"],
		"limits":{"rate_per_second":9},
		"services":[{"name":"plan-uploads","slots_per_target":2,"connections_per_target":3,"detection":{}}],
		"routes":[{"name":"r","path_prefix":"/","service":"plan-uploads","class":"upload","limits":{"rate_per_second":1},"deadline":"1s"}]}`))
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		l, folded := &stream{t: t}, NewState()
		want := []string{canonical(rt, folded)}
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			drawRecord(rt, l, c, folded)
			want = append(want, canonical(rt, folded))
		}
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			r := rapid.SampledFrom(replicas).Draw(rt, "replica")
			before := r.Next()
			drawStep(rt, l, r, rapid.SampledFrom(replicas).Draw(rt, "peer"))
			assert.Assert(rt, r.Next() >= before)
			assert.Equal(rt, canonical(rt, r.state), want[r.Next()])
		}
	})
}

func canonical(t assert.TestingT, s *State) string {
	var doc strings.Builder
	assert.NilError(t, s.write(&doc))
	return doc.String()
}

// drawStep lets a replica read a piece of the log, start from a checkpoint, or
// pull from a peer.
func drawStep(t *rapid.T, l *stream, r, peer *Replica) {
	from := rapid.IntRange(0, len(l.records)).Draw(t, "from")
	to := rapid.IntRange(from, len(l.records)).Draw(t, "to")
	switch rapid.SampledFrom([]string{"log", "checkpoint", "pull", "snapshot"}).Draw(t, "step") {
	case "log":
		r.Apply(l.records[from:to])
	case "checkpoint":
		var c Collector
		for _, rec := range l.records[from:to] {
			assert.NilError(t, c.Add(rec))
		}
		if s := c.Newest(); s != nil {
			_ = r.Adopt(s)
		}
	case "pull":
		if records, ok := peer.Since(r.Next()); ok {
			r.Apply(records)
		}
	case "snapshot":
		packed, err := peer.State().Snapshot()
		assert.NilError(t, err)
		s, err := Restore(packed)
		assert.NilError(t, err)
		_ = r.Adopt(s)
	}
}

func TestOldSnapshotIsIgnored(t *testing.T) {
	l, r := &stream{t: t}, NewReplica()
	l.add(EncodeContract("a", NoRevision, example(t)))
	r.Apply(l.records)
	old, err := r.State().Snapshot()
	assert.NilError(t, err)
	l.add(EncodeContract("b", 0, example(t)))
	r.Apply(l.records)
	s, err := Restore(old)
	assert.NilError(t, err)
	assert.ErrorIs(t, r.Adopt(s), ErrOld)
	assert.Equal(t, r.View().Contracts["daugava"].PublicationID, "b")
}

func TestAdoptKeepsUnchangedContracts(t *testing.T) {
	l, r, ahead := &stream{t: t}, NewReplica(), NewReplica()
	l.add(EncodeContract("a", NoRevision, example(t)))
	r.Apply(l.records)
	l.add([]byte("rubbish"), nil)
	ahead.Apply(l.records)
	packed, err := ahead.State().Snapshot()
	assert.NilError(t, err)
	s, err := Restore(packed)
	assert.NilError(t, err)
	before := r.View().Contracts["daugava"]
	assert.NilError(t, r.Adopt(s))
	assert.Assert(t, r.View().Contracts["daugava"] == before)
}

func TestHeldRecordsAreBounded(t *testing.T) {
	r := NewReplica()
	for i := range MaxHeld + 10 {
		r.Apply([]logservice.Record{{Offset: logservice.Offset(i), Time: epoch, Data: []byte("x")}})
	}
	assert.Equal(t, len(r.held), MaxHeld)
	_, ok := r.Since(0)
	assert.Assert(t, !ok)
	records, ok := r.Since(r.Next() - 3)
	assert.Assert(t, ok)
	assert.Equal(t, len(records), 3)
}
