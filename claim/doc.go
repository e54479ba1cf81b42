// Package claim decides, through the platform's log, which instance may run
// the operation of an idempotency key.
//
// # Claims
//
// Keys are spread over partitions, one log stream each. The instance that
// receives a request (the holder) submits a claim to a recorder of the key's
// partition. The recorder appends many claims in one record and reads the
// stream back. The first claim for a key in log order wins, and only a holder
// that has received this verdict dispatches. The log is immutable, so the
// verdict does not depend on which recorder reports it, on several recorders
// serving one partition, or on pauses of a process. No lease is involved. An
// append whose reply was lost is resolved by reading the stream back; a claim
// that is appended twice counts once.
//
// # Not run
//
// "Not run" applies to a key, not to a single attempt, because the caller does
// not know of several attempts. A holder reports it in two cases only.
//
//   - Its claim won and it has permanently abandoned it in memory. While that
//     claim stands in the log, nobody else can win the key: the claim is the
//     fence. The holder appends the withdrawal that frees the key only after
//     it has responded to the caller.
//   - The log is unavailable and a survey proves it: a recorder has read the
//     whole history of the key up to some time and has no attempt that may
//     have run, and every instance that may have been alive since then reports
//     that it has none either. Each instance that responds starts no attempt
//     for HoldOff, which is longer than the surveying instance takes to
//     respond to its caller. In any doubt the outcome is unknown, and the
//     response says that repeating the request under the same key is safe.
//
// A claim carries its base: the offset up to which the holder had read the
// stream when the request arrived. A withdrawal at or after the base defeats
// the claim. A request that reached an instance before "not run" was reported
// can therefore not run afterwards, however late its claim reaches the log.
//
// # Unknown
//
// If a holder disappears and its claim has no outcome, a recorder appends that
// the outcome is presumed unknown. If the holder was only unreachable, its own
// later report overrides the presumption. Otherwise only an operator's
// settlement does. Unknown outcomes and live claims never expire; decided ones
// expire after the contract's repeat window.
//
// # Retention
//
// Log records expire, but keys must not be lost. Recorders append checkpoints
// of a partition's state well before its records expire. A Fold that starts
// after expired records is not covered until it has read a checkpoint that
// reaches back far enough. An uncovered Fold decides nothing: new claims are
// refused. If the whole fleet was down for longer than the retention, an
// operator must accept the lost history (see docs/OPERATIONS-UNKNOWN.md).
//
// The package does no input or output: the clock and the messages are passed
// in. Package operate does the input and output.
package claim
