package follow

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/wait"
)

// checkpointShare is the part of the log's retention after which a checkpoint
// is renewed.
const checkpointShare = 4

// packed is the newest packed snapshot, kept because many fresh instances may
// ask for it at the same time.
type packed struct {
	mu   sync.Mutex
	next logservice.Offset
	data []byte
}

// snapshot returns the packed state.
func (f *Follower) snapshot() (Pulled, error) {
	f.packed.mu.Lock()
	defer f.packed.mu.Unlock()
	if f.packed.data != nil && f.packed.next == f.Next() {
		return Pulled{Snapshot: f.packed.data, Next: f.packed.next}, nil
	}
	s := f.state()
	data, err := s.Snapshot()
	if err != nil {
		return Pulled{}, err
	}
	f.packed.next, f.packed.data = s.Next(), data
	return Pulled{Snapshot: data, Next: s.Next()}, nil
}

func (f *Follower) state() *publication.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.State()
}

// checkpoint appends checkpoints while this instance has the role.
func (f *Follower) checkpoint(ctx context.Context) {
	for wait.For(ctx, f.settings.CheckpointInterval) {
		if !f.opts.Checkpoint() || !f.checkpointDue(time.Now()) {
			continue
		}
		if err := f.appendCheckpoint(ctx); err != nil {
			f.logFailed(ctx, err)
		}
	}
}

// checkpointDue tells whether the newest checkpoint is old by time or by
// records. The time is the log's; a clock that differs from it by less than a
// half of the retention does no harm.
func (f *Follower) checkpointDue(now time.Time) bool {
	f.mu.Lock()
	mark, next := f.replica.Checkpoint(), f.replica.Next()
	f.mu.Unlock()
	if next == 0 {
		return false
	}
	if now.Sub(mark.Time) > f.settings.Retention/checkpointShare {
		return true
	}
	return int(next-mark.Next) > f.settings.CheckpointRecords
}

// appendCheckpoint appends the parts of a checkpoint in order. It stops at the
// first that may not have been added.
func (f *Follower) appendCheckpoint(ctx context.Context) error {
	s := f.state()
	parts, err := s.EncodeCheckpoint()
	if err != nil {
		return err
	}
	size := 0
	for _, data := range parts {
		if _, err := f.opts.Log.Append(ctx, publication.Stream, data); err != nil {
			return err
		}
		size += len(data)
	}
	f.counters.checkpoints.Inc(1)
	klog.InfoS("configuration checkpoint appended", "next", s.Next(), "parts", len(parts), "bytes", size)
	return nil
}
