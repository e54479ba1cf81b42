package statesync

import (
	"context"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
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
	// DocumentTimeout and RemovalTimeout are the times within which a new document and the removal
	// of a target must take effect on all instances. They bound the waits of reads; 0 means that
	// only the longest waits do.
	DocumentTimeout, RemovalTimeout time.Duration
}

// Follower keeps a State up to date.
type Follower struct {
	opts      Options
	puller    *puller
	pullKinds []*pullKind
	// freshness are the instance's properties by which its role is decided.
	freshness freshness.Options

	mu sync.Mutex
	// role is what the instance remembers of its role, and decision the last one.
	role     freshness.State
	decision freshness.Decision
	// readings are what the reads of each stream have met since the instance became a reader.
	readings     [streamCount]freshness.Reading
	snapshotDone [streamCount]bool
	storeLost    bool
	calls        int64
	// idleSince is, per stream, the time since which no read was in progress before the latest
	// one: a change made before it would have been in the preceding response. After an error it is
	// the start of the next read, since the state of the store during the error is unknown. Each
	// element is used only by the goroutine of its stream.
	idleSince [streamCount]time.Time
	// pendingReads holds the read of each stream that waits for changes.
	pendingReads [streamCount]pendingRead
	// roleNotify is signaled, per stream, when the instance must check at once whether it is a reader.
	roleNotify [streamCount]chan struct{}
	// restoreNotify is signaled when the store was restored, so that the instance announces itself
	// again.
	restoreNotify chan struct{}
	// answeredSince is the time since which all reads of targets were answered in time; zero if
	// the last one was not.
	answeredSince time.Time
	// lastFailure is the latest span in which a read of targets had no answer in time.
	lastFailure registry.Span
	// loads holds the snapshot of each stream that is being read. Each element is used only by the
	// goroutine of its stream.
	loads [streamCount]*snapshotLoad
}

// NewFollower returns a follower that is started with Run.
func NewFollower(o Options) *Follower {
	f := &Follower{opts: o, puller: newPuller(), restoreNotify: make(chan struct{}, 1)}
	f.freshness = freshness.Options{
		Rank: freshness.ReaderRank(o.Self), Started: time.Now(),
		DocumentsMaxAge: o.longWait(Documents) + maxConfirmationDelay, TargetsMaxAge: o.longWait(Targets) + maxConfirmationDelay,
	}
	for s := range f.roleNotify {
		f.roleNotify[s] = make(chan struct{}, 1)
	}
	f.pullKinds = f.newPullKinds()
	if o.State != nil {
		o.State.OnRestore(f.handleRestore)
	}
	return f
}

// Run follows the store and the peers until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for s := range streamCount {
		wg.Go(func() { f.followStream(ctx, s) })
	}
	wg.Go(func() { f.introduce(ctx) })
	for _, k := range f.pullKinds {
		wg.Go(func() { f.pullLoop(ctx, k) })
	}
	wg.Wait()
}

// LogState returns the availability of the store's log as seen by this instance; it is unread if
// the instance is not a reader or has not read changes of both streams yet.
func (f *Follower) LogState() mesh.LogState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.role.Reads {
		return mesh.LogUnread
	}
	return freshness.Combined(f.readings[:]...)
}

// Fill sets the fields of a packet that describe the instance's state and the store.
func (f *Follower) Fill(p *mesh.Packet) {
	now := time.Now()
	p.Log = f.LogState()
	if p.Log != mesh.LogUnread {
		p.Complete = f.opts.State.completeAges(now) // before the versions, which it must not be ahead of
	}
	version, position := f.opts.State.Versions()
	p.Document, p.Registry, p.Epoch = version, position.Offset, position.Epoch
	p.LogAvailability = mesh.NewAgeSpan(now, f.opts.State.lastAnswered())
	p.LogFailure = mesh.NewAgeSpan(now, f.failure(now))
}

// FillDigest sets the fields of a digest that sum up what the zone's instances know of the store.
func (f *Follower) FillDigest(p *mesh.Packet) {
	now := time.Now()
	last := f.failure(now)
	for _, s := range zoneFailures(f.opts.Peers()) {
		if s.Until.After(last.Until) {
			last = s
		}
	}
	p.LogFailure = mesh.NewAgeSpan(now, last)
}

// failure returns the latest span in which a call of this instance had no answer in time; zero if that is
// long ago.
func (f *Follower) failure(now time.Time) registry.Span {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastFailure.Until) > registry.SpanRetention {
		return registry.Span{}
	}
	return f.lastFailure
}

// zoneFailures returns the last failures of the calls of the other instances of the zone that are not long ago.
func zoneFailures(v mesh.View) []registry.Span {
	var spans []registry.Span
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == v.Zone && v.At.Sub(m.LogFailure.Until) <= registry.SpanRetention {
			spans = append(spans, m.LogFailure)
		}
	}
	return spans
}

// Tick passes the store's availability to the state, as seen by all instances, and applies what
// expires by time.
func (f *Follower) Tick(now time.Time, v mesh.View) {
	f.opts.State.tick(now, storeStatus{unavailable: f.storeUnavailable(v), answeredSpans: peerAnsweredSpans(v), failedSpans: peerFailedSpans(v)})
	f.opts.State.confirmByPeers(v)
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

// peerFailedSpans returns the time spans in which calls of other instances had no answer from the
// store's log, as reported by them and by the bridges of the other zones.
func peerFailedSpans(v mesh.View) []registry.Span {
	spans := zoneFailures(v)
	for i := range v.Zones {
		spans = append(spans, v.Zones[i].LogFailure)
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
	for _, k := range f.pullKinds {
		signal(k.notify)
	}
}

// NotifyDoubt signals that a reader of the zone may get no response from the store, so that this
// instance may have to read in its place.
func (f *Follower) NotifyDoubt() {
	for _, c := range f.roleNotify {
		signal(c)
	}
}

// signal sends to a channel of capacity 1 unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
