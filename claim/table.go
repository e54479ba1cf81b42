package claim

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// TableConfig bounds an instance's table of attempts.
type TableConfig struct {
	// MaxAttempts bounds the attempts held, including those whose outcome
	// is not yet in the log. Default 20000. Beyond it new ones are refused.
	MaxAttempts int
	// MaxSize bounds the memory of responses that are not yet in the log, in
	// bytes. Default 32 MiB. Beyond it new attempts are refused.
	MaxSize int64
	// HoldOff is how long an instance starts no attempt for a key after it
	// responded to a survey, and no attempt at all after it announced itself
	// to another instance. Default 5 s.
	HoldOff time.Duration
	// NotRunTimeout is how long after the start of a survey an instance may
	// still report "not run". Default 1 s; it must be far below HoldOff.
	NotRunTimeout time.Duration
	// MaxHolds bounds the keys held off. Default 50000. Beyond it an
	// instance reports the key as live, so the requester reports unknown.
	MaxHolds int
}

// WithDefaults fills in the defaults.
func (c TableConfig) WithDefaults() TableConfig {
	setDefault(&c.MaxAttempts, 20_000)
	setDefault(&c.MaxSize, 32<<20)
	setDefault(&c.HoldOff, 5*time.Second)
	setDefault(&c.NotRunTimeout, time.Second)
	setDefault(&c.MaxHolds, 50_000)
	return c
}

// Attempt is an instance's attempt to run the operation of a key. Only the
// process that made it may dispatch it, from its own memory.
type Attempt struct {
	ID     ID
	Key    operation.Key
	Digest operation.Digest
	// Base is the offset up to which the instance had read the stream when
	// the request arrived.
	Base    logservice.Offset
	Window  time.Duration
	Service fleet.ServiceID
	Route   string
	Arrived time.Time

	op     operation.Operation
	target fleet.TargetID
	answer *operation.Answer
	// exposed is set while the claim may be in the log or may still reach it.
	exposed bool
	// won is set once the claim was found to stand in the log.
	won bool
}

// State returns the attempt's state.
func (a *Attempt) State() operation.State { return a.op.State() }

// Answer returns the target's complete response, or nil before Completed.
func (a *Attempt) Answer() *operation.Answer { return a.answer }

// Fenced reports whether the attempt's claim stands in the log, so that nobody
// else can win the key before the attempt is withdrawn.
func (a *Attempt) Fenced() bool { return a.won }

// Entry returns an entry of a kind about the attempt.
func (a *Attempt) Entry(kind Kind) Entry {
	return Entry{
		Kind: kind, Key: a.Key, Claim: a.ID, Digest: a.Digest, Base: a.Base,
		Window: a.Window, Service: a.Service, Route: a.Route, Target: a.target,
	}
}

// Admission is the result of Begin.
type Admission uint8

const (
	// Begun means that a new attempt may claim the key.
	Begun Admission = iota + 1
	// Joined means that the instance already has an attempt for the key.
	Joined
	// DifferentRequest means that the attempt for the key is for another request.
	DifferentRequest
	// HeldOff means that a hold-off forbids new attempts for the key.
	HeldOff
	// Full means that the table is full or sealed.
	Full
)

// Table holds one instance's attempts. It is not safe for use by several
// goroutines.
type Table struct {
	cfg    TableConfig
	self   fleet.Holder
	seq    uint64
	byKey  map[operation.Key]*Attempt
	size   int64
	holds  map[operation.Key]time.Time
	sealed bool
	// opensAt is when the first attempt may begin; zero until Announced.
	opensAt time.Time
}

// NewTable returns the table of a process. It begins no attempt before
// HoldOff has passed since Announced.
func NewTable(cfg TableConfig, self fleet.Holder) *Table {
	return &Table{
		cfg: cfg.WithDefaults(), self: self,
		byKey: map[operation.Key]*Attempt{}, holds: map[operation.Key]time.Time{},
	}
}

// Len returns how many attempts are held.
func (t *Table) Len() int { return len(t.byKey) }

// Config returns the bounds with their defaults.
func (t *Table) Config() TableConfig { return t.cfg }

// Announced records that another instance has this one in its view, or that no
// other exists. An earlier survey may have missed this instance, and its result
// may be reported for NotRunTimeout; later surveys query this instance.
func (t *Table) Announced(now time.Time) {
	if t.opensAt.IsZero() {
		t.opensAt = now.Add(t.cfg.HoldOff)
	}
}

// Open reports whether attempts may begin.
func (t *Table) Open(now time.Time) bool {
	return !t.opensAt.IsZero() && !now.Before(t.opensAt) && !t.sealed
}

