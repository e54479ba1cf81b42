package statesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/freshness"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
	"github.com/clementinereel/clementinereel/wait"
)

const (
	// introDelay is how long a new instance waits for contact through its seeds before it uses the
	// store.
	introDelay = time.Second
	// announcersPerZone is the number of instances per zone that keep their addresses in the
	// store, for processes whose seeds do not respond. introCheckInterval is how often the other
	// instances check whether they have become announcers. Each store call has a cost.
	announcersPerZone  = 3
	introCheckInterval = 5 * time.Second
	// introJitter is the period over which instances spread their announcements after a restore.
	introJitter = time.Second
)

// isAnnouncer reports whether the instance is one of those of its zone that announce themselves.
func (o *Options) isAnnouncer(v mesh.View) bool {
	return freshness.Preceding(freshness.ReaderRank(o.Self), v) < announcersPerZone
}

// introduce connects the instance with its peers through the store if the seeds do not suffice. In
// any case a few instances of each zone announce themselves for later ones, and again after the
// store was restored from a copy that may lack their addresses.
func (f *Follower) introduce(ctx context.Context) {
	wait.For(ctx, introDelay)
	b := wait.Backoff{Min: minBackoff, Max: maxIntroBackoff}
	announcedIn := registry.Epoch(-1) // not announced yet
	for ctx.Err() == nil {
		if announcedIn >= f.opts.State.epoch() || !f.opts.isAnnouncer(f.opts.Peers()) {
			f.waitForRestore(ctx, introCheckInterval)
			continue
		}
		epoch, err := f.introduceOnce(ctx)
		if err == nil {
			announcedIn = epoch
			b.Reset()
			continue
		}
		eventlog.Error(eventlog.StoreCallFailed, err, "call", "introduce")
		b.Pause(ctx)
	}
}

// waitForRestore waits until the store is restored, for at most the given time. After a restore it
// adds a random delay so that the instances do not call the store all at once.
func (f *Follower) waitForRestore(ctx context.Context, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	case <-f.restoreNotify:
		wait.For(ctx, rand.N(introJitter))
	}
}

// introduceOnce announces the instance and returns the store's epoch. If the instance has no
// peers, it first reads their addresses from the store.
func (f *Follower) introduceOnce(ctx context.Context) (registry.Epoch, error) {
	call, cancel := context.WithTimeout(ctx, 2*callTimeoutMargin)
	defer cancel()
	if len(f.opts.Peers().Members) == 0 {
		f.countCall()
		addrs, err := f.opts.Store.Addresses(call)
		if err != nil {
			return 0, err
		}
		f.opts.OnAddresses(addrs)
	}
	f.countCall()
	return f.opts.Store.Announce(call, f.opts.Self)
}
