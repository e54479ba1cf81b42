package freshness

import (
	"iter"
	"time"

	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/registry"
)

const (
	// ReadersPerZone is the number of instances per zone that read the log, and SingleZoneReaders the
	// number if there is only one zone. Each call has a cost, so few instances read. Several are needed
	// because a reader with a broken path notices only when its read times out. A reader that its
	// followers do not hear from either is replaced within about 1 s.
	ReadersPerZone    = 2
	SingleZoneReaders = 4
	// TakeoverDelay is the time that an instance leaves to each one ranked before it to take over from
	// readers that get no response. If the store rejects only these readers, one more instance is enough.
	TakeoverDelay = 150 * time.Millisecond
	// LoadingDelay replaces TakeoverDelay for an instance without a state while another one of the zone reads
	// the log from its beginning, which may take seconds: all would ask for the same, and have it later. That
	// one tells when a call is not answered, so only a slow path is left to wait for.
	LoadingDelay = 5 * time.Second
	// MaxTakeoverReaders is the maximum number of instances of a zone that read in place of its
	// readers. If that many get no response, the store rejects all instances, and more would only
	// add calls.
	MaxTakeoverReaders = 12
	// ContactTimeout is how long a process that has just started waits for a datagram of another instance
	// before it reads the log, and AcquaintanceTime how long after the first one it knows too few others
	// to tell its rank.
	ContactTimeout   = 400 * time.Millisecond
	AcquaintanceTime = 100 * time.Millisecond
	// SettlingTime is the age of a process from which on it knows its rank. A younger one reads the log only if
	// nobody vouches for the zone.
	SettlingTime = time.Second
	// StateTimeout is how long an instance without any state waits for that of a reader.
	StateTimeout = 1500 * time.Millisecond
)

// Options are the fixed properties of an instance.
type Options struct {
	// Rank is the instance's rank as a reader; see ReaderRank.
	Rank uint64
	// Started is when the process started.
	Started time.Time
	// DocumentsMaxAge and TargetsMaxAge are the ages up to which the state of a reader counts; 0 if there is
	// no bound.
	DocumentsMaxAge, TargetsMaxAge time.Duration
}

// ReaderRank returns an instance's rank in the order by which the instances of a zone become
// readers, lowest first. It is the reverse of the order of bridges (instances that relay updates
// between zones): the links of bridges carry the most traffic, and all other instances wait for
// the readers.
func ReaderRank(addr string) uint64 { return ^mesh.Rank(addr) }

// Own is what an instance has itself.
type Own struct {
	// HasState is whether it has a state of both streams, of any age.
	HasState bool
	// Loads is whether it reads the log from its beginning, and parts have arrived.
	Loads bool
	// Epoch is the latest known epoch of the store.
	Epoch registry.Epoch
}

// State is what an instance remembers between two decisions. The zero value is that of a new process.
type State struct {
	// Reads is whether it reads the log.
	Reads bool
	// contactAt is when another instance was first heard.
	contactAt time.Time
	// unvouchedSince is the time since which nobody vouches for the zone.
	unvouchedSince time.Time
}

// Reason is why an instance reads the log or does not.
type Reason string

// Reasons of decisions.
const (
	// Follows: a reader vouches for the zone.
	Follows Reason = "follows"
	// Ranked: the instance is one of the zone's readers.
	Ranked Reason = "ranked"
	// StandsIn: nobody vouches for the zone, and it is this instance's turn.
	StandsIn Reason = "stands-in"
	// LacksState: a reader vouches for the zone, but its state does not arrive.
	LacksState Reason = "lacks-state"
	// Starts: the process has just started, and may not know others yet.
	Starts Reason = "starts"
	// AwaitsTurn: nobody vouches for the zone, and others read first.
	AwaitsTurn Reason = "awaits-turn"
	// AwaitsLoading: another instance reads the log from its beginning.
	AwaitsLoading Reason = "awaits-loading"
)

// Reads reports whether an instance reads the log for this reason.
func (r Reason) Reads() bool { return r == Ranked || r == StandsIn || r == LacksState }

// Decision is what an instance does.
type Decision struct {
	Reason Reason
	// Reader is the address of the instance that vouches for the state; empty if none does.
	Reader string
	// Until is the time until which that holds if nothing more is heard; zero if there is none.
	Until time.Time
}

// Decide returns what an instance does now, and what it remembers.
func Decide(o Options, s State, own Own, v mesh.View) (State, Decision) {
	d := decide(o, &s, own, v)
	s.Reads = d.Reason.Reads()
	return s, d
}

