package statesync

import (
	"time"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

const (
	// readersPerZone is the number of instances per zone that read the store, and
	// singleZoneReaders the number if there is only one zone. Each store call has a cost, so few
	// instances read. Several are needed because a reader with a broken path notices only when its
	// read times out, while all instances must have a change within 2 s. A reader that its peers
	// do not hear from either is replaced within about 1 s.
	readersPerZone    = 2
	singleZoneReaders = 4
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
)

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
		f.late = [streamCount]bool{}
		f.answeredAt = [streamCount]time.Time{}
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
	return o.countPreceding(v, func(m *mesh.Member) bool { return !m.Log.Doubtful() })
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
