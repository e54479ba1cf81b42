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
