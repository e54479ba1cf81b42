// Package claim decides, through the platform's log, which instance may run
// the operation that an idempotency key names.
//
// # The claim
//
// Keys are spread over partitions, one log stream each. The instance that
// receives a request (the holder) hands a claim to a recorder of the key's
// partition. The recorder appends many claims in one record and reads the
// stream back. Of the claims for one key the first in log order wins, and only
// a holder that was told so dispatches. That a claim at some offset is the
// first is a fact about an immutable log: it does not matter which recorder
// says so, nor whether several think that they record the partition, nor how
// long anybody was paused. No lease is involved. An append whose reply was
// lost is settled by reading the stream back; a claim that is appended twice
// counts once.
//
// # Not run
//
// "Not run" is said of a key, not only of one attempt, for the caller does not
// know that there were two. A holder says it in two cases alone.
//
//   - Its claim is the winning one and it has given it up in its own memory,
//     for ever. As long as that claim stands in the log nobody else can win
//     the key. Only after the caller was told does the holder append the
//     withdrawal that opens the key again. The claim itself is the fence.
//   - The log is out of reach, and a survey says so: a recorder has read the
//     whole history of the key as of some time and holds no attempt that may
//     have run, and every instance that may have been alive since then answers
//     that it holds none either. Each that answers keeps from beginning one
//     for HoldOff, which is longer than the surveying instance takes to tell
//     its caller. Any doubt makes the answer unknown, with the word that a
//     repeat under the same key is safe.
//
// A claim names its base: how far the holder knew the stream when the request
// arrived. A withdrawal at or after the base defeats the claim. So no request
// that reached an instance before "not run" was said can run afterwards,
// however late its claim reaches the log.
//
// # Unknown
//
// A holder that is gone leaves its claim without an outcome. A recorder then
// appends that the outcome is presumed unknown. If the holder was only out of
// reach, its own later report outranks the presumption. Nothing else but an
// operator's settlement does. Unknown outcomes and live claims never expire;
// decided ones do after the contract's repeat window.
//
// # Retention
//
// The log forgets, keys must not. Recorders append checkpoints of a
// partition's state well before the records in it expire. A Fold that starts
// where records have expired is not covered until it has read a checkpoint
// that reaches back far enough, and an uncovered Fold decides nothing: new
// claims are refused. If a whole fleet was away for longer than the retention,
// an operator must accept the lost history (see docs/OPERATIONS-UNKNOWN.md).
//
// Everything here is pure: the clock and the messages are passed in. Package
// operate does the input and output.
package claim
