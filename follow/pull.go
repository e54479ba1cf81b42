package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/platform"
	"github.com/clementinereel/clementinereel/publication"
)

// logSilence is how long the log may be silent, beyond the wait of a read,
// before peers are asked all the time.
const logSilence = time.Second

// startTries is how many peers a fresh instance asks for their state before it
// turns to the log.
const startTries = 3

// startTimeout bounds these calls together.
const startTimeout = 2 * time.Second

// start takes over the state of the peer that is furthest ahead.
func (f *Follower) start(ctx context.Context) {
	if f.opts.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, id := range f.furthest() {
		err := f.pullFrom(ctx, id, 0)
		if err == nil && f.Next() > 0 {
			return
		}
	}
}

// furthest returns the peers that are known to be furthest ahead.
func (f *Follower) furthest() []fleet.InstanceID {
	offsets := f.opts.Peers.Offsets()
	var ids []fleet.InstanceID
	for id, next := range offsets {
		if next > 0 {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b fleet.InstanceID) int { return cmp.Compare(offsets[b], offsets[a]) })
	return ids[:min(len(ids), startTries)]
}

// pull asks peers, one at a time, for newer records.
func (f *Follower) pull(ctx context.Context) {
	b := f.newBackoff()
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if f.needsPeers() {
			wait = f.settings.PeerWait
		}
		id, ok := f.choose(wait > 0)
		if !ok {
			sleep(ctx, f.settings.PeerInterval)
			continue
		}
		from, began := f.Next(), time.Now()
		if err := f.pullFrom(ctx, id, wait); err != nil {
			f.peerFailed(ctx, id, err)
			b.pause(ctx)
			continue
		}
		b.reset()
		if f.Next() == from && time.Since(began) < f.settings.PeerInterval {
			sleep(ctx, f.settings.PeerInterval)
		}
	}
}

func (f *Follower) peerFailed(ctx context.Context, id fleet.InstanceID, err error) {
	if ctx.Err() != nil {
		return
	}
	f.counters.peerErrors.Inc(1)
	klog.InfoS("configuration pull failed", "peer", id, "reason", err.Error())
}

// needsPeers tells whether the log cannot be relied on for new records.
func (f *Follower) needsPeers() bool {
	if !f.opts.Tail() || f.logFailing.Load() {
		return true
	}
	silent := time.Since(time.Unix(0, f.logContact.Load()))
	return silent > f.settings.ReadWait+logSilence
}

// choose picks a random peer among those ahead or, if none is and any will do,
// among all.
func (f *Follower) choose(anyPeer bool) (fleet.InstanceID, bool) {
	next := f.Next()
	var ahead, all []fleet.InstanceID
	for id, offset := range f.opts.Peers.Offsets() {
		all = append(all, id)
		if offset > next {
			ahead = append(ahead, id)
		}
	}
	if len(ahead) == 0 && anyPeer {
		ahead = all
	}
	if len(ahead) == 0 {
		return "", false
	}
	return ahead[rand.IntN(len(ahead))], true
}

// pullFrom asks one peer and takes up what it has.
func (f *Follower) pullFrom(ctx context.Context, id fleet.InstanceID, wait time.Duration) error {
	f.counters.pulls.Inc(1)
	from := f.Next()
	got, err := f.opts.Peers.Pull(ctx, id, from, wait)
	if err != nil {
		return err
	}
	f.contact.Store(time.Now().UnixNano())
	if len(got.Snapshot) > 0 && got.Next > from {
		s, err := publication.Restore(got.Snapshot)
		if err != nil {
			return err
		}
		f.adopt(s, string(id))
		return nil
	}
	f.apply(got.Records)
	return nil
}

// Serve answers a peer's pull. It holds the call for up to wait while it has
// nothing from the offset on.
func (f *Follower) Serve(ctx context.Context, from platform.Offset, wait time.Duration) (Pulled, error) {
	f.counters.pulled.Inc(1)
	f.await(ctx, from, wait)
	f.mu.Lock()
	records, ok := f.replica.Since(from)
	next := f.replica.Next()
	f.mu.Unlock()
	if ok {
		return Pulled{Records: records, Next: next}, nil
	}
	return f.snapshot()
}

// await waits until the state has gone beyond an offset.
func (f *Follower) await(ctx context.Context, from platform.Offset, wait time.Duration) {
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		f.mu.Lock()
		advanced, next := f.advanced, f.replica.Next()
		f.mu.Unlock()
		if next > from {
			return
		}
		select {
		case <-advanced:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
