package ticket

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

// Config bounds a table of tickets.
type Config struct {
	// MaxTickets bounds the tickets held, issued, in flight and finished, and
	// those taken over from others. Default 50000. Beyond it no ticket is
	// issued; none is forgotten for it.
	MaxTickets int
	// MaxSize bounds the memory of the answers held, in bytes. Default 32 MiB.
	// Beyond it no ticket is issued.
	MaxSize int64
	// UnusedLife is how long a ticket may wait for its operation. Default 10
	// minutes.
	UnusedLife time.Duration
}

// WithDefaults fills in the defaults.
func (c Config) WithDefaults() Config {
	if c.MaxTickets == 0 {
		c.MaxTickets = 50_000
	}
	if c.MaxSize == 0 {
		c.MaxSize = 32 << 20
	}
	if c.UnusedLife == 0 {
		c.UnusedLife = 10 * time.Minute
	}
	return c
}

// State is what the table holds of one ticket.
type State struct {
	ID     ID
	Digest operation.Digest
	// Operation is where the ticket's operation stands.
	Operation operation.State
	// Answer is the whole answer, once Operation is final.
	Answer *operation.Answer
	// Expires is when the ticket may be forgotten.
	Expires time.Time
}

type entry struct {
	digest  operation.Digest
	op      operation.Operation
	answer  *operation.Answer
	expires time.Time
	window  time.Duration
}

// Decision is what Begin says to an operation under a ticket.
type Decision uint8

const (
	// Run means that the caller of Begin, and nobody else, must dispatch the
	// operation now and Finish it.
	Run Decision = iota + 1
	// Wait means that the operation is in flight.
	Wait
	// Replay means that it has an answer.
	Replay
	// OtherBody means that the ticket was used for another request.
	OtherBody
	// NoRecord means that the table holds nothing of the ticket.
	NoRecord
)

// Table holds the tickets of one home, and the outcomes that it took over from
// homes that stopped. It is not safe for use by several goroutines.
type Table struct {
	cfg     Config
	self    fleet.Holder
	tickets map[ID]*entry
	heir    map[ID]State
	size    int64
	sealed  bool
}

// NewTable returns the table of a process.
func NewTable(cfg Config, self fleet.Holder) *Table {
	return &Table{
		cfg: cfg.WithDefaults(), self: self,
		tickets: map[ID]*entry{}, heir: map[ID]State{},
	}
}

// Len returns how many tickets are held.
func (t *Table) Len() int { return len(t.tickets) + len(t.heir) }

// Issue makes a ticket that is remembered for window after its outcome. It
// returns false if the table is sealed or full.
func (t *Table) Issue(now time.Time, customer fleet.CustomerID, random [RandomLen]byte, window time.Duration) (ID, bool) {
	if t.sealed || t.Len() >= t.cfg.MaxTickets || t.size >= t.cfg.MaxSize {
		return ID{}, false
	}
	id := New(customer, t.self, random)
	t.tickets[id] = &entry{op: operation.New(), expires: now.Add(t.cfg.UnusedLife), window: window}
	return id, true
}

// Begin asks to run an operation under a ticket. It says Run at most once for
// a ticket, and only at the ticket's home.
func (t *Table) Begin(now time.Time, id ID, digest operation.Digest) (Decision, *operation.Answer) {
	if s, ok := t.heir[id]; ok {
		return replay(s.Digest, digest, s.Answer)
	}
	e, ok := t.tickets[id]
	if !ok || e.op.State() == operation.Planned && !now.Before(e.expires) {
		return NoRecord, nil
	}
	switch {
	case e.op.State() == operation.Planned:
		e.digest = digest
		mustApply(&e.op, operation.Win)
		mustApply(&e.op, operation.Dispatch)
		return Run, nil
	case e.op.State() == operation.Dispatched && e.digest == digest:
		return Wait, nil
	}
	return replay(e.digest, digest, e.answer)
}

// replay answers a repeat. A ticket that was never used has no digest.
func replay(held, given operation.Digest, a *operation.Answer) (Decision, *operation.Answer) {
	if held != "" && held != given {
		return OtherBody, nil
	}
	return Replay, a
}

// Finish records the answer of an operation for which Begin said Run.
func (t *Table) Finish(now time.Time, id ID, a operation.Answer) {
	e := t.tickets[id]
	ev := operation.Lose
	switch a.Outcome {
	case fleet.Completed:
		ev = operation.Complete
	case fleet.NotRun:
		ev = operation.Refuse
	}
	mustApply(&e.op, ev)
	e.answer = &a
	e.expires = now.Add(e.window)
	t.size += int64(len(a.Body))
}

// Seal stops the table: no ticket is issued any more, and those not yet used
// become not run, for ever, with the answer given.
func (t *Table) Seal(now time.Time, unused operation.Answer) {
	t.sealed = true
	for _, e := range t.tickets {
		if e.op.State() != operation.Planned {
			continue
		}
		mustApply(&e.op, operation.Abandon)
		e.answer = &unused
		e.expires = now.Add(e.window)
	}
}

// InFlight returns how many operations are dispatched and not finished.
func (t *Table) InFlight() int {
	n := 0
	for _, e := range t.tickets {
		if e.op.State() == operation.Dispatched {
			n++
		}
	}
	return n
}

// Export returns the finished tickets, also those taken over, for an heir.
func (t *Table) Export() []State {
	list := make([]State, 0, t.Len())
	for id, e := range t.tickets {
		if !e.op.State().Final() {
			continue
		}
		list = append(list, State{
			ID: id, Digest: e.digest, Operation: e.op.State(),
			Answer: e.answer, Expires: e.expires,
		})
	}
	for _, s := range t.heir {
		list = append(list, s)
	}
	return list
}

// Import takes over finished tickets of a home that stops. What is already
// held, or not finished, is left out. The bounds of Issue do not apply, for an
// outcome that nobody takes would be lost.
func (t *Table) Import(list []State) {
	for _, s := range list {
		_, own := t.tickets[s.ID]
		_, have := t.heir[s.ID]
		if own || have || !s.Operation.Final() || s.Answer == nil {
			continue
		}
		t.heir[s.ID] = s
		t.size += int64(len(s.Answer.Body))
	}
}

// Sweep drops tickets that were not used in time and outcomes whose repeat
// window is over. Unknown outcomes are dropped likewise: a repeat then gets
// unknown again, for the table has no record.
func (t *Table) Sweep(now time.Time) {
	for id, e := range t.tickets {
		if e.op.State() == operation.Dispatched || now.Before(e.expires) {
			continue
		}
		delete(t.tickets, id)
		if e.answer != nil {
			t.size -= int64(len(e.answer.Body))
		}
	}
	for id, s := range t.heir {
		if now.Before(s.Expires) {
			continue
		}
		delete(t.heir, id)
		t.size -= int64(len(s.Answer.Body))
	}
}

// mustApply applies an event whose legality the caller has checked.
func mustApply(op *operation.Operation, ev operation.Event) {
	if err := op.Apply(ev); err != nil {
		panic("ticket: " + err.Error())
	}
}