// Seal refuses all further attempts.
func (t *Table) Seal() { t.sealed = true }

// Begin starts an attempt for a key or returns the existing one.
func (t *Table) Begin(now time.Time, plan Attempt) (*Attempt, Admission) {
	if a := t.byKey[plan.Key]; a != nil {
		if a.Digest != plan.Digest {
			return a, DifferentRequest
		}
		return a, Joined
	}
	if t.opensAt.IsZero() || now.Before(t.opensAt) || t.heldOff(now, plan.Key) {
		return nil, HeldOff
	}
	if t.sealed || len(t.byKey) >= t.cfg.MaxAttempts || t.size >= t.cfg.MaxSize {
		return nil, Full
	}
	t.seq++
	a := &plan
	a.ID = ID{Holder: t.self, Seq: t.seq}
	a.Arrived = now
	a.op = operation.New()
	t.byKey[a.Key] = a
	return a, Begun
}

func (t *Table) heldOff(now time.Time, key operation.Key) bool {
	until, ok := t.holds[key]
	if ok && !now.Before(until) {
		delete(t.holds, key)
		return false
	}
	return ok
}

// Get returns the attempt held for a key.
func (t *Table) Get(key operation.Key) (*Attempt, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// Find returns the attempt of a claim, if it is still held.
func (t *Table) Find(id ID, key operation.Key) (*Attempt, bool) {
	a, ok := t.byKey[key]
	if !ok || a.ID != id {
		return nil, false
	}
	return a, true
}

// Dispatch moves a winning attempt to the dispatched state. It is called right before the
// first byte is written, and returns true at most once for an attempt: not
// after Abandon, and not without a winning verdict for this very claim.
func (t *Table) Dispatch(a *Attempt, v Verdict) bool {
	if v != Won {
		return false
	}
	a.won = true
	if a.op.Apply(operation.Win) != nil {
		return false
	}
	return a.op.Apply(operation.Dispatch) == nil
}

// Abandon permanently gives an attempt up. It returns false if the attempt was
// dispatched.
func (t *Table) Abandon(a *Attempt) bool {
	return a.op.Apply(operation.Abandon) == nil || a.op.State() == operation.NotRun
}

// Fence records that an abandoned attempt's claim stands in the log.
func (t *Table) Fence(a *Attempt) { a.won = true }

// Finish records how a dispatched attempt ended. The answer is used for
// Completed only.
func (t *Table) Finish(a *Attempt, out fleet.Outcome, target fleet.TargetID, answer *operation.Answer) {
	a.target = target
	ev := operation.Lose
	switch out {
	case fleet.Completed:
		ev = operation.Complete
	case fleet.NotRun:
		ev = operation.Refuse
	}
	if err := a.op.Apply(ev); err != nil {
		panic("claim: " + err.Error())
	}
	if out == fleet.Completed {
		a.answer = answer
		t.size += int64(len(answer.Body))
	}
}

// Outcome returns the entry that records how an attempt ended, and false while
// it has not ended. Response bodies above maxAnswer bytes are omitted. A
// withdrawal must not be sent before "not run" was reported to the caller.
func (t *Table) Outcome(a *Attempt, maxAnswer int) (Entry, bool) {
	switch a.op.State() {
	case operation.NotRun:
		return a.Entry(Withdraw), true
	case operation.Unknown:
		return a.Entry(Lose), true
	case operation.Completed:
		e := a.Entry(Complete)
		if len(a.answer.Body) <= maxAnswer {
			e.Answer = a.answer
		}
		return e, true
	}
	return Entry{}, false
}

// Forget drops an ended attempt whose claim lost or whose outcome was read back
// from the log.
func (t *Table) Forget(a *Attempt) {
	if t.byKey[a.Key] != a || !a.op.State().Final() {
		return
	}
	delete(t.byKey, a.Key)
	if a.answer != nil {
		t.size -= int64(len(a.answer.Body))
	}
}

// Survey reports whether the instance holds an attempt for the key that ran or
// may still run. If not, the instance starts none for HoldOff.
func (t *Table) Survey(now time.Time, key operation.Key) (live bool) {
	a := t.byKey[key]
	if a != nil && a.op.State() != operation.NotRun {
		return true
	}
	if len(t.holds) >= t.cfg.MaxHolds {
		t.sweep(now)
	}
	if len(t.holds) >= t.cfg.MaxHolds {
		return true
	}
	t.holds[key] = now.Add(t.cfg.HoldOff)
	return false
}

// sweep drops the expired holds.
func (t *Table) sweep(now time.Time) {
	for key, until := range t.holds {
		if !now.Before(until) {
			delete(t.holds, key)
		}
	}
}
