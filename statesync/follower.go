package statesync

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// readersPerZone is the number of instances per zone that read the store, and
	// singleZoneReaders the number if there is only one zone. Each store call has a cost, so few
	// instances read. Several are needed because a reader with a broken path notices only when its
	// read times out, while all instances must have a change within 2 s. A reader that its peers
	// do not hear from either is replaced within about 1 s.
	readersPerZone    = 2
	singleZoneReaders = 4
	// documentsWait is the long-poll wait of a read of documents. It limits how long a read hangs
	// on a connection that the store has dropped silently.
	documentsWait = 4 * time.Second
	// targetsWait is the long-poll wait of a read of targets. With lateResponseThreshold it is
	// shorter than any outage in which entries expire (two renewal intervals), so that no read
	// spans such an outage unnoticed.
	targetsWait = 2 * time.Second
	// lateResponseThreshold is the delay past its wait from which a read counts as interrupted by
	// an outage. A slow store adds a few hundred milliseconds.
	lateResponseThreshold = time.Second
	// probeWait is the wait of a read while the store is unavailable, short so that its return is
	// noticed soon.
	probeWait = 250 * time.Millisecond
	// firstWait is the wait of the first read of a new reader. Other instances take over too until
	// it has a result to report.
	firstWait = 50 * time.Millisecond
	// callTimeoutMargin is the time that a call may take beyond its wait. A slow store takes a few
	// hundred milliseconds per response.
	callTimeoutMargin = 1200 * time.Millisecond
	// coalesceDelay is the pause after a read that returned changes, so that one call returns
	// several of them.
	coalesceDelay = 400 * time.Millisecond
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
	// roleCheckInterval is how often an instance checks whether it is a reader.
	roleCheckInterval = 200 * time.Millisecond
	// takeoverDelayStep is the time that an instance leaves to each one ranked before it to take
	// over from readers that get no response. If the store rejects only these readers, one more
	// instance is enough, and each call has a cost.
	takeoverDelayStep = 150 * time.Millisecond
	// maxTakeoverReaders is the maximum number of instances of a zone that read in place of its
	// readers. If that many get no response, the store rejects all instances, and more would only
	// add calls.
	maxTakeoverReaders = 12
	// maxTakeoverBackoff replaces maxBackoff for instances that read in place of the zone's
	// readers.
	maxTakeoverBackoff = 4 * time.Second
)

// Options configures a Follower.
type Options struct {
	State *State
	Store Store
	// Peers returns the other instances.
	Peers func() mesh.View
	Self  string
	Zone  fleet.Zone
	// OnAddresses is called with instance addresses read from the store.
	OnAddresses func([]string)
	// Announce is called when the store becomes available or unavailable to this instance; it
	// reports that to the peers at once. It may be nil.
	Announce func()
}

// Follower keeps a State up to date.
type Follower struct {
	opts      Options
	puller    *puller
	started   time.Time
	peerAhead chan struct{}

	mu           sync.Mutex
	logStates    [streamCount]mesh.LogState
	snapshotDone [streamCount]bool
	storeLost    bool
	isReader     bool
	calls        int64
	// idleSince is, per stream, the time since which no read was in progress before the latest
	// one: a change made before it would have been in the preceding response. After an error it is
	// the start of the next read, since the state of the store during the error is unknown. Each
	// element is used only by the goroutine of its stream.
	idleSince [streamCount]time.Time
	// pendingReads holds the read of each stream that waits for changes.
	pendingReads [streamCount]pendingRead
	// restoreNotify is signaled when the store was restored, so that the instance announces itself
	// again.
	restoreNotify chan struct{}
	// answeredSince is the time since which all reads of targets were answered in time; zero if
	// the last one was not.
	answeredSince time.Time
	// unservedSince is the time since which no other instance of the zone reads the store
	// successfully.
	unservedSince time.Time
}

// NewFollower returns a follower that is started with Run.
func NewFollower(o Options) *Follower {
	f := &Follower{opts: o, puller: newPuller(), peerAhead: make(chan struct{}, 1), restoreNotify: make(chan struct{}, 1), started: time.Now()}
	if o.State != nil {
		o.State.OnRestore(f.handleRestore)
	}
	return f
}

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
	select {
	case f.restoreNotify <- struct{}{}:
	default:
	}
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

