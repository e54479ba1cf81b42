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
	// readersPerZone is how many instances of a zone read the store, and
	// readersAlone how many where there is one zone only. Each call has its price,
	// but a reader whose path is cut notices only when its read is overdue, and
	// all instances must learn of a change within 2 s: so more than a few readers
	// would have to be cut off at once. One that its peers do not hear either
	// is replaced within about a second.
	readersPerZone = 2
	readersAlone   = 4
	// documentsWait is how long a read of documents waits for a change. It bounds how long a
	// read may hang on a connection that the store has forgotten.
	documentsWait = 4 * time.Second
	// targetsWait is the same for targets. With lateAnswer it is shorter than any outage in
	// which entries lapse, two intervals between renewals, so that no read outlasts one unnoticed.
	targetsWait = 2 * time.Second
	// lateAnswer is how much later than its wait was over a read is answered by a store that was
	// away meanwhile. A slow one takes some hundred milliseconds.
	lateAnswer = time.Second
	// probeWait is the same while the store is away, so that its return is
	// noticed soon.
	probeWait = 250 * time.Millisecond
	// firstWait is the same for the first read of an instance that has just become a
	// reader: until it has an answer to tell of, others take over too.
	firstWait = 50 * time.Millisecond
	// callSlack is what a call may take beyond its wait. A slow store takes
	// some hundred milliseconds an answer.
	callSlack = 1200 * time.Millisecond
	// settle is the time between two reads when changes come quickly: several
	// are taken by one call.
	settle = 400 * time.Millisecond
	// atOnce is within which time a read is answered whose changes had waited for it.
	atOnce = 100 * time.Millisecond
	// overtakenAfter is for how long a read may wait for what others have been told: as long as
	// a slow store takes to answer them one after the other.
	overtakenAfter = 250 * time.Millisecond
	// backOffMin and backOffMax bound the pause after an error, of which half to
	// the whole is waited; introBackOffMax is the same for the introduction, which
	// nothing waits for.
	backOffMin      = 130 * time.Millisecond
	backOffMax      = 930 * time.Millisecond
	introBackOffMax = 4 * backOffMax
	// roleEvery is how often an instance looks whether it is a reader.
	roleEvery = 200 * time.Millisecond
	// takeOverStep is for how long an instance leaves it to each of those before it
	// to read for a zone whose readers get no answers: where the store refuses
	// these only, one instance more suffices, and each call has its price.
	takeOverStep = 150 * time.Millisecond
	// takeOverMost is how many of a zone may read in place of its readers. Where so many
	// get no answer the store refuses all, and the others would only add calls.
	takeOverMost = 12
	// backOffOthers is backOffMax for instances that read in place of others.
	backOffOthers = 4 * time.Second
)

// Options are what a Follower works with.
type Options struct {
	State *State
	Store Store
	// Peers returns the other instances.
	Peers func() mesh.View
	Self  string
	Zone  fleet.Zone
	// Know is called with addresses of instances that the store named.
	Know func([]string)
	// Tell is called when the store's answers begin or end; it makes the others hear
	// of it at once. It may be nil.
	Tell func()
}

// Follower keeps a State up to date.
type Follower struct {
	o       Options
	puller  *puller
	started time.Time
	ahead   chan struct{}

	mu    sync.Mutex
	log   [streams]mesh.LogState
	read  [streams]bool
	lost  bool
	role  bool
	calls int64
	// restedFrom is since when a stream was not read, before its latest read. What changed before
	// that would have been in the answer before. After an error it is when the next read
	// begins: nobody knows what the store did meanwhile. Each is its stream's own.
	restedFrom [streams]time.Time
	// hanging ends the reads that wait for changes.
	hanging [streams]hangingRead
	// moved tells that the store was restored, to whoever has to announce the instance again.
	moved chan struct{}
	// answering is since when all reads of targets were answered in time; zero if the last was
	// not.
	answering time.Time
	// unserved is since when no other instance of the zone reads with success.
	unserved time.Time
}

// NewFollower returns a follower that does nothing yet.
func NewFollower(o Options) *Follower {
	f := &Follower{o: o, puller: newPuller(), ahead: make(chan struct{}, 1), moved: make(chan struct{}, 1), started: time.Now()}
	if o.State != nil {
		o.State.OnRestore(f.restored)
	}
	return f
}

