package statesync

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// maxDocumentsWait and maxTargetsWait limit the long-poll waits of reads; see longWait. With
	// lateResponseThreshold, maxTargetsWait is shorter than any outage in which entries expire (two
	// renewal intervals), so that no read spans such an outage unnoticed.
	maxDocumentsWait = 4 * time.Second
	maxTargetsWait   = 2 * time.Second
	// minLongWait limits the number of calls where changes must take effect very soon.
	minLongWait = 200 * time.Millisecond
	// changeReserve is the time left of that within which a change must take effect, once a read has
	// waited in vain: lateReadDelay, 100 ms for a new connection and a read, 300 ms until the next
	// heartbeat if the announcement to the other instances is lost, and 200 ms for their pulls.
	changeReserve = 900 * time.Millisecond
	// lateResponseThreshold is the delay past its wait from which a read counts as interrupted by
	// an outage. A slow store adds a few hundred milliseconds.
	lateResponseThreshold = time.Second
	// lateReadDelay is the time after its wait from which a read without a response is repeated on a
	// new connection: its own may have gone silent, which nothing else shows. A slow store adds a
	// few hundred milliseconds.
	lateReadDelay = 300 * time.Millisecond
	// probeWait is the wait of a read while the store is unavailable, short so that its return is
	// noticed soon.
	probeWait = 250 * time.Millisecond
	// firstWait is the wait of the first read of a new reader. Other instances take over too until
	// it has a result to report.
	firstWait = 50 * time.Millisecond
	// callTimeoutMargin is the time that a call may take beyond its wait until its response begins. A
	// slow store takes a few hundred milliseconds per response.
	callTimeoutMargin = 1200 * time.Millisecond
	// coalesceDelay is the pause after a read that returned changes, so that one call returns
	// several of them.
	coalesceDelay = 400 * time.Millisecond
	// urgentCoalesceDelay replaces it while targets whose entries vanished together register again:
	// all instances must know before their grace periods end.
	urgentCoalesceDelay = 100 * time.Millisecond
	// maxImmediateLatency is the response time below which the changes in a response were already
	// present when the read began.
	maxImmediateLatency = 100 * time.Millisecond
	// supersededReadTimeout is how long a read may still wait for changes that a peer already has.
	// A slow store may take this long to respond to its readers one after the other.
	supersededReadTimeout = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after an error; the actual pause is between half
	// of it and all of it. maxIntroBackoff replaces maxBackoff for the introduction, which is not
	// urgent.
	minBackoff      = 130 * time.Millisecond
	maxBackoff      = 930 * time.Millisecond
	maxIntroBackoff = 4 * maxBackoff
	// maxTakeoverBackoff replaces maxBackoff for instances that read in place of the zone's
	// readers.
	maxTakeoverBackoff = 4 * time.Second
)

// errStaleEpoch reports a response from before the store was restored: it was delayed, or came
// from a node of the store that has not seen the restore yet.
var errStaleEpoch = errors.New("store response belongs to an earlier epoch")

// errRestored cancels a read that waits for changes of an epoch that has ended.
var errRestored = errors.New("the store was restored from an older copy")

// handleRestore cancels the pending reads of the earlier epoch, which could hang for seconds on
// connections that the store has dropped silently, and signals restoreNotify.
func (f *Follower) handleRestore() {
	f.mu.Lock()
	pending := f.pendingReads
	f.mu.Unlock()
	for _, r := range pending {
		if r.cancel != nil {
			r.cancel(errRestored)
		}
	}
	signal(f.restoreNotify)
}

// pendingRead is a read that waits for changes.
type pendingRead struct {
	cancel context.CancelCauseFunc // nil if no read is pending
	// id distinguishes successive reads.
	id   int64
	from registry.Position
}

// errSuperseded cancels a read that waits for changes which a peer already has.
var errSuperseded = errors.New("peers already have changes that this read waits for")

// cancelSupersededReads cancels, after supersededReadTimeout, reads that still wait for changes
// already received from a peer: the store has dropped their connections.
func (f *Follower) cancelSupersededReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, r := range f.pendingReads {
		if r.cancel == nil || !f.opts.State.next(Stream(s)).After(r.from) {
			continue
		}
		time.AfterFunc(supersededReadTimeout, func() {
			if f.isPending(Stream(s), r.id) {
				eventlog.Error(eventlog.StoreCallFailed, errSuperseded, "call", "read", "stream", Stream(s).String(), "offset", r.from.Offset)
				r.cancel(errSuperseded)
			}
		})
	}
}