// Run follows the store and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for s := range streamCount {
		wg.Go(func() { f.followStream(ctx, s) })
	}
	wg.Go(func() { f.introduce(ctx) })
	wg.Go(func() { f.pullLoop(ctx) })
	wg.Wait()
}

// LogState returns the availability of the store's log as seen by this instance; it is unread if
// the instance is not a reader or has not read both streams yet.
func (f *Follower) LogState() mesh.LogState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isReader {
		return mesh.LogUnread
	}
	if f.logStates[Documents] == mesh.LogUnread || f.logStates[Targets] == mesh.LogUnread {
		return mesh.LogUnread
	}
	return max(f.logStates[Documents], f.logStates[Targets])
}

// Fill sets the fields of a packet that describe the instance's state and the store.
func (f *Follower) Fill(p *mesh.Packet) {
	version, position := f.opts.State.Versions()
	p.Document, p.Registry, p.Epoch = version, position.Offset, position.Epoch
	p.Log = f.LogState()
	p.LogAvailability = mesh.NewAgeSpan(time.Now(), f.opts.State.lastAnswered())
}

// Tick passes the store's availability to the state, as seen by all instances, and applies what
// expires by time.
func (f *Follower) Tick(now time.Time, v mesh.View) {
	f.opts.State.tick(now, storeStatus{unavailable: f.storeUnavailable(v), answeredSpans: peerAnsweredSpans(v)})
}

// peerAnsweredSpans returns the time spans in which the store's log answered other instances, as
// reported by them. Instances of the previous version report only that it answers now.
func peerAnsweredSpans(v mesh.View) []registry.Span {
	var spans []registry.Span
	for i := range v.Members {
		m := &v.Members[i]
		switch {
		case !m.LogAvailability.IsZero():
			spans = append(spans, m.LogAvailability)
		case m.Log == mesh.LogAvailable:
			spans = append(spans, registry.Span{From: m.LastReceived, Until: m.LastReceived})
		}
	}
	for i := range v.Zones {
		spans = append(spans, v.Zones[i].LogAvailability)
	}
	return spans
}

// Calls returns the number of calls made to the store.
func (f *Follower) Calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// storeUnavailable reports whether an instance gets no response from the store's log and none is
// known to get one.
func (f *Follower) storeUnavailable(v mesh.View) bool {
	own := f.LogState()
	if own == mesh.LogAvailable {
		return false
	}
	unavailable := own == mesh.LogUnavailable
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) {
			continue
		}
		switch m.Log {
		case mesh.LogAvailable:
			return false
		case mesh.LogUnavailable:
			unavailable = true
		}
	}
	for i := range v.Zones {
		if v.Zones[i].Log == mesh.LogAvailable && v.Zones[i].Fresh(v.At) {
			return false
		}
	}
	return unavailable
}

// NotifyAhead signals that a peer has newer state.
func (f *Follower) NotifyAhead() {
	select {
	case f.peerAhead <- struct{}{}:
	default:
	}
}

