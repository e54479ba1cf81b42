package claim

import "github.com/clementinereel/clementinereel/operation"

// Step is what the holder of an attempt does after a recorder's verdict.
type Step uint8

const (
	// StepDispatch means that the holder, and it alone, must dispatch now.
	StepDispatch Step = iota + 1
	// StepNotRun means that not run is true and may be told; the attempt is
	// withdrawn after that.
	StepNotRun
	// StepFollow means that another claim runs; its holder has the answer.
	StepFollow
	// StepReplay means that the operation has an outcome on record.
	StepReplay
	// StepOtherBody means that the key belongs to another request.
	StepOtherBody
	// StepRepeat means that this request is too old to claim the key: another
	// attempt was given up since it arrived. A repeat may claim it.
	StepRepeat
	// StepSurvey means that the attempt is given up and that only a survey
	// can tell whether not run is true.
	StepSurvey
)

// Submitted notes that the attempt's claim has been handed out. From now on it
// may reach the log at any time.
func (t *Table) Submitted(a *Attempt) { a.exposed = true }

// Withheld notes that the only recorder that was given the attempt's claim has
// certainly not appended it.
func (t *Table) Withheld(a *Attempt) { a.exposed = false }

// Exposed tells whether the attempt's claim may be in the log, or get there,
// so that the attempt must be withdrawn once it is given up.
func (a *Attempt) Exposed() bool { return a.exposed }

// Resolve applies a recorder's verdict to an attempt. An attempt that can no
// longer do anything is forgotten.
func (t *Table) Resolve(a *Attempt, v Verdict, op Op) Step {
	switch v {
	case Won:
		return t.resolveWon(a)
	case Lost:
		return t.resolveLost(a, op)
	case Mismatch:
		t.drop(a)
		return StepOtherBody
	case Outdated:
		t.drop(a)
		return StepRepeat
	}
	t.Abandon(a)
	return StepSurvey
}

func (t *Table) resolveWon(a *Attempt) Step {
	if t.Dispatch(a, Won) {
		return StepDispatch
	}
	return t.fenced(a)
}

// fenced concludes from a standing claim that an abandoned attempt is not run.
func (t *Table) fenced(a *Attempt) Step {
	a.won = true
	if a.op.State() == operation.NotRun {
		return StepNotRun
	}
	return StepFollow
}

func (t *Table) resolveLost(a *Attempt, op Op) Step {
	if op.Claim != a.ID {
		t.drop(a)
		return followOrReplay(op)
	}
	// The claim won, and others decided it: it must not be dispatched now.
	t.Abandon(a)
	if op.State == operation.Unknown && op.Presumed {
		return t.fenced(a)
	}
	t.Forget(a)
	return followOrReplay(op)
}

func followOrReplay(op Op) Step {
	if op.State.Final() {
		return StepReplay
	}
	return StepFollow
}

// drop forgets an attempt whose claim is dead: it was judged at its offset and
// lost, and whatever copy of it comes later is older than what has won.
func (t *Table) drop(a *Attempt) {
	if t.Abandon(a) {
		t.Forget(a)
	}
}
