package operation

import (
	"fmt"

	"github.com/clementinereel/clementinereel/fleet"
)

// State is where an operation stands.
type State uint8

const (
	// Planned means that the request arrived and nothing else happened.
	Planned State = iota + 1
	// Claimed means that one holder alone may dispatch the operation.
	Claimed
	// Dispatched means that bytes of the request may have left for a target.
	Dispatched
	// Completed means that the target's whole answer is known.
	Completed
	// NotRun means that no target ran the operation and none will under
	// this claim or ticket.
	NotRun
	// Unknown means that the operation may have run.
	Unknown
	// SettledCompleted means that an operator found that it had run.
	SettledCompleted
	// SettledNotRun means that an operator found that it had not run.
	SettledNotRun
)

var stateNames = [...]string{
	Planned: "planned", Claimed: "claimed", Dispatched: "dispatched",
	Completed: "completed", NotRun: "not-run", Unknown: "unknown",
	SettledCompleted: "settled-completed", SettledNotRun: "settled-not-run",
}

// String returns the state as logs and listings write it.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", uint8(s))
	}
	return stateNames[s]
}

// Final tells whether a repeat of the operation gets the state as its answer.
func (s State) Final() bool {
	return s >= Completed && s <= SettledNotRun
}

// Outcome is what a caller is told of an operation in this state.
func (s State) Outcome() fleet.Outcome {
	switch s {
	case Completed, SettledCompleted:
		return fleet.Completed
	case NotRun, SettledNotRun:
		return fleet.NotRun
	}
	return fleet.Unknown
}

// Event moves an operation from one state to another.
type Event uint8

const (
	// Win records that the claim is the first for its key. Promise: at most
	// one holder wins a key, so at most one ever dispatches.
	Win Event = iota + 1
	// Dispatch comes before the first byte is written to a target. Promise:
	// it happens at most once, and only after Win.
	Dispatch
	// Complete carries the target's whole answer. Promise: each caller who
	// repeats gets this answer, whole.
	Complete
	// Refuse carries the target's own word that it did not run the request.
	// Promise: not run is true, for the target is the authority.
	Refuse
	// Abandon gives the claim up before dispatch, for ever. Promise: not run
	// is true, for Dispatch is impossible from here.
	Abandon
	// Lose records that the outcome cannot be known: no whole answer came, or
	// the holder is gone. Promise: nothing is sent again.
	Lose
	// Report is the holder's late answer after others presumed it gone.
	// Promise: evidence from the holder itself outranks a presumption.
	Report
	// Deny is the holder's late word, after others presumed it gone, that it
	// never dispatched and never will.
	Deny
	// SettleCompleted is an operator's finding that the operation ran.
	SettleCompleted
	// SettleNotRun is an operator's finding that the operation did not run.
	SettleNotRun
)

var eventNames = [...]string{
	Win: "win", Dispatch: "dispatch", Complete: "complete", Refuse: "refuse",
	Abandon: "abandon", Lose: "lose", Report: "report", Deny: "deny",
	SettleCompleted: "settle-completed", SettleNotRun: "settle-not-run",
}

// String returns the event's name.
func (e Event) String() string {
	if e == 0 || int(e) >= len(eventNames) {
		return fmt.Sprintf("event(%d)", uint8(e))
	}
	return eventNames[e]
}

type step struct {
	from State
	by   Event
}

// transitions is the whole table; what is not in it is impossible.
var transitions = map[step]State{
	{Planned, Win}:             Claimed,
	{Planned, Abandon}:         NotRun,
	{Claimed, Dispatch}:        Dispatched,
	{Claimed, Abandon}:         NotRun,
	{Claimed, Lose}:            Unknown,
	{Dispatched, Complete}:     Completed,
	{Dispatched, Refuse}:       NotRun,
	{Dispatched, Lose}:         Unknown,
	{Unknown, Report}:          Completed,
	{Unknown, Deny}:            NotRun,
	{Unknown, SettleCompleted}: SettledCompleted,
	{Unknown, SettleNotRun}:    SettledNotRun,
}

// IllegalTransition tells that an event does not apply to a state.
type IllegalTransition struct {
	From State
	By   Event
}

// Error implements error.
func (e *IllegalTransition) Error() string {
	return fmt.Sprintf("operation %s: %s is not possible", e.From, e.By)
}

// Next returns the state after an event, or *IllegalTransition.
func (s State) Next(e Event) (State, error) {
	next, ok := transitions[step{s, e}]
	if !ok {
		return s, &IllegalTransition{From: s, By: e}
	}
	return next, nil
}

// Operation is one entry of a table of operations. Its state changes through
// Apply alone. The zero value is not usable; New returns a planned one.
type Operation struct {
	state State
}

// New returns a planned operation.
func New() Operation { return Operation{state: Planned} }

// State returns where the operation stands.
func (o Operation) State() State { return o.state }

// Apply moves the operation, or leaves it as it is and returns
// *IllegalTransition.
func (o *Operation) Apply(e Event) error {
	next, err := o.state.Next(e)
	if err != nil {
		return err
	}
	o.state = next
	return nil
}