// updateRole updates and returns whether this instance reads the store now.
func (f *Follower) updateRole() bool {
	v := f.opts.Peers()
	var epoch registry.Epoch
	if f.opts.State != nil {
		epoch = f.opts.State.epoch()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	role := f.opts.isRankedReader(v) || f.shouldTakeOver(v, epoch)
	if role != f.isReader {
		eventlog.Info(eventlog.ReaderRole, "reads", role, "peers", len(v.Members))
		f.isReader = role
		// Results from an earlier period as a reader are outdated.
		f.logStates = [streamCount]mesh.LogState{}
		f.answeredSince = time.Time{}
	}
	return role
}

// shouldTakeOver reports whether the instance reads in place of its zone's readers. One that
// already does so continues until an instance ranked before it succeeds too; otherwise the two
// would yield to each other. Readers without the current epoch of the store do not count: they run
// the previous version, or have not seen the restore yet.
func (f *Follower) shouldTakeOver(v mesh.View, epoch registry.Epoch) bool {
	if f.opts.precedingInZone(v) >= readersPerZone+maxTakeoverReaders {
		return false
	}
	own := readerRank(f.opts.Self)
	yields := func(m *mesh.Member) bool {
		return m.Registry.Epoch >= epoch && (!f.isReader || readerRank(m.Addr) < own)
	}
	if zoneServed(v, yields) {
		f.unservedSince = time.Time{}
		return false
	}
	if f.unservedSince.IsZero() {
		f.unservedSince = v.At
	}
	return v.At.Sub(f.unservedSince) >= time.Duration(f.opts.takeoverPosition(v))*takeoverDelayStep
}

// awaitingPeers reports whether it is too early after the start to know which instances are
// readers. A snapshot is enough until then.
func (f *Follower) awaitingPeers(s Stream) bool {
	return time.Since(f.started) < introDelay && f.hasSnapshot(s)
}

// readerRank returns an instance's rank in the order by which the instances of a zone become
// readers, lowest first. It is the reverse of the order of bridges (instances that relay updates
// between zones): the links of bridges carry the most traffic, and all other instances wait for
// the readers.
func readerRank(addr string) uint64 { return ^mesh.Rank(addr) }

// isRankedReader reports whether the instance's rank makes it a reader of its zone.
func (o *Options) isRankedReader(v mesh.View) bool {
	if len(v.Zones) == 0 {
		return o.precedingInZone(v) < singleZoneReaders
	}
	return o.precedingInZone(v) < readersPerZone
}

// precedingInZone returns the number of instances of the zone ranked before this one.
func (o *Options) precedingInZone(v mesh.View) int {
	return o.countPreceding(v, func(*mesh.Member) bool { return true })
}

// takeoverPosition returns the number of instances of the zone ranked before this one that may
// still get responses from the store.
func (o *Options) takeoverPosition(v mesh.View) int {
	return o.countPreceding(v, func(m *mesh.Member) bool { return m.Log != mesh.LogUnavailable })
}

// countPreceding returns the number of instances of the zone ranked before this one for which
// counts returns true.
func (o *Options) countPreceding(v mesh.View, counts func(*mesh.Member) bool) int {
	own := readerRank(o.Self)
	n := 0
	for i := range v.Members {
		m := &v.Members[i]
		if m.Zone == o.Zone && !m.Leaving && v.Responsive(m) && readerRank(m.Addr) < own && counts(m) {
			n++
		}
	}
	return n
}

// zoneServed reports whether another instance of the zone for which counts returns true reads the
// store successfully.
func zoneServed(v mesh.View, counts func(*mesh.Member) bool) bool {
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == v.Zone && m.Log == mesh.LogAvailable && v.Responsive(m) && counts(m) {
			return true
		}
	}
	return false
}

