package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
)

// memoryContentStore is a ContentStore in memory that counts its calls.
type memoryContentStore struct {
	kept  map[quarantine.Fingerprint]quarantine.Evidence
	calls int
	err   error
}

func (s *memoryContentStore) Contents(context.Context) ([]quarantine.Evidence, error) {
	s.calls++
	var out []quarantine.Evidence
	for _, e := range s.kept {
		out = append(out, e)
	}
	return out, s.err
}

func (s *memoryContentStore) KeepContent(_ context.Context, e quarantine.Evidence) error {
	s.calls++
	if s.err == nil {
		s.kept[e.Content] = e
	}
	return s.err
}

func (s *memoryContentStore) ReleaseContent(_ context.Context, f quarantine.Fingerprint) error {
	s.calls++
	delete(s.kept, f)
	return s.err
}

// newContentSyncer returns the contentSyncer of an instance that reads the store while reads is set.
func newContentSyncer(s *memoryContentStore, epoch *registry.Epoch, reads *bool) *contentSyncer {
	return &contentSyncer{table: quarantine.New(logStandingChange), store: s, readEpoch: func() (registry.Epoch, bool) { return *epoch, *reads }, announce: func(time.Time, quarantine.Evidence) {}}
}

// TestStoreKeepsQuarantinedContents checks that quarantined contents are stored, loaded by new
// processes, restored into a store that lost them, and deleted once served or expired.
func TestStoreKeepsQuarantinedContents(t *testing.T) {
	s := &memoryContentStore{kept: make(map[quarantine.Fingerprint]quarantine.Evidence)}
	epoch, reads := registry.Epoch(1), true
	k := newContentSyncer(s, &epoch, &reads)
	now := time.Now()
	c := deadlyContent("GET", "/get/deadly")
	step := func(k *contentSyncer) {
		now = now.Add(contentSyncInterval)
		assert.NilError(t, k.syncOnce(t.Context(), now))
	}
	step(k)
	k.table.Merge(now, quarantine.Evidence{Content: c.Fingerprint(), Losses: lossesAt(now, "gone", time.Second, 3)}, "peer")
	step(k)
	assert.Equal(t, len(s.kept), 1)

	// Without changes the store is not called.
	calls := s.calls
	for range 20 {
		step(k)
	}
	assert.Equal(t, s.calls, calls)

	// A new reader loads the content; an instance that is not a reader does not.
	next := newContentSyncer(s, &epoch, &reads)
	step(next)
	assert.Equal(t, next.table.Standing(now.Add(time.Second), c), quarantine.Quarantined)
	no := false
	other := newContentSyncer(s, &epoch, &no)
	step(other)
	assert.Equal(t, other.table.Standing(now.Add(time.Second), c), quarantine.Unsuspected)

	// A store that was restored from a copy without the content gets it again.
	clear(s.kept)
	epoch++
	step(next)
	assert.Equal(t, len(s.kept), 1)

	// Contents that were served or have expired are deleted.
	next.table.RecordServed(now, c)
	step(next)
	assert.Equal(t, len(s.kept), 0)
	k.stored = nil
	s.kept[c.Fingerprint()] = quarantine.Evidence{Content: c.Fingerprint(), Losses: lossesAt(now, "gone", 2*quarantine.LossTTL, 3)}
	last := newContentSyncer(s, &epoch, &reads)
	step(last)
	last.table.Tick(now)
	step(last)
	assert.Equal(t, len(s.kept), 0)
}

// TestFailedStoreCallsAreRepeated checks that loading and writing are repeated after the store was
// unavailable.
func TestFailedStoreCallsAreRepeated(t *testing.T) {
	s := &memoryContentStore{kept: make(map[quarantine.Fingerprint]quarantine.Evidence), err: errors.New("unavailable")}
	epoch, reads := registry.Epoch(1), true
	k := newContentSyncer(s, &epoch, &reads)
	now := time.Now()
	assert.ErrorContains(t, k.syncOnce(t.Context(), now), "unavailable")
	s.err = nil
	assert.NilError(t, k.syncOnce(t.Context(), now))
	c := deadlyContent("GET", "/get/deadly")
	k.table.Merge(now, quarantine.Evidence{Content: c.Fingerprint(), Losses: lossesAt(now, "gone", time.Second, 3)}, "peer")
	s.err = errors.New("unavailable")
	assert.ErrorContains(t, k.syncOnce(t.Context(), now.Add(time.Second)), "unavailable")
	s.err = nil
	assert.NilError(t, k.syncOnce(t.Context(), now.Add(time.Second)))
	assert.Equal(t, len(s.kept), 1)
}
