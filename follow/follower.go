package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// maxLines is how many records are logged one by one when they come at once.
const maxLines = 64

// Pulled is a peer's answer to a pull: records, or a packed snapshot if the
// peer no longer holds the records asked for.
type Pulled struct {
	Records  []logservice.Record
	Snapshot []byte
	// Next is the offset up to which the peer has applied.
	Next logservice.Offset
}

// Peers gives access to the other instances.
type Peers interface {
	// Offsets returns the configuration offset of each peer that may be
	// reachable. An offset may lag behind the peer's true one.
	Offsets() map[fleet.InstanceID]logservice.Offset
	// Pull asks a peer for what it has from an offset on. The peer may hold
	// the call for wait while it has nothing.
	Pull(ctx context.Context, id fleet.InstanceID, from logservice.Offset, wait time.Duration) (Pulled, error)
}

// Options are what a Follower works with.
type Options struct {
	Log logservice.Log
	// Peers may be nil: no peer is asked.
	Peers Peers
	// Tail tells whether this instance tails the log at present. Default:
	// always. An instance without peers tails in any case.
	Tail func() bool
	// Checkpoint tells whether this instance has the checkpoint role at
	// present. Default: never.
	Checkpoint func() bool
	// OnChange is called with the newest view after the state changed, by one
	// goroutine. Views may be left out, but never go back. Default: nothing.
	OnChange func(*publication.View)
	// Registry takes the metrics. Default: a registry of its own.
	Registry metrics.Registry
	Settings Settings
}

// Follower keeps the state in force. It is safe for concurrent use.
type Follower struct {
	opts     Options
	settings Settings
	counters *counters

	view atomic.Pointer[publication.View]
	// contact and logContact are when a peer or the log, and when the log,
	// last answered, in nanoseconds since the epoch; zero if never.
	contact, logContact atomic.Int64
	// logFailing tells that the last call to the log failed.
	logFailing atomic.Bool
	changed    chan struct{}
	hints      chan hint

	mu      sync.Mutex
	replica *publication.Replica
	// advanced is closed when the state advances.
	advanced chan struct{}
	packed   packed
}

// New returns a follower that has applied nothing.
func New(o Options) *Follower {
	if o.Tail == nil || o.Peers == nil {
		o.Tail = func() bool { return true }
	}
	if o.Checkpoint == nil {
		o.Checkpoint = func() bool { return false }
	}
	if o.OnChange == nil {
		o.OnChange = func(*publication.View) {}
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	f := &Follower{
		opts:     o,
		settings: o.Settings.withDefaults(),
		counters: newCounters(o.Registry),
		changed:  make(chan struct{}, 1),
		hints:    make(chan hint, 1),
		replica:  publication.NewReplica(),
		advanced: make(chan struct{}),
	}
	f.view.Store(f.replica.View())
	return f
}

// View returns the state in force.
func (f *Follower) View() *publication.View { return f.view.Load() }

// Next is the offset of the first record that was not applied yet.
func (f *Follower) Next() logservice.Offset { return f.View().Next }

// Contact returns when the log or a peer last answered; zero if none ever did.
// An instance whose contact is long past may serve an old state.
func (f *Follower) Contact() time.Time {
	n := max(f.contact.Load(), f.logContact.Load())
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.report(ctx) })
	f.start(ctx)
	wg.Go(func() { f.tail(ctx) })
	wg.Go(func() { f.checkpoint(ctx) })
	if f.opts.Peers != nil {
		for range f.settings.Upstreams {
			wg.Go(func() { f.pull(ctx) })
		}
		wg.Go(func() { f.chase(ctx) })
		wg.Go(func() { f.spread(ctx) })
	}
	wg.Wait()
}

// report calls OnChange.
func (f *Follower) report(ctx context.Context) {
	var last *publication.View
	for {
		select {
		case <-f.changed:
			if v := f.View(); v != last {
				f.opts.OnChange(v)
				last = v
			}
		case <-ctx.Done():
			return
		}
	}
}

// apply folds records from the log or a peer.
func (f *Follower) apply(records []logservice.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	decisions := f.replica.Apply(records)
	if len(decisions) == 0 {
		return
	}
	quiet := len(decisions) > maxLines
	for _, d := range decisions {
		f.count(d)
		if !quiet || d.Skipped() {
			logDecision(d)
		}
	}
	f.publish()
	if quiet {
		klog.InfoS("configuration caught up", "records", len(decisions), "next", f.replica.Next())
	}
}

// adopt takes over a newer state. Older ones change nothing.
func (f *Follower) adopt(s *publication.State, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.replica.Next()
	if errors.Is(f.replica.Adopt(s), publication.ErrOld) {
		return
	}
	f.publish()
	f.counters.adopted.Inc(1)
	klog.InfoS("configuration taken over", "source", source, "from", before, "next", f.replica.Next())
}

// publish makes the replica's state the one in force. f.mu is held.
func (f *Follower) publish() {
	v := f.replica.View()
	f.view.Store(v)
	f.counters.next.Update(int64(v.Next))
	close(f.advanced)
	f.advanced = make(chan struct{})
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// count counts a decision.
func (f *Follower) count(d publication.Decision) {
	f.counters.records.Inc(1)
	switch d.Verdict {
	case publication.Accepted, publication.Checkpointed:
	case publication.Malformed:
		f.counters.malformed.Inc(1)
	default:
		f.counters.refused.Inc(1)
	}
}

func logDecision(d publication.Decision) {
	switch d.Verdict {
	case publication.Accepted:
		klog.InfoS("configuration changed", "offset", d.Offset, "kind", d.Kind, "publication", d.ID, "customer", d.Customer, "target", d.Target)
	case publication.Checkpointed:
	case publication.Malformed:
		klog.InfoS("configuration record skipped", "offset", d.Offset, "reason", d.Message)
	default:
		klog.InfoS("configuration record refused", "offset", d.Offset, "verdict", d.Verdict, "publication", d.ID, "customer", d.Customer, "target", d.Target, "current", d.Current, "reason", d.Message)
	}
}