// followStream reads one stream until ctx is done.
func (f *Follower) followStream(ctx context.Context, s Stream) {
	b := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	f.idleSince[s] = time.Now()
	for ctx.Err() == nil {
		if !f.updateRole() || f.awaitingPeers(s) {
			wait.For(ctx, roleCheckInterval)
			f.idleSince[s] = time.Now()
			continue
		}
		n, err := f.readOnce(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRestored) || errors.Is(err, errSuperseded) {
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
		if n > 0 {
			wait.For(ctx, coalesceDelay)
		}
	}
}

// backoffLimit returns the upper bound of the backoff after an error.
func (f *Follower) backoffLimit() time.Duration {
	if f.opts.isRankedReader(f.opts.Peers()) {
		return maxBackoff
	}
	return maxTakeoverBackoff
}

// readOnce makes one store call for the stream and returns the number of changes received.
func (f *Follower) readOnce(ctx context.Context, s Stream) (int, error) {
	next := f.opts.State.next(s)
	if next.Offset == 0 && !f.hasSnapshot(s) {
		return 0, f.readSnapshot(ctx, s)
	}
	began := time.Now()
	b, err := f.readChanges(ctx, s, next)
	if time.Since(began) < maxImmediateLatency {
		b.MaxAge = time.Since(f.idleSince[s])
	}
	// The changes of a later epoch do not follow the known state.
	if errors.Is(err, ErrExpired) || b.Epoch > next.Epoch {
		return 0, f.readSnapshot(ctx, s)
	}
	if err != nil {
		return 0, err
	}
	if b.earlierThan(next.Epoch) {
		return 0, errStaleEpoch
	}
	f.opts.State.applyBatch(s, b, "store")
	return len(b.Records), nil
}

// readChanges waits for changes from a position on. It returns errRestored if the store is found
// to be in a later epoch meanwhile, and errSuperseded if a peer's newer state replaced the read.
func (f *Follower) readChanges(ctx context.Context, s Stream, next registry.Position) (Batch, error) {
	pollWait := f.readWait(s)
	f.countCall()
	readCtx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	call, cancel := context.WithTimeout(readCtx, pollWait+callTimeoutMargin)
	defer cancel()
	f.setPendingRead(s, next, cancelRead)
	defer f.setPendingRead(s, next, nil)
	start := time.Now()
	b, err := f.opts.Store.Read(call, s, next.Offset, pollWait)
	if cause := context.Cause(readCtx); err != nil && (errors.Is(cause, errRestored) || errors.Is(cause, errSuperseded)) {
		return Batch{}, cause
	}
	if s == Targets {
		f.recordAnswer(err, start, pollWait)
	}
	return b, err
}

// recordAnswer records whether a read of targets with the given wait was answered. A late response
// means that the store was unavailable meanwhile.
func (f *Follower) recordAnswer(err error, start time.Time, pollWait time.Duration) {
	now := time.Now()
	f.mu.Lock()
	if err != nil && !errors.Is(err, ErrExpired) {
		f.answeredSince = time.Time{}
		f.mu.Unlock()
		return
	}
	switch late := now.Sub(start) > pollWait+lateResponseThreshold; {
	case late, f.answeredSince.IsZero() && pollWait < targetsWait:
		f.answeredSince = now
	case f.answeredSince.IsZero():
		f.answeredSince = start // the instance became a reader during this read
	}
	span := registry.Span{From: f.answeredSince, Until: now}
	f.mu.Unlock()
	f.opts.State.recordAnswered(span)
}

// setPendingRead records the function that cancels the stream's read; cancel is nil once the read
// has ended.
func (f *Follower) setPendingRead(s Stream, from registry.Position, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingReads[s] = pendingRead{cancel: cancel, id: f.pendingReads[s].id + 1, from: from}
}

func (f *Follower) readSnapshot(ctx context.Context, s Stream) error {
	f.countCall()
	call, cancel := context.WithTimeout(ctx, 2*callTimeoutMargin)
	defer cancel()
	b, err := f.opts.Store.Snapshot(call, s)
	if err != nil {
		return err
	}
	if b.earlierThan(f.opts.State.next(s).Epoch) {
		return errStaleEpoch
	}
	f.opts.State.applySnapshot(s, b, "store snapshot")
	f.mu.Lock()
	f.snapshotDone[s] = true
	f.mu.Unlock()
	return nil
}

// hasSnapshot reports whether a snapshot of the stream was read. A stream that is still empty is
// then read from its first record.
func (f *Follower) hasSnapshot(s Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotDone[s]
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
	switch f.logStates[s] {
	case mesh.LogUnread:
		return firstWait
	case mesh.LogUnavailable:
		return probeWait
	}
	if s == Targets {
		return targetsWait
	}
	return documentsWait
}

// recordResult records whether the store answered, and announces a change of this to the peers.
func (f *Follower) recordResult(s Stream, err error) {
	before := f.LogState()
	f.updateLogState(s, err)
	if f.LogState() != before && f.opts.Announce != nil {
		f.opts.Announce()
	}
}

func (f *Follower) updateLogState(s Stream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logStates[s] = mesh.LogAvailable
	if err != nil {
		f.logStates[s] = mesh.LogUnavailable
	}
	storeLost := f.logStates[Documents] == mesh.LogUnavailable || f.logStates[Targets] == mesh.LogUnavailable
	switch {
	case storeLost && !f.storeLost:
		eventlog.Error(eventlog.StoreUnreachable, err, "stream", s.String())
	case !storeLost && f.storeLost:
		eventlog.Info(eventlog.StoreReachable, "stream", s.String())
	}
	f.storeLost = storeLost
}
