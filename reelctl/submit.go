package reelctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// Outcomes of a change that no verdict of the fold stands for.
const (
	// NotAppended means that the log did not answer before anything was
	// appended: nothing changed.
	NotAppended publication.Verdict = "not-appended"
	// NotKnown means that the record may have been appended, or may be yet.
	NotKnown publication.Verdict = "not-known"
)

// Result is what became of a change.
type Result struct {
	Verdict publication.Verdict `json:"verdict"`
	// ID is the publication id.
	ID       string           `json:"id"`
	Customer fleet.CustomerID `json:"customer,omitempty"`
	Target   fleet.TargetID   `json:"target,omitempty"`
	// Revision is the new revision of an accepted change.
	Revision logservice.Offset `json:"revision"`
	// Current is the revision that was in force when the change was judged,
	// and CurrentID its publication; Revision -1 means none.
	Current   logservice.Offset `json:"current"`
	CurrentID string            `json:"current_id,omitempty"`
	// Differences are those between the contract in force and the refused one.
	Differences []contract.Difference `json:"differences,omitempty"`
	Message     string                `json:"message,omitempty"`
}

func newResult(d publication.Decision) Result {
	r := Result{
		Verdict: d.Verdict, ID: d.ID, Customer: d.Customer, Target: d.Target,
		Revision: publication.NoRevision, Current: d.Current, CurrentID: d.CurrentID, Message: d.Message,
	}
	switch d.Verdict {
	case publication.Accepted:
		r.Revision = d.Offset
	case publication.Repeated:
		r.Revision = d.Current
	}
	return r
}

// code returns the exit code for the result.
func (r Result) code() int {
	switch r.Verdict {
	case publication.Accepted:
		return ExitOK
	case publication.Repeated:
		if r.Revision != publication.NoRevision {
			return ExitOK
		}
	case publication.Conflict:
		return ExitConflict
	case NotAppended, NotKnown:
		return ExitNotKnown
	}
	return ExitRefused
}

// finish prints the result and returns its exit code.
func (r Result) finish(a *App, o Output) error {
	if err := o.print(a, r, r.text); err != nil {
		return err
	}
	if code := r.code(); code != ExitOK {
		return &ExitError{Code: code}
	}
	return nil
}

func (r Result) text(w io.Writer) {
	fmt.Fprintf(w, "%s: publication %s", r.Verdict, r.ID)
	if r.Customer != "" {
		fmt.Fprintf(w, ", customer %s", r.Customer)
	}
	if r.Target != "" {
		fmt.Fprintf(w, ", target %s", r.Target)
	}
	if r.Verdict == publication.Accepted {
		fmt.Fprintf(w, ", revision %d", r.Revision)
	}
	fmt.Fprintln(w)
	if r.Message != "" {
		fmt.Fprintln(w, r.Message)
	}
	if r.Verdict == publication.Conflict && r.CurrentID != "" {
		fmt.Fprintf(w, "in force: revision %d, publication %s\n", r.Current, r.CurrentID)
	}
	for _, d := range r.Differences {
		fmt.Fprintln(w, "  "+d.String())
	}
	if r.Verdict == NotKnown {
		fmt.Fprintf(w, "ask again: reelctl publish --id %s\n", r.ID)
	}
}

// change is a record to be submitted.
type change struct {
	// id is the publication id.
	id string
	// earlier tells that the id may have been submitted before.
	earlier bool
	// record makes the record from the state that it will be judged on.
	record func(id string, s *publication.State) ([]byte, error)
}

// newChange returns a change with the given id, or with a new one.
func newChange(id string, record func(id string, s *publication.State) ([]byte, error)) change {
	if id != "" {
		return change{id: id, earlier: true, record: record}
	}
	return change{id: uuid.NewString(), record: record}
}

// submit appends a record if it would be accepted, and finds out what became
// of it.
func submit(ctx context.Context, log logservice.Log, c change) (Result, *stream, error) {
	s, err := readStream(ctx, log)
	if err != nil {
		return c.unread(err), nil, nil
	}
	if d, ok := s.find(c.id); ok {
		return newResult(d), s, nil
	}
	data, err := c.record(c.id, s.state)
	if err != nil {
		return Result{}, nil, &ExitError{Code: ExitRefused, Err: err}
	}
	trial := s.state.Clone().Apply(logservice.Record{Offset: s.state.Next(), Time: time.Now(), Data: data})
	if trial.Verdict != publication.Accepted {
		return newResult(trial), s, nil
	}
	return s.append(ctx, c, data), s, nil
}

// unsettled is a result without a decision.
func (c change) unsettled(v publication.Verdict, message string) Result {
	return Result{Verdict: v, ID: c.id, Revision: publication.NoRevision, Current: publication.NoRevision, Message: message}
}

// unread is the result when the log did not answer before anything was
// appended by this command.
func (c change) unread(err error) Result {
	if c.earlier {
		return c.unsettled(NotKnown, "the log did not answer: nothing was appended now; an earlier append may have taken effect: "+err.Error())
	}
	return c.unsettled(NotAppended, "the log did not answer: nothing was appended: "+err.Error())
}

// append appends a record and reads the stream back.
func (s *stream) append(ctx context.Context, c change, data []byte) Result {
	err := s.appendUnlessRefused(ctx, data)
	if errors.Is(err, logservice.ErrRefused) && !c.earlier {
		return c.unsettled(NotAppended, "the log refused the append, nothing changed: "+err.Error())
	}
	if errors.Is(err, logservice.ErrRefused) {
		return c.unsettled(NotKnown, "the log refused the append; an earlier one may yet take effect: "+err.Error())
	}
	d, err := s.await(ctx, c.id)
	if err != nil {
		return c.unsettled(NotKnown, "the record may have been appended, or may be yet; the log did not answer: "+err.Error())
	}
	return newResult(d)
}

// appendUnlessRefused appends a record, and again while the log refuses it for
// its rate.
func (s *stream) appendUnlessRefused(ctx context.Context, data []byte) error {
	for {
		_, err := s.log.Append(ctx, publication.Stream, data)
		if !errors.Is(err, logservice.ErrRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readRetry):
		}
	}
}
