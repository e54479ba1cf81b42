package gateway

import (
	"context"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/statesync"
	"github.com/clementinereel/clementinereel/wait"
)

// ContentStore persists contents that may crash their targets, so that they outlive the loss of all
// instances.
type ContentStore interface {
	// Contents returns the stored contents, with times by the wall clock. Those whose quarantine had
	// settled are marked Upheld.
	Contents(ctx context.Context) ([]quarantine.Evidence, error)
	// KeepContent stores a content and ReleaseContent deletes it. Both are idempotent.
	KeepContent(ctx context.Context, e quarantine.Evidence) error
	ReleaseContent(ctx context.Context, f quarantine.Fingerprint) error
}

// Store is the part of the platform that an instance uses.
type Store interface {
	statesync.Store
	ContentStore
}

const (
	// contentSyncInterval is the time between synchronizations of the table with the store.
	contentSyncInterval = 250 * time.Millisecond
	// contentLoadInterval replaces contentSyncInterval in a process that has started less than
	// contentLoadPeriod ago and has not loaded the stored contents: until then requests that crash
	// targets pass.
	contentLoadInterval = 20 * time.Millisecond
	contentLoadPeriod   = 3 * time.Second
	// maxUnsettledStored is the number of stored contents from which on contents whose quarantine has
	// not settled are no longer added.
	maxUnsettledStored = 64
	// contentStoreTimeout bounds the store calls of one synchronization.
	contentStoreTimeout = 2 * time.Second
	// minContentStoreBackoff and maxContentStoreBackoff bound the pause after a failed call.
	minContentStoreBackoff, maxContentStoreBackoff = 500 * time.Millisecond, 8 * time.Second
)

// contentSyncer synchronizes the table of contents that may be at fault with the store: it loads the
// stored contents, announces them to the other instances, and then writes changes back. Only readers
// do so, the few instances of each zone that read the store; the others receive the contents from
// them.
type contentSyncer struct {
	table *quarantine.Table
	store ContentStore
	// readEpoch returns the epoch of the store, and false if the instance is not a reader at present.
	readEpoch func() (registry.Epoch, bool)
	// announce sends a content to the other instances.
	announce func(now time.Time, e quarantine.Evidence)
	// booted is when the process started.
	booted time.Time
	// stored has what the store holds of each content. It is valid if loaded, in the store epoch
	// loadedEpoch.
	stored      map[quarantine.Fingerprint]record
	loaded      bool
	loadedEpoch registry.Epoch
}

// record summarizes what the store holds of a content.
type record struct {
	settled bool
	losses  int
}

// recordOf returns the summary of stored evidence.
func recordOf(e *quarantine.Evidence) record { return record{settled: e.Upheld, losses: len(e.Losses)} }

// outdated reports whether the evidence has to replace what the store holds.
func (r record) outdated(e *quarantine.Evidence) bool {
	return r.settled != e.Upheld || !e.Upheld && r.losses < len(e.Losses)
}

// run synchronizes until ctx ends.
func (s *contentSyncer) run(ctx context.Context) {
	b := wait.Backoff{Min: minContentStoreBackoff, Max: maxContentStoreBackoff}
	for wait.For(ctx, s.interval(time.Now())) {
		if err := s.syncOnce(ctx, time.Now()); err != nil {
			eventlog.Error(eventlog.StoreCallFailed, err, "call", "contents")
			b.Pause(ctx)
			continue
		}
		b.Reset()
	}
}

// interval returns the time until the next synchronization.
func (s *contentSyncer) interval(now time.Time) time.Duration {
	if !s.loaded && now.Sub(s.booted) < contentLoadPeriod {
		return contentLoadInterval
	}
	return contentSyncInterval
}

// syncOnce loads the stored contents if necessary and writes changes back.
func (s *contentSyncer) syncOnce(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, contentStoreTimeout)
	defer cancel()
	epoch, isReader := s.readEpoch()
	if !isReader {
		s.loaded = false
		return nil
	}
	if !s.loaded || epoch != s.loadedEpoch {
		if err := s.load(ctx, now); err != nil {
			return err
		}
		s.loaded, s.loadedEpoch = true, epoch
	}
	return s.write(ctx, now)
}

// load applies and announces the stored contents.
func (s *contentSyncer) load(ctx context.Context, now time.Time) error {
	es, err := s.store.Contents(ctx)
	if err != nil {
		return err
	}
	s.stored = make(map[quarantine.Fingerprint]record, len(es))
	for _, e := range es {
		s.stored[e.Content] = recordOf(&e)
		e = toMonotonic(now, e)
		s.table.Merge(now, e, "store")
		s.announce(now, e)
	}
	return nil
}

// toMonotonic converts wall-clock times to monotonic ones, since the wall clock may jump later.
func toMonotonic(now time.Time, e quarantine.Evidence) quarantine.Evidence {
	for i, l := range e.Losses {
		took := l.Ended.Sub(l.Began)
		age := max(now.Round(0).Sub(l.Ended), 0)
		e.Losses[i].Ended = now.Add(-age)
		e.Losses[i].Began = e.Losses[i].Ended.Add(-took)
	}
	return e
}

// write stores what the store lacks and deletes contents that can no longer be at fault.
func (s *contentSyncer) write(ctx context.Context, now time.Time) error {
	for f, e := range s.table.Snapshot(now) {
		current, found := s.stored[f]
		if found && !current.outdated(&e) || !found && !e.Upheld && len(s.stored) >= maxUnsettledStored {
			continue
		}
		if err := s.store.KeepContent(ctx, e); err != nil {
			return err
		}
		s.stored[f] = recordOf(&e)
		eventlog.Info(eventlog.ContentPersisted, "content", f, "kept", true, "settled", e.Upheld, "targets", lossTargets(e), "age_ms", proofAge(now, e).Milliseconds())
	}
	for f := range s.stored {
		if s.table.MayBeAtFault(f) {
			continue
		}
		if err := s.store.ReleaseContent(ctx, f); err != nil {
			return err
		}
		delete(s.stored, f)
		eventlog.Info(eventlog.ContentPersisted, "content", f, "kept", false)
	}
	return nil
}