// errEarlierEpoch is an answer of the store from before it was restored: one that was long on its
// way, or that of a part that does not know yet.
var errEarlierEpoch = errors.New("an answer of an earlier epoch of the store")

// errRestored ends a read that waits for changes of an epoch that is over.
var errRestored = errors.New("the store was restored from an older copy")

// restored ends what belongs to an earlier epoch of the store: a read on a connection that the
// store has forgotten would hang for seconds.
func (f *Follower) restored() {
	f.mu.Lock()
	hanging := f.hanging
	f.mu.Unlock()
	for _, r := range hanging {
		if r.end != nil {
			r.end(errRestored)
		}
	}
	select {
	case f.moved <- struct{}{}:
	default:
	}
}

// hangingRead is a read that waits for changes.
type hangingRead struct {
	end context.CancelCauseFunc // nil if there is none
	// number tells one read from the next.
	number int64
	from   registry.Position
}

// errOvertaken ends a read that waits for changes which others were told of.
var errOvertaken = errors.New("others were told of changes that this read waits for")

// overtaken ends the reads that still wait, a moment from now, for what a peer has told meanwhile: the
// store has forgotten their connections.
func (f *Follower) overtaken() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, r := range f.hanging {
		if r.end == nil || !f.o.State.next(Stream(s)).After(r.from) {
			continue
		}
		time.AfterFunc(overtakenAfter, func() {
			if f.waits(Stream(s), r.number) {
				eventlog.Error(eventlog.StoreCallFailed, errOvertaken, "call", "read", "stream", Stream(s).String(), "offset", r.from.Offset)
				r.end(errOvertaken)
			}
		})
	}
}

// waits tells whether a read of a stream is still the one of the given number.
func (f *Follower) waits(s Stream, number int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hanging[s].end != nil && f.hanging[s].number == number
}

// Run follows store and peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for s := range streams {
		wg.Go(func() { f.follow(ctx, s) })
	}
	wg.Go(func() { f.introduce(ctx) })
	wg.Go(func() { f.pull(ctx) })
	wg.Wait()
}

// Log tells what this instance knows of the store's log.
func (f *Follower) Log() mesh.LogState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.role {
		return mesh.LogUnread
	}
	if f.log[Documents] == mesh.LogUnread || f.log[Targets] == mesh.LogUnread {
		return mesh.LogUnread
	}
	return max(f.log[Documents], f.log[Targets])
}

// Fill puts into a packet what the instance tells of its state and of the store.
func (f *Follower) Fill(p *mesh.Packet) {
	version, position := f.o.State.Versions()
	p.Document, p.Registry, p.Epoch = version, position.Offset, position.Epoch
	p.Log = f.Log()
	p.LogAvailability = mesh.NewAgeSpan(time.Now(), f.o.State.lastAnswered())
}

// Tick ends what is over by time, after what is known of the other instances.
func (f *Follower) Tick(now time.Time, v mesh.View) {
	f.o.State.tick(now, storeStatus{unavailable: f.away(v), answeredSpans: answeredOthers(v)})
}

// answeredOthers are the times in which other instances had answers of the store's log, by what
// they tell. Those of the version before tell only that they have some now.
func answeredOthers(v mesh.View) []registry.Span {
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

// Calls is how many calls were made to the store.
func (f *Follower) Calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// away tells whether the store's log answers nobody, as far as known.
func (f *Follower) away(v mesh.View) bool {
	own := f.Log()
	if own == mesh.LogAvailable {
		return false
	}
	away := own == mesh.LogUnavailable
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Fresh(v.At) {
			continue
		}
		switch m.Log {
		case mesh.LogAvailable:
			return false
		case mesh.LogUnavailable:
			away = true
		}
	}
	for i := range v.Zones {
		if v.Zones[i].Log == mesh.LogAvailable && v.Zones[i].Fresh(v.At) {
			return false
		}
	}
	return away
}

// Ahead tells the follower that a peer has something newer.
func (f *Follower) Ahead() {
	select {
	case f.ahead <- struct{}{}:
	default:
	}
}

