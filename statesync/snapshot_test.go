package statesync

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/transfer"
)

// partsStore has a snapshot of two parts. Calls fail with the next of failures, if there is one that is not nil.
type partsStore struct {
	restorableStore
	failures []error
	// begun is the number of snapshots.
	begun int
}

// Snapshot implements Store.
func (s *partsStore) Snapshot(Stream) SnapshotReader {
	s.begun++
	return &partsReader{store: s}
}

// partsReader implements SnapshotReader.
type partsReader struct {
	store *partsStore
	read  int
}

// Next implements SnapshotReader.
func (r *partsReader) Next(context.Context) (part Batch, last bool, err error) {
	if len(r.store.failures) > 0 {
		err, r.store.failures = r.store.failures[0], r.store.failures[1:]
	}
	if err != nil {
		return Batch{}, false, err
	}
	r.read++
	return Batch{Next: 9, Epoch: 1, Records: []Record{record(8, []fleet.TargetID{"a", "b"}[r.read-1])}}, r.read == 2, nil
}

// TestSnapshotGoesOnAtFailedPart: each failed call ended the snapshot, which began anew at its first page; the
// more instances waited for a busy store, the less arrived.
func TestSnapshotGoesOnAtFailedPart(t *testing.T) {
	for name, c := range map[string]struct {
		failures []error
		begun    int
	}{
		"no failure":           {begun: 1},
		"two at the last part": {failures: []error{nil, errors.New("late"), errors.New("late"), nil}, begun: 1},
		"parts of two epochs":  {failures: []error{nil, ErrRestarted}, begun: 2},
		"too large":            {failures: []error{nil, transfer.ErrTooLarge}, begun: 2},
	} {
		store := &partsStore{restorableStore: restorableStore{epoch: 1, end: 9}, failures: c.failures}
		s := NewState(0, nil)
		f := NewFollower(Options{State: s, Store: store, Self: "10.0.0.1:1", Zone: "a", Peers: func() mesh.View { return view(0) }})
		settle(f)
		f.role.Reads = true
		for s.next(Targets).Offset == 0 {
			err := f.readSnapshot(t.Context(), Targets)
			assert.Assert(t, err == nil || len(store.failures) < len(c.failures), name)
		}
		assert.Equal(t, store.begun, c.begun, name)
		assert.Equal(t, s.Targets().Len(), 2, name)
	}
}