func decide(o Options, s *State, own Own, v mesh.View) Decision {
	if s.contactAt.IsZero() && (v.Joined || len(v.Members) > 0) {
		s.contactAt = v.At
	}
	preceding := Preceding(o.Rank, v)
	if preceding < readers(v) && own.HasState && v.At.Sub(o.Started) >= SettlingTime {
		return Decision{Reason: Ranked}
	}
	if reader := o.vouching(s.Reads, own, v); reader != nil {
		s.unvouchedSince = time.Time{}
		return o.follow(s, own, v, reader, preceding)
	}
	ready := o.readyAt(s, v)
	if v.At.Before(ready) {
		return Decision{Reason: Starts, Until: ready}
	}
	if s.unvouchedSince.IsZero() {
		s.unvouchedSince = v.At
	}
	if preceding >= ReadersPerZone+MaxTakeoverReaders {
		return Decision{Reason: AwaitsTurn}
	}
	first := time.Duration(countPreceding(o.Rank, v, mayRead)) // the number of instances that read first
	turn, waiting := first*TakeoverDelay, AwaitsTurn
	yields := !own.HasState && !own.Loads && loading(v)
	if yields {
		turn, waiting = max(first, 1)*LoadingDelay, AwaitsLoading
	}
	if s.Reads && !yields || v.At.Sub(s.unvouchedSince) >= turn {
		return Decision{Reason: StandsIn}
	}
	return Decision{Reason: waiting, Until: s.unvouchedSince.Add(turn)}
}

// follow returns the decision of an instance for whose zone a reader vouches.
func (o *Options) follow(s *State, own Own, v mesh.View, reader *mesh.Member, preceding int) Decision {
	d := Decision{Reason: Follows, Reader: reader.Addr, Until: o.vouchedUntil(reader)}
	turn := StateTimeout + time.Duration(preceding)*TakeoverDelay
	if !own.HasState && v.At.Sub(s.contactAt) >= turn {
		d.Reason = LacksState
	}
	return d
}

// readyAt returns the time from which on a process may read the log though it may not know others yet.
func (o *Options) readyAt(s *State, v mesh.View) time.Time {
	timeout := o.Started.Add(ContactTimeout)
	switch {
	case v.Joined && v.PeerCount == 0: // there are no others
		return o.Started
	case s.contactAt.IsZero() || s.contactAt.Add(AcquaintanceTime).After(timeout):
		return timeout
	}
	return s.contactAt.Add(AcquaintanceTime)
}

// readers returns the number of instances of the zone that read the log.
func readers(v mesh.View) int {
	if len(v.Zones) == 0 {
		return SingleZoneReaders
	}
	return ReadersPerZone
}

// zoneMembers returns the members of the own zone that the others may depend on.
func zoneMembers(v mesh.View) iter.Seq[*mesh.Member] {
	return func(yield func(*mesh.Member) bool) {
		for i := range v.Members {
			if m := &v.Members[i]; m.Zone == v.Zone && v.Responsive(m) && !yield(m) {
				return
			}
		}
	}
}

// vouching returns a reader that vouches for the zone, or nil. An instance that reads in place of the readers
// continues until one ranked before it vouches; otherwise the two would yield to each other. Readers without the
// current epoch of the store do not count: they run the previous version, or have not seen the restore yet.
func (o *Options) vouching(reads bool, own Own, v mesh.View) *mesh.Member {
	for m := range zoneMembers(v) {
		if m.Registry.Epoch < own.Epoch || reads && ReaderRank(m.Addr) >= o.Rank {
			continue
		}
		if m.Log == mesh.LogAvailable && !v.At.After(o.vouchedUntil(m)) {
			return m
		}
	}
	return nil
}

// vouchedUntil returns the time until which a reader vouches if nothing more is heard from it. Readers of earlier
// versions do not tell as of when they know the log.
func (o *Options) vouchedUntil(m *mesh.Member) time.Time {
	until := m.LastReceived.Add(mesh.ReaderTimeout)
	sooner := func(at time.Time, age time.Duration) {
		if end := at.Add(age); !at.IsZero() && age > 0 && end.Before(until) {
			until = end
		}
	}
	sooner(m.DocumentsComplete, o.DocumentsMaxAge)
	sooner(m.TargetsComplete, o.TargetsMaxAge)
	return until
}

// loading reports whether an instance of the zone reads the log from its beginning.
func loading(v mesh.View) bool {
	for m := range zoneMembers(v) {
		if m.Log == mesh.LogLoading {
			return true
		}
	}
	return false
}

// Preceding returns the number of instances of the zone ranked before the given rank.
func Preceding(rank uint64, v mesh.View) int {
	return countPreceding(rank, v, func(*mesh.Member) bool { return true })
}

// mayRead reports whether a member may still get responses from the log.
func mayRead(m *mesh.Member) bool { return !m.Log.Doubtful() }

// countPreceding returns the number of instances of the zone ranked before the given rank for which counts
// returns true.
func countPreceding(rank uint64, v mesh.View, counts func(*mesh.Member) bool) int {
	n := 0
	for m := range zoneMembers(v) {
		if !m.Leaving && ReaderRank(m.Addr) < rank && counts(m) {
			n++
		}
	}
	return n
}
