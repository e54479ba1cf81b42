package statesync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/transfer"
)

const (
	// firstPartTimeout is the time until the first byte of a snapshot, partTimeout that of its later parts, which
	// come over a connection that has just worked. They double with each failure up to maxPartTimeout: the
	// store may serve many one after the other, and who gives up loses its turn.
	firstPartTimeout = callTimeoutMargin
	partTimeout      = 2 * callTimeoutMargin
	maxPartTimeout   = 8 * callTimeoutMargin
	// snapshotLogInterval is the least time between two lines on the progress of a snapshot.
	snapshotLogInterval = 2 * time.Second
)

// errAgain reports that the stream has to be looked at anew at once: what was under way is not needed any more.
var errAgain = errors.New("the state has changed meanwhile")

// snapshotLoad is a snapshot while it is read. What has arrived is kept if a part fails.
type snapshotLoad struct {
	reader SnapshotReader
	batch  Batch
	parts  int
	// failures is the number of failures of the present part.
	failures int
	// from is the position of the state that the snapshot is to replace.
	from registry.Position
	// began is when the first part was asked for.
	began, loggedAt time.Time
}

// beginSnapshot starts a snapshot of the stream.
func (f *Follower) beginSnapshot(s Stream) *snapshotLoad {
	now := time.Now()
	f.loads[s] = &snapshotLoad{reader: f.opts.Store.Snapshot(s), from: f.opts.State.next(s), began: now, loggedAt: now}
	return f.loads[s]
}

// readSnapshot reads the parts of a snapshot that are left, and applies it. It returns errAgain if it is not needed
// any more.
func (f *Follower) readSnapshot(ctx context.Context, s Stream) error {
	load := f.loads[s]
	if load == nil {
		load = f.beginSnapshot(s)
	}
	for {
		last, err := f.readPart(ctx, s, load)
		if err != nil {
			return err
		}
		if last {
			break
		}
		f.announceChange(func() { f.recordLoading(s) })
		load.logProgress(s)
		if !f.updateRole() || f.opts.State.next(s) != load.from {
			f.loads[s] = nil
			return errAgain
		}
	}
	f.loads[s] = nil
	f.opts.State.applySnapshot(s, load.batch, "store snapshot")
	f.opts.State.confirm(s, load.began)
	if load.parts > 1 {
		eventlog.Info(eventlog.SnapshotRead, "stream", s.String(), "parts", load.parts, "records", len(load.batch.Records), "skipped", load.batch.Dropped,
			"offset", load.batch.Next, "took_ms", time.Since(load.began).Milliseconds())
	}
	f.mu.Lock()
	f.snapshotDone[s] = true
	f.mu.Unlock()
	return nil
}

// readPart reads the next part of a snapshot.
func (f *Follower) readPart(ctx context.Context, s Stream, load *snapshotLoad) (last bool, err error) {
	f.countCall()
	watch, ctx := transfer.NewWatch(ctx, load.timeout(), callTimeoutMargin)
	defer watch.Stop()
	b, last, err := load.reader.Next(ctx)
	if err == nil && b.earlierThan(f.opts.State.next(s).Epoch) {
		err = errStaleEpoch
	}
	if errors.Is(err, ErrRestarted) || errors.Is(err, errStaleEpoch) || errors.Is(err, transfer.ErrTooLarge) {
		f.loads[s] = nil // its next part would fail too
	}
	if err != nil {
		load.failures++
		return false, err
	}
	load.add(b)
	return last, nil
}

// timeout returns the time until the first byte of the next part.
func (l *snapshotLoad) timeout() time.Duration {
	timeout := partTimeout
	if l.parts == 0 {
		timeout = firstPartTimeout
	}
	for range l.failures {
		timeout = min(2*timeout, maxPartTimeout)
	}
	return timeout
}

// add adds a part.
func (l *snapshotLoad) add(b Batch) {
	l.parts++
	l.failures = 0
	b.Records = append(l.batch.Records, b.Records...)
	b.Dropped += l.batch.Dropped
	l.batch = b
}

// logProgress logs how far a snapshot is, not too often.
func (l *snapshotLoad) logProgress(s Stream) {
	now := time.Now()
	if now.Sub(l.loggedAt) < snapshotLogInterval {
		return
	}
	l.loggedAt = now
	eventlog.Info(eventlog.SnapshotProgress, "stream", s.String(), "parts", l.parts, "records", len(l.batch.Records), "skipped", l.batch.Dropped,
		"age_ms", now.Sub(l.began).Milliseconds())
}

// recordLoading records that a part of a snapshot has arrived.
func (f *Follower) recordLoading(s Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readings[s].Loading()
}