// isPending reports whether the stream's pending read is the one with the given id.
func (f *Follower) isPending(s Stream, id int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pendingReads[s].cancel != nil && f.pendingReads[s].id == id
}

// followStream reads one stream until ctx is done.
func (f *Follower) followStream(ctx context.Context, s Stream) {
	b := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	f.idleSince[s] = time.Now()
	for ctx.Err() == nil {
		if !f.updateRole() {
			f.loads[s] = nil
			f.awaitRoleCheck(ctx, s)
			f.idleSince[s] = time.Now()
			continue
		}
		changed, err := f.readOnce(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errAgain) {
			f.idleSince[s] = time.Now()
			continue
		}
		if errors.Is(err, errRestored) || errors.Is(err, errSuperseded) {
			// The store has dropped the read's connection, and may have dropped idle ones.
			f.opts.Store.CloseIdleConnections()
			f.setLate(s, false)
			f.idleSince[s] = time.Now()
			continue
		}
		f.recordResult(s, err)
		if err != nil {
			b.Max = f.backoffLimit()
			b.Pause(ctx)
			f.idleSince[s] = time.Now()
			continue
		}
		b.Reset()
		f.idleSince[s] = time.Now()
		if changed {
			wait.For(ctx, f.pauseAfterChanges(s))
		}
	}
}

// awaitRoleCheck waits until the stream's role is to be checked again.
func (f *Follower) awaitRoleCheck(ctx context.Context, s Stream) {
	select {
	case <-ctx.Done():
	case <-f.roleNotify[s]:
	case <-time.After(f.nextRoleCheck()):
	}
}

// pauseAfterChanges returns the pause after a read of the stream that returned changes.
func (f *Follower) pauseAfterChanges(s Stream) time.Duration {
	if s == Targets && f.opts.State.hasMassLapse() {
		return urgentCoalesceDelay
	}
	return coalesceDelay
}

// backoffLimit returns the upper bound of the backoff after an error.
func (f *Follower) backoffLimit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.decision.Reason == freshness.Ranked {
		return maxBackoff
	}
	return maxTakeoverBackoff
}

// readOnce makes one store call for the stream, or reads a snapshot and the changes after it. It reports whether
// there were changes and all of them were received, so that a pause lets further ones gather.
func (f *Follower) readOnce(ctx context.Context, s Stream) (changed bool, err error) {
	needsSnapshot := !f.hasState(s) || f.loads[s] != nil
	if needsSnapshot {
		if err := f.readSnapshot(ctx, s); err != nil {
			return false, err
		}
	}
	next := f.opts.State.next(s)
	b, err := f.readChanges(ctx, s, next)
	// The changes of a later epoch do not follow the known state.
	if errors.Is(err, ErrExpired) || b.Epoch > next.Epoch {
		f.beginSnapshot(s)
		if !needsSnapshot {
			err = errAgain
		}
		return false, err
	}
	if err != nil {
		return false, err
	}
	if b.earlierThan(next.Epoch) {
		return false, errStaleEpoch
	}
	answeredAt := time.Now()
	f.opts.State.applyBatch(s, b, "store")
	if b.More {
		return false, nil
	}
	f.opts.State.confirm(s, answeredAt)
	return len(b.Records) > 0, nil
}

// readChanges waits for changes from a position on. It returns errRestored if the store is found
// to be in a later epoch meanwhile, and errSuperseded if a peer's newer state replaced the read.
func (f *Follower) readChanges(ctx context.Context, s Stream, next registry.Position) (Batch, error) {
	pollWait := f.readWait(s)
	// A pause before the read is part of the time for which a change may have waited.
	remaining := max(min(pollWait, minLongWait), pollWait-time.Since(f.idleSince[s]))
	f.countCall()
	readCtx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	f.setPendingRead(s, next, cancelRead)
	defer f.setPendingRead(s, next, nil)
	start := time.Now()
	b, err := f.hedgedRead(readCtx, s, next.Offset, remaining)
	// The age of what a repetition returns is unknown: the store may have been unavailable until then.
	if time.Since(start) < maxImmediateLatency {
		b.MaxAge = time.Since(f.changesSince(s))
	}
	if cause := context.Cause(readCtx); err != nil && (errors.Is(cause, errRestored) || errors.Is(cause, errSuperseded)) {
		return Batch{}, cause
	}
	if s == Targets {
		f.recordAnswer(err, start, pollWait)
	}
	return b, err
}

