package statesync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

// TestReadersConfirmOnlyWhatIsKnown guards against an instance that holds its state to be complete
// because a reader's is, though it does not have that yet.
func TestReadersConfirmOnlyWhatIsKnown(t *testing.T) {
	s := NewState(0, nil)
	s.applyDocument(documentOf(2), "test")
	s.applyBatch(Targets, Batch{Next: 5, Records: []Record{record(0, "a")}}, "test")
	_, position := s.Versions()
	now := time.Now()
	earlier := now.Add(-time.Second)
	ahead := registry.Position{Offset: position.Offset + 1}
	reader := mesh.Member{Zone: "a", Document: 3, Registry: ahead, DocumentsComplete: now, TargetsComplete: now}
	s.confirmByPeers(mesh.View{Zone: "a", Members: []mesh.Member{reader}})
	assert.Assert(t, s.CompleteAt(Documents).IsZero())
	assert.Assert(t, s.CompleteAt(Targets).IsZero())
	reader = mesh.Member{Zone: "a", Document: 2, Registry: position, DocumentsComplete: now, TargetsComplete: earlier}
	other := mesh.Member{Zone: "b", DocumentsComplete: now.Add(time.Hour), TargetsComplete: now.Add(time.Hour)}
	s.confirmByPeers(mesh.View{Zone: "a", Members: []mesh.Member{reader, other}})
	assert.Equal(t, s.CompleteAt(Documents), now)
	assert.Equal(t, s.CompleteAt(Targets), earlier)
}

// TestOldFailureIsNotTold guards against a failed call that is told in each heartbeat for as long as the
// process lives, and taken in and dropped by all at each tick.
func TestOldFailureIsNotTold(t *testing.T) {
	now := time.Now()
	recent := registry.Span{From: now.Add(-time.Second), Until: now.Add(-time.Millisecond)}
	old := registry.Span{From: recent.From.Add(-time.Hour), Until: recent.Until.Add(-time.Hour)}
	for _, tc := range []struct {
		failure registry.Span
		told    bool
	}{{recent, true}, {old, false}, {registry.Span{}, false}} {
		f := NewFollower(Options{State: NewState(0, nil)})
		f.lastFailure = tc.failure
		var p mesh.Packet
		f.Fill(&p)
		assert.Equal(t, p.LogFailure != nil, tc.told)
		v := mesh.View{At: now, Zone: "a", Members: []mesh.Member{{Zone: "a", LogFailure: tc.failure}}}
		assert.Equal(t, len(zoneFailures(v)) == 1, tc.told)
	}
}
