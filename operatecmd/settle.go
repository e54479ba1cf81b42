package operatecmd

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
	"github.com/clementinereel/clementinereel/reelctl"
)

const (
	readLimit = 100
	// readBackPause is the pause between looks for an entry in the log.
	readBackPause = 200 * time.Millisecond
	// completed and notRun are the settlements that an operator can give.
	completed = "completed"
)

// readFold reads what the log keeps of a partition.
func readFold(ctx context.Context, log logservice.Log, partition int) (*claim.Fold, error) {
	fold := claim.NewFold(0)
	for {
		b, err := log.Read(ctx, claim.StreamName(partition), fold.Next(), readLimit, 0)
		if errors.Is(err, logservice.ErrExpired) {
			fold = claim.NewFold(b.First)
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range b.Records {
			rec, err := claim.Decode(r)
			if err != nil {
				return nil, err
			}
			fold.Apply(rec)
		}
		if fold.Next() >= b.Next {
			return fold, nil
		}
	}
}

// find reads what is on record of a key.
func find(ctx context.Context, log logservice.Log, key operation.Key, partitions int) (int, claim.Op, bool, error) {
	p := key.Partition(partitions)
	fold, err := readFold(ctx, log, p)
	if err != nil {
		return p, claim.Op{}, false, notKnown(err)
	}
	if !fold.Covered() {
		return p, claim.Op{}, false, notKnown(errors.Errorf("the history of partition %d is lost", p))
	}
	op, ok := fold.Get(key)
	return p, op, ok, nil
}

// SettleCmd settles an unknown outcome.
type SettleCmd struct {
	remote
	Customer fleet.CustomerID `arg:"" help:"The customer."`
	Key      string           `arg:"" help:"The caller's Idempotency-Key."`
	Outcome  string           `arg:"" enum:"completed,not-run" help:"What reconciliation with the target found: completed or not-run."`
	Reason   string           `required:"" help:"The evidence, for those who come after."`
	Operator string           `required:"" env:"USER" help:"Who settles it."`
	// HolderStopped is needed where the instance itself said nothing.
	HolderStopped bool `help:"The process that held the operation has certainly ended. Needed to settle as not-run what the instance did not report itself: a paused process could still send it."`
}

// Run implements the command.
func (c *SettleCmd) Run(a *reelctl.App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	key := operation.Key{Customer: c.Customer, Name: c.Key}
	p, op, ok, err := find(ctx, log, key, c.Partitions)
	if err != nil {
		return err
	}
	if err := c.check(op, ok); err != nil {
		return err
	}
	e := op.Entry
	e.Kind, e.Answer = claim.SettleNotRun, nil
	if c.Outcome == completed {
		e.Kind = claim.SettleCompleted
	}
	e.Operator, e.Reason = c.Operator, c.Reason
	_, appendErr := log.Append(ctx, claim.StreamName(p), claim.Encode([]claim.Entry{e}))
	return c.confirm(ctx, a, log, e, appendErr)
}

// check refuses what the record does not allow.
func (c *SettleCmd) check(op claim.Op, ok bool) error {
	switch {
	case !ok:
		return refused("nothing is on record of key %q of %s", c.Key, c.Customer)
	case op.State == operation.Claimed:
		return refused("the operation is still held by %s; it becomes unknown once the platform no longer lists that process", op.Claim.Holder)
	case op.State != operation.Unknown:
		return refused("the outcome is known: %s", op.State)
	case c.Outcome != completed && op.Presumed && !c.HolderStopped:
		return refused("%s never said whether it sent the operation: make sure that this process has ended, then add --holder-stopped", op.Claim.Holder)
	}
	return nil
}

// confirm reads the settlement back. The append's own reply proves nothing:
// it can be lost, and another operator can have come first.
func (c *SettleCmd) confirm(ctx context.Context, a *reelctl.App, log logservice.Log, e claim.Entry, appendErr error) error {
	for {
		_, op, ok, err := find(ctx, log, e.Key, c.Partitions)
		switch {
		case err == nil && ok && op.Claim == e.Claim && op.State != operation.Unknown:
			return c.report(a, op)
		case errors.Is(appendErr, logservice.ErrRefused):
			return notKnown(errors.Wrap(appendErr, "the log refused the settlement; nothing changed"))
		}
		select {
		case <-ctx.Done():
			return notKnown(errors.New("not known yet whether the settlement is in the log: run the command again"))
		case <-time.After(readBackPause):
		}
	}
}

func (c *SettleCmd) report(a *reelctl.App, op claim.Op) error {
	fmt.Fprintf(a.Out, "%s %s: %s, by %s: %s\n", c.Customer, c.Key, op.State, orDash(op.Operator), orDash(op.Reason))
	if op.Operator != c.Operator || op.Reason != c.Reason || op.State.Outcome().String() != c.Outcome {
		return &reelctl.ExitError{
			Code: reelctl.ExitConflict,
			Err:  errors.New("the outcome was decided otherwise before your settlement"),
		}
	}
	return nil
}

// AdoptCmd accepts that a partition's history is lost.
type AdoptCmd struct {
	remote
	Partition int    `arg:"" help:"The partition."`
	Reason    string `required:"" help:"What happened."`
	Operator  string `required:"" env:"USER" help:"Who accepts it."`
}

// Run implements the command.
func (c *AdoptCmd) Run(a *reelctl.App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	fold, err := readFold(ctx, log, c.Partition)
	if err != nil {
		return notKnown(err)
	}
	if fold.Covered() {
		return refused("the history of partition %d is whole", c.Partition)
	}
	part := claim.Adoption(c.Operator, c.Reason)
	if _, err := log.Append(ctx, claim.StreamName(c.Partition), claim.EncodePart(&part)); err != nil {
		return notKnown(errors.Wrap(err, "run the command again: it is refused if the adoption took effect"))
	}
	fmt.Fprintf(a.Out, "partition %d: history before now is given up, by %s: %s\n", c.Partition, c.Operator, c.Reason)
	return nil
}
