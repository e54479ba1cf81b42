package claim

import (
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// applyEntry applies one entry of the record at an offset.
func (f *Fold) applyEntry(at logservice.Offset, e *Entry) {
	op := f.ops[e.Key]
	if op != nil && op.expired(f.now) {
		f.remove(op)
		op = nil
	}
	switch e.Kind {
	case Claim:
		f.claim(op, e)
	case Withdraw:
		f.withdraw(op, e, at)
	case Complete:
		f.complete(op, e)
	case Lose:
		f.lose(op, e)
	case SettleCompleted:
		f.settle(op, e, operation.SettleCompleted)
	case SettleNotRun:
		f.settle(op, e, operation.SettleNotRun)
	}
}

// claim records the first claim for a free key as the winner. A key is free if
// it has no operation, or if the last was withdrawn before the request arrived.
func (f *Fold) claim(op *Op, e *Entry) {
	var withdrawn logservice.Offset
	if op != nil {
		open := op.State == operation.NotRun && e.Claim != op.Claim && e.Base >= op.Withdrawn
		if !open {
			return
		}
		withdrawn = op.Withdrawn
		f.remove(op)
	}
	f.put(&Op{Entry: *e, State: operation.Claimed, Claimed: f.now, Withdrawn: withdrawn})
}

// withdraw frees the key. A withdrawal that arrives before its claim is stored
// in place of the claim.
func (f *Fold) withdraw(op *Op, e *Entry, at logservice.Offset) {
	if op == nil {
		f.put(&Op{Entry: *e, State: operation.NotRun, Claimed: f.now, Decided: f.now, Withdrawn: at + 1})
		f.expire(f.ops[e.Key])
		return
	}
	if op.Claim != e.Claim {
		return
	}
	switch {
	case op.State == operation.Claimed:
		f.transition(op, operation.Abandon, e)
	case op.State == operation.Unknown && op.Presumed:
		f.transition(op, operation.Deny, e)
	default:
		f.contradict(op, operation.SettledCompleted)
		return
	}
	op.Withdrawn = at + 1
}

func (f *Fold) complete(op *Op, e *Entry) {
	if op == nil || op.Claim != e.Claim {
		return
	}
	switch op.State {
	case operation.Claimed:
		// The dispatch is tracked by the holder, not in the stream.
		op.State = operation.Dispatched
		f.transition(op, operation.Complete, e)
	case operation.Unknown:
		f.transition(op, operation.Report, e)
	default:
		f.contradict(op, operation.SettledNotRun)
	}
}

func (f *Fold) lose(op *Op, e *Entry) {
	if op == nil || op.Claim != e.Claim {
		return
	}
	switch {
	case op.State == operation.Claimed:
		f.transition(op, operation.Lose, e)
		op.Presumed = e.Presumed
	case op.State == operation.Unknown && op.Presumed && !e.Presumed:
		// The holder confirms the unknown outcome and names the target.
		op.Presumed = false
		op.Target = e.Target
	}
}

func (f *Fold) settle(op *Op, e *Entry, ev operation.Event) {
	if op == nil || op.Claim != e.Claim || op.State != operation.Unknown {
		return
	}
	op.Operator = e.Operator
	op.Reason = e.Reason
	f.transition(op, ev, e)
}

// contradict marks an operation that an operator settled and whose holder
// reports the opposite outcome.
func (f *Fold) contradict(op *Op, settled operation.State) {
	if op.State == settled {
		op.Contradicted = true
		f.updateOpen(op)
	}
}
