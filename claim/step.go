package claim

import "github.com/clementinereel/clementinereel/operation"

// Step is what the holder of an attempt does after a recorder's verdict.
type Step uint8

const (
	// StepDispatch means that the holder, and it alone, must dispatch now.
	StepDispatch Step = iota + 1
	// StepNotRun means that "not run" holds and may be reported; the attempt
	// is withdrawn afterwards.
	StepNotRun
	// StepFollow means that another claim runs; its holder has the response.
	StepFollow
	// StepReplay means that the operation has an outcome on record.
	StepReplay
	// StepDifferentRequest means that the key belongs to another request.
	StepDifferentRequest
	// StepRepeat means that the key was withdrawn after this request arrived.
	// A repeated request may claim it.
	StepRepeat
	// StepSurvey means that the attempt is abandoned and that only a survey
	// can decide whether "not run" holds.
	StepSurvey
)

// Submitted records that the attempt's claim was sent to a recorder. From
// now on it may reach the log at any time.
func (t *Table) Submitted(a *Attempt) { a.exposed = true }

// NotAppended records that the only recorder that received the attempt's claim
// has certainly not appended it.
func (t *Table) NotAppended(a *Attempt) { a.exposed = false }

// Exposed reports whether the attempt's claim may be in the log or may still
// reach it, so that an abandoned attempt must be withdrawn.
func (a *Attempt) Exposed() bool { return a.exposed }

// Resolve applies a recorder's verdict to an attempt. An attempt that needs
// no further step is dropped.
func (t *Table) Resolve(a *Attempt, v Verdict, op Op) Step {
	switch v {
	case Won:
		return t.resolveWon(a)
	case Lost:
		return t.resolveLost(a, op)
	case Mismatch:
		t.drop(a)
		return StepDifferentRequest
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

// fenced returns the step for an attempt whose claim stands in the log: an
// abandoned attempt did not run.
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
	// The claim won but was decided by others: it must not be dispatched.
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

// drop abandons and removes an attempt whose claim lost at its offset. Later
// copies of the claim cannot win either, because their base is too old.
func (t *Table) drop(a *Attempt) {
	if t.Abandon(a) {
		t.Forget(a)
	}
}
