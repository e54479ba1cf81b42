package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/header"
	"github.com/clementinereel/clementinereel/operatecmd"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/reelctl"
)

// confirmed is an instance's answer to a confirmation.
type confirmed struct {
	status  int
	outcome string
	next    operation.NextStep
	ticket  string
}

// confirm sends a confirmation with a header field through an instance.
func (f *Fleet) confirm(i *Instance, field, value string) (confirmed, error) {
	path := f.Route(fleet.Confirmation).PathPrefix + "/x"
	req, err := http.NewRequest(http.MethodPost, i.URL()+path, strings.NewReader(`{"quote":1}`))
	if err != nil {
		return confirmed{}, err
	}
	req.Host = f.Contract.Hosts[0]
	req.Header.Set(field, value)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return confirmed{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var p struct{ Next operation.NextStep }
	_ = json.Unmarshal(body, &p) // a target's answer has none
	return confirmed{
		status: resp.StatusCode, outcome: resp.Header.Get(header.OperationOutcome),
		next: p.Next, ticket: resp.Header.Get(header.OperationTicket),
	}, err
}

// started counts the executions under a key at all confirmation targets.
func (f *Fleet) started(key string) int {
	n := 0
	for _, t := range f.Targets[confirmationService] {
		n += t.Runs()[key].Started
	}
	return n
}

func (f *Fleet) waitStarted(key string) {
	f.t.Helper()
	Eventually(f.t, func() error {
		if f.started(key) == 0 {
			return errors.Errorf("%s has not run yet", key)
		}
		return nil
	})
}

// operations runs a `reelctl operations` command.
func (f *Fleet) operations(args ...string) string {
	f.t.Helper()
	var cmd operatecmd.Cmd
	var out bytes.Buffer
	parser, err := kong.New(&cmd)
	assert.NilError(f.t, err)
	k, err := parser.Parse(append(args, "--platform", f.platformURL))
	assert.NilError(f.t, err)
	assert.NilError(f.t, k.Run(&reelctl.App{Context: context.Background(), Out: &out}))
	return out.String()
}

// TestUnknownOutcomeIsSettled kills an instance whose operation runs. Repeats
// get unknown, nothing runs again, and after the operators' settlement all
// repeats get that.
func TestUnknownOutcomeIsSettled(t *testing.T) {
	t.Parallel()
	f := New(t, Setup{Binaries: binaries})
	f.SetAll(confirmationService, emulator.Behavior{HangPercent: 100, HangRuns: true})
	const key = "quote-4711"
	customer := string(f.Contract.Customer)
	go func() { _, _ = f.confirm(f.Instances[0], header.IdempotencyKey, key) }()
	f.waitStarted(key)
	f.Instances[0].Kill()
	f.SetAll(confirmationService, emulator.Behavior{})
	f.Instances[0].Start()
	f.Instances[0].WaitReady()
	for _, i := range f.Instances {
		Eventually(t, func() error {
			a, err := f.confirm(i, header.IdempotencyKey, key)
			if err == nil && (a.outcome != fleet.Unknown.String() || a.next != operation.AskOperator) {
				err = errors.Errorf("%s answered %+v", i.ID(), a)
			}
			return err
		})
	}
	assert.Equal(t, f.started(key), 1)
	assert.Assert(t, strings.Contains(f.operations("list", "--customer", customer), key))
	f.operations("settle", customer, key, "completed", "--reason", "found in the ledger", "--operator", "test")
	assert.Assert(t, !strings.Contains(f.operations("list"), key))
	for _, i := range f.Instances {
		Eventually(t, func() error {
			a, err := f.confirm(i, header.IdempotencyKey, key)
			if err == nil && a.outcome != fleet.Completed.String() {
				err = errors.Errorf("%s answered %+v", i.ID(), a)
			}
			return err
		})
	}
	assert.Equal(t, f.started(key), 1)
}

// TestTicketOutlivesItsHome stops the home of a ticket while its operation
// runs, with the log down. The caller gets the answer, and repeats get it
// from an heir after the home is gone.
func TestTicketOutlivesItsHome(t *testing.T) {
	t.Parallel()
	slow := emulator.Options{Service: emulator.ServiceTime{Mean: 2e9}}
	f := New(t, Setup{Binaries: binaries, Target: slow})
	f.SetLog(LogRefuses)
	home, others := f.Instances[0], f.Instances[1:]
	issued, err := f.confirm(home, header.Prefer, "ticket")
	assert.NilError(t, err)
	assert.Equal(t, issued.status, http.StatusCreated)
	answers := make(chan confirmed, 1)
	go func() {
		a, _ := f.confirm(others[0], header.OperationTicket, issued.ticket)
		answers <- a
	}()
	f.waitStarted(issued.ticket)
	home.Term()
	assert.Equal(t, (<-answers).outcome, fleet.Completed.String())
	for _, i := range others {
		a, err := f.confirm(i, header.OperationTicket, issued.ticket)
		assert.NilError(t, err)
		assert.Equal(t, a.outcome, fleet.Completed.String(), "%+v", a)
	}
	assert.Equal(t, f.started(issued.ticket), 1)
}