// reads tells whether this instance reads the store at present.
func (f *Follower) reads() bool {
	v := f.o.Peers()
	var epoch registry.Epoch
	if f.o.State != nil {
		epoch = f.o.State.epoch()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	role := f.o.ranked(v) || f.takesOver(v, epoch)
	if role != f.role {
		eventlog.Info(eventlog.ReaderRole, "reads", role, "peers", len(v.Members))
		f.role = role
		// What the log answered in an earlier time as a reader says nothing now.
		f.log = [streams]mesh.LogState{}
		f.answering = time.Time{}
	}
	return role
}

// takesOver tells whether the instance reads in place of its zone's readers. One that
// does so goes on unless one before it succeeds too, or two would give way to each
// other. Readers that know of no epoch of the store, or of an earlier one, are no source: they
// are of the version before, or about to notice.
func (f *Follower) takesOver(v mesh.View, epoch registry.Epoch) bool {
	if f.o.earlier(v) >= readersPerZone+takeOverMost {
		return false
	}
	own := readerRank(f.o.Self)
	yields := func(m *mesh.Member) bool {
		return m.Registry.Epoch >= epoch && (!f.role || readerRank(m.Addr) < own)
	}
	if served(v, yields) {
		f.unserved = time.Time{}
		return false
	}
	if f.unserved.IsZero() {
		f.unserved = v.At
	}
	return v.At.Sub(f.unserved) >= time.Duration(f.o.place(v))*takeOverStep
}

// settling tells whether it is too early to know who reads: until then a snapshot
// suffices.
func (f *Follower) settling(s Stream) bool {
	return time.Since(f.started) < introWait && f.begun(s)
}

// readerRank is an instance's place in the order by which instances read the store; the
// lowest comes first. It is the reverse of the order of bridges, so that the instances that
// pass on other zones' news, whose links are the fullest, are not those that all others wait
// for with a change.
func readerRank(addr string) uint64 { return ^mesh.Rank(addr) }

// ranked tells whether the instance is among the first of its zone.
func (o *Options) ranked(v mesh.View) bool {
	if len(v.Zones) == 0 {
		return o.earlier(v) < readersAlone
	}
	return o.earlier(v) < readersPerZone
}

// earlier is how many instances of the zone come before this one.
func (o *Options) earlier(v mesh.View) int {
	return o.before(v, func(*mesh.Member) bool { return true })
}

// place is how many instances of the zone come before this one that may still get
// answers.
func (o *Options) place(v mesh.View) int {
	return o.before(v, func(m *mesh.Member) bool { return m.Log != mesh.LogUnavailable })
}

// before counts the instances of the zone that come before this one.
func (o *Options) before(v mesh.View, counts func(*mesh.Member) bool) int {
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

// served tells whether some other instance of the zone, of those that count, reads the
// store with success.
func served(v mesh.View, counts func(*mesh.Member) bool) bool {
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == v.Zone && m.Log == mesh.LogAvailable && v.Responsive(m) && counts(m) {
			return true
		}
	}
	return false
}

// follow reads one stream.
func (f *Follower) follow(ctx context.Context, s Stream) {
	b := wait.Backoff{Min: backOffMin, Max: backOffMax}
	f.restedFrom[s] = time.Now()
	for ctx.Err() == nil {
		if !f.reads() || f.settling(s) {
			wait.For(ctx, roleEvery)
			f.restedFrom[s] = time.Now()
			continue
		}
		n, err := f.step(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRestored) || errors.Is(err, errOvertaken) {
			f.restedFrom[s] = time.Now()
			continue
		}
		f.note(s, err)
		if err != nil {
			b.Max = f.backOffMost()
			b.Pause(ctx)
			f.restedFrom[s] = time.Now()
			continue
		}
		b.Reset()
		f.restedFrom[s] = time.Now()
		if n > 0 {
			wait.For(ctx, settle)
		}
	}
}

// backOffMost bounds the pause after an error.
func (f *Follower) backOffMost() time.Duration {
	if f.o.ranked(f.o.Peers()) {
		return backOffMax
	}
	return backOffOthers
}

// step makes one call for the stream and returns how many changes it brought.
func (f *Follower) step(ctx context.Context, s Stream) (int, error) {
	next := f.o.State.next(s)
	if next.Offset == 0 && !f.begun(s) {
		return 0, f.snapshot(ctx, s)
	}
	began := time.Now()
	b, err := f.readChanges(ctx, s, next)
	if time.Since(began) < atOnce {
		b.Age = time.Since(f.restedFrom[s])
	}
	// What a later epoch holds at this offset does not follow what is known.
	if errors.Is(err, ErrExpired) || b.Epoch > next.Epoch {
		return 0, f.snapshot(ctx, s)
	}
	if err != nil {
		return 0, err
	}
	if b.earlierThan(next.Epoch) {
		return 0, errEarlierEpoch
	}
	f.o.State.applyBatch(s, b, "store")
	return len(b.Records), nil
}

// readChanges waits for changes from a position on, until the store is known to be in a later
// epoch.
func (f *Follower) readChanges(ctx context.Context, s Stream, next registry.Position) (Batch, error) {
	held := f.wait(s)
	f.count()
	waits, end := context.WithCancelCause(ctx)
	defer end(nil)
	call, cancel := context.WithTimeout(waits, held+callSlack)
	defer cancel()
	f.hang(s, next, end)
	defer f.hang(s, next, nil)
	began := time.Now()
	b, err := f.o.Store.Read(call, s, next.Offset, held)
	if cause := context.Cause(waits); err != nil && (errors.Is(cause, errRestored) || errors.Is(cause, errOvertaken)) {
		return Batch{}, cause
	}
	if s == Targets {
		f.noteAnswer(err, began, held)
	}
	return b, err
}

// noteAnswer notes whether a read of targets, which had a time to wait, was answered. One that was
// late tells that the store did not answer meanwhile.
func (f *Follower) noteAnswer(err error, began time.Time, held time.Duration) {
	now := time.Now()
	f.mu.Lock()
	if err != nil && !errors.Is(err, ErrExpired) {
		f.answering = time.Time{}
		f.mu.Unlock()
		return
	}
	switch late := now.Sub(began) > held+lateAnswer; {
	case late, f.answering.IsZero() && held < targetsWait:
		f.answering = now
	case f.answering.IsZero():
		f.answering = began // the instance has become a reader meanwhile
	}
	span := registry.Span{From: f.answering, Until: now}
	f.mu.Unlock()
	f.o.State.recordAnswered(span)
}

// hang remembers how the stream's read is ended; end is nil once it has ended.
func (f *Follower) hang(s Stream, from registry.Position, end context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hanging[s] = hangingRead{end: end, number: f.hanging[s].number + 1, from: from}
}

func (f *Follower) snapshot(ctx context.Context, s Stream) error {
	f.count()
	call, cancel := context.WithTimeout(ctx, 2*callSlack)
	defer cancel()
	b, err := f.o.Store.Snapshot(call, s)
	if err != nil {
		return err
	}
	if b.earlierThan(f.o.State.next(s).Epoch) {
		return errEarlierEpoch
	}
	f.o.State.applySnapshot(s, b, "store snapshot")
	f.mu.Lock()
	f.read[s] = true
	f.mu.Unlock()
	return nil
}

// begun tells whether the stream was read before; one that is empty is then read
// from its first record on.
func (f *Follower) begun(s Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read[s]
}

func (f *Follower) count() {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
}

// wait is how long the next read of a stream waits for a change.
func (f *Follower) wait(s Stream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.log[s] {
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

// note records whether the store answered, and tells the others if that is news.
func (f *Follower) note(s Stream, err error) {
	before := f.Log()
	f.record(s, err)
	if f.Log() != before && f.o.Tell != nil {
		f.o.Tell()
	}
}

func (f *Follower) record(s Stream, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log[s] = mesh.LogAvailable
	if err != nil {
		f.log[s] = mesh.LogUnavailable
	}
	lost := f.log[Documents] == mesh.LogUnavailable || f.log[Targets] == mesh.LogUnavailable
	switch {
	case lost && !f.lost:
		eventlog.Error(eventlog.StoreUnreachable, err, "stream", s.String())
	case !lost && f.lost:
		eventlog.Info(eventlog.StoreReachable, "stream", s.String())
	}
	f.lost = lost
}