// changesSince returns the time after which the store accepted the changes that a read returns at once:
// they are those that the state lacked before. If the store was unavailable meanwhile, they are taken
// to be as old as the time since which this instance does not read.
func (f *Follower) changesSince(s Stream) time.Time {
	return cmp.Or(f.opts.State.changesSince(s), f.idleSince[s])
}

// Unanswered returns the time since the store last answered a read of the stream; 0 if the instance
// is not a reader or has not read the stream yet.
func (f *Follower) Unanswered(s Stream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.role.Reads {
		return 0
	}
	return f.readings[s].Unanswered(time.Now())
}

// recordAnswer records whether a read of targets with the given wait was answered. A late response
// means that the store was unavailable meanwhile.
func (f *Follower) recordAnswer(err error, start time.Time, pollWait time.Duration) {
	now := time.Now()
	f.mu.Lock()
	if err != nil && !errors.Is(err, ErrExpired) {
		f.answeredSince = time.Time{}
		f.recordFailureLocked(registry.Span{From: start, Until: now})
		f.mu.Unlock()
		return
	}
	switch late := now.Sub(start) > pollWait+lateResponseThreshold; {
	case late:
		f.recordFailureLocked(registry.Span{From: start, Until: now})
		f.answeredSince = now
	case f.answeredSince.IsZero() && pollWait < f.opts.longWait(Targets):
		f.answeredSince = now
	case f.answeredSince.IsZero():
		f.answeredSince = start // the instance became a reader during this read
	}
	span := registry.Span{From: f.answeredSince, Until: now}
	f.mu.Unlock()
	f.opts.State.recordAnswered(span)
}

// recordFailureLocked records a span in which a read of targets had no answer in time. The caller holds f.mu.
func (f *Follower) recordFailureLocked(s registry.Span) {
	f.lastFailure = s
	f.opts.State.recordFailed(s)
}

// setPendingRead records the function that cancels the stream's read; cancel is nil once the read
// has ended.
func (f *Follower) setPendingRead(s Stream, from registry.Position, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingReads[s] = pendingRead{cancel: cancel, id: f.pendingReads[s].id + 1, from: from}
}

// hasState reports whether the instance has a state of the stream. One that was empty when its snapshot was read is
// read from its first record.
func (f *Follower) hasState(s Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotDone[s] || f.opts.State.next(s).Offset > 0
}

func (f *Follower) countCall() {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
}

// readWait returns the long-poll wait of the stream's next read.
func (f *Follower) readWait(s Stream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.readings[s].State() {
	case mesh.LogUnread, mesh.LogLoading:
		return firstWait
	case mesh.LogUnavailable:
		return probeWait
	}
	return f.opts.longWait(s)
}

// longWait returns the long-poll wait of the stream's reads while the store answers. If connections
// to the store go silent, changes are missed until a read has waited in vain, so the wait leaves
// changeReserve of the time within which a change must take effect.
func (o *Options) longWait(s Stream) time.Duration {
	limit, timeout := maxDocumentsWait, o.DocumentTimeout
	if s == Targets {
		limit, timeout = maxTargetsWait, o.RemovalTimeout
	}
	if timeout == 0 {
		return limit
	}
	return min(limit, max(minLongWait, timeout-changeReserve))
}

// recordResult records whether the store answered, and announces a change of this to the peers.
func (f *Follower) recordResult(s Stream, err error) {
	f.announceChange(func() { f.updateLogState(s, err) })
}

// setLate records whether the response to the stream's read is late, and announces a change of this to
// the peers: if it is so for all readers of the zone, another instance reads in their place. The
// response itself may take until the call fails.
func (f *Follower) setLate(s Stream, late bool) {
	f.announceChange(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.readings[s].SetLate(late)
	})
}

// announceChange makes a change, and announces it to the peers if it changes the state of the log.
func (f *Follower) announceChange(change func()) {
	before := f.LogState()
	change()
	if f.LogState() != before && f.opts.Announce != nil {
		f.opts.Announce()
	}
}

func (f *Follower) updateLogState(s Stream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.readings[s].Failed()
	} else {
		f.readings[s].Answered(time.Now())
	}
	storeLost := f.readings[Documents].State() == mesh.LogUnavailable || f.readings[Targets].State() == mesh.LogUnavailable
	switch {
	case storeLost && !f.storeLost:
		eventlog.Error(eventlog.StoreUnreachable, err, "stream", s.String())
	case !storeLost && f.storeLost:
		eventlog.Info(eventlog.StoreReachable, "stream", s.String())
	}
	f.storeLost = storeLost
}
