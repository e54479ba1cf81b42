package follow

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/wait"
)

// logSilence is how long the log may be silent, beyond the wait of a read,
// before peers are asked all the time.
const logSilence = time.Second

// startTries is how many peers a fresh instance asks for their state before it
// turns to the log.
const startTries = 3

// tellTimeout bounds the call that tells a peer of an advance.
const tellTimeout = 2 * time.Second

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

// pull holds long polls at random peers while the log cannot be relied on.
func (f *Follower) pull(ctx context.Context) {
	b := f.newBackoff()
	for ctx.Err() == nil {
		var ids []fleet.InstanceID
		if f.needsPeers() {
			ids = f.random(1)
		}
		if len(ids) == 0 {
			wait.For(ctx, f.settings.PeerInterval)
			continue
		}
		from, began := f.Next(), time.Now()
		if err := f.pullFrom(ctx, ids[0], f.settings.PeerWait); err != nil {
			f.peerFailed(ctx, ids[0], err)
			b.Pause(ctx)
			continue
		}
		b.Reset()
		if f.Next() == from && time.Since(began) < f.settings.PeerInterval {
			wait.For(ctx, f.settings.PeerInterval) // the peer did not hold the call
		}
	}
}

// chase pulls from peers that are ahead: those that said so in a pull of their
// own, and those that the membership knows of.
func (f *Follower) chase(ctx context.Context) {
	b := f.newBackoff()
	for ctx.Err() == nil {
		id, ok := f.ahead(ctx)
		if !ok {
			continue
		}
		from := f.Next()
		if err := f.pullFrom(ctx, id, 0); err != nil {
			f.peerFailed(ctx, id, err)
			b.Pause(ctx)
			continue
		}
		b.Reset()
		if f.Next() == from {
			wait.For(ctx, f.settings.PeerInterval) // it was not ahead after all
		}
	}
}

// ahead waits for a peer that is ahead, for PeerInterval at most.
func (f *Follower) ahead(ctx context.Context) (fleet.InstanceID, bool) {
	t := time.NewTimer(f.settings.PeerInterval)
	defer t.Stop()
	select {
	case h := <-f.hints:
		return h.id, h.next > f.Next()
	case <-t.C:
	case <-ctx.Done():
		return "", false
	}
	next := f.Next()
	var ids []fleet.InstanceID
	for id, offset := range f.opts.Peers.Offsets() {
		if offset > next {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[rand.IntN(len(ids))], true
}

// spread tells a few random peers of each advance, by a pull that names the
// new offset. What they may have beyond it is taken up.
func (f *Follower) spread(ctx context.Context) {
	told := f.Next()
	for ctx.Err() == nil {
		f.await(ctx, told, maxWait)
		next := f.Next()
		if next == told {
			continue
		}
		told = next
		var wg sync.WaitGroup
		for _, id := range f.random(f.settings.Fanout) {
			wg.Go(func() { f.tell(ctx, id) })
		}
		wg.Wait()
	}
}

func (f *Follower) tell(ctx context.Context, id fleet.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := f.pullFrom(ctx, id, 0); err != nil {
		f.peerFailed(ctx, id, err)
	}
}

// random returns up to n random peers.
func (f *Follower) random(n int) []fleet.InstanceID {
	ids := slices.Collect(maps.Keys(f.opts.Peers.Offsets()))
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

func (f *Follower) peerFailed(ctx context.Context, id fleet.InstanceID, err error) {
	if ctx.Err() != nil {
		return
	}
	f.counters.peerErrors.Inc(1)
	klog.V(1).InfoS("configuration pull failed", "peer", id, "reason", err.Error())
}

// needsPeers tells whether the log cannot be relied on for new records.
func (f *Follower) needsPeers() bool {
	if !f.opts.Tail() || f.logFailing.Load() {
		return true
	}
	silent := time.Since(time.Unix(0, f.logContact.Load()))
	return silent > f.settings.ReadWait+logSilence
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

// Serve answers a pull of a peer. It holds the call for up to wait while it has
// nothing from the offset on.
func (f *Follower) Serve(ctx context.Context, caller fleet.InstanceID, from logservice.Offset, wait time.Duration) (Pulled, error) {
	f.counters.pulled.Inc(1)
	f.heed(hint{caller, from})
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

// hint says that a peer has applied up to an offset.
type hint struct {
	id   fleet.InstanceID
	next logservice.Offset
}

// heed lets chase know of a peer that is ahead, unless it knows of one already.
func (f *Follower) heed(h hint) {
	if h.id == "" || h.next <= f.Next() {
		return
	}
	select {
	case f.hints <- h:
	default:
	}
}

// await waits until the state has gone beyond an offset.
func (f *Follower) await(ctx context.Context, from logservice.Offset, wait time.Duration) {
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
