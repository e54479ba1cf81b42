package poison

import (
	"hash/maphash"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/quarantine"
)

const (
	// minFailedTargets is the number of targets, each of which serves other requests, at which a request must
	// have failed. Fewer failures happen by chance while some targets of a service are unhealthy.
	minFailedTargets = 3
	// failureRetention is how long a failure is kept.
	failureRetention = time.Minute
	// successLookback is how long before a failure a success still shows that the target was healthy.
	successLookback = 5 * time.Second
	// maxContents bounds the tracked contents, maxTargets the failures of each.
	maxContents = 1024
	maxTargets  = 8
)

// Table tracks the requests that fail at each target. It is safe for concurrent use.
type Table struct {
	seed maphash.Seed
	// size is the number of tracked contents.
	size atomic.Int64

	mu sync.Mutex
	// failures holds the time of the first failure of each content at each target, lastSuccess the time
	// of the last success of each target.
	failures    map[uint64]map[fleet.TargetID]time.Time
	lastSuccess map[fleet.TargetID]time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{seed: maphash.MakeSeed(), failures: make(map[uint64]map[fleet.TargetID]time.Time), lastSuccess: make(map[fleet.TargetID]time.Time)}
}

// key returns the hash of a content. It is seeded per process, so that nobody can construct two contents
// with the same key.
func (t *Table) key(c *quarantine.Content) uint64 {
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, s := range [...]string{c.Method, c.Host, c.URI} {
		_, _ = h.WriteString(s) // a hash never returns an error
		_ = h.WriteByte(0)
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// RecordFailure records a failure of a request at a target, and reports whether the request is at fault.
func (t *Table) RecordFailure(now time.Time, c *quarantine.Content, target fleet.TargetID) bool {
	k := t.key(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.failures[k]
	if at == nil {
		if len(t.failures) >= maxContents {
			return false
		}
		at = make(map[fleet.TargetID]time.Time)
		t.failures[k] = at
		t.size.Add(1)
	}
	if _, tracked := at[target]; !tracked && len(at) < maxTargets {
		at[target] = now
	}
	return t.atFault(now, at)
}

// AtFault reports whether a request is at fault, rather than the targets at which it fails.
func (t *Table) AtFault(now time.Time, c *quarantine.Content) bool {
	if t.size.Load() == 0 {
		return false
	}
	k := t.key(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.atFault(now, t.failures[k])
}

// atFault reports whether a content failed at enough targets that serve other requests.
func (t *Table) atFault(now time.Time, failed map[fleet.TargetID]time.Time) bool {
	n := 0
	for target, at := range failed {
		if now.Sub(at) < failureRetention && t.lastSuccess[target].After(at.Add(-successLookback)) {
			n++
		}
	}
	return n >= minFailedTargets
}

// RecordSuccess records that a target served a request of this instance, and clears the request's failures.
func (t *Table) RecordSuccess(now time.Time, c *quarantine.Content, target fleet.TargetID) {
	tracked := t.size.Load() > 0
	var k uint64
	if tracked {
		k = t.key(c)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSuccess[target] = now
	if tracked {
		t.remove(k)
	}
}

// RecordTargetSuccess records that a target served a request of another instance.
func (t *Table) RecordTargetSuccess(now time.Time, target fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSuccess[target] = now
}

// Expire removes entries older than failureRetention.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expired := func(_ fleet.TargetID, at time.Time) bool { return now.Sub(at) >= failureRetention }
	maps.DeleteFunc(t.lastSuccess, expired)
	for k, at := range t.failures {
		maps.DeleteFunc(at, expired)
		if len(at) == 0 {
			t.remove(k)
		}
	}
}

func (t *Table) remove(k uint64) {
	if t.failures[k] == nil {
		return
	}
	delete(t.failures, k)
	t.size.Add(-1)
}
