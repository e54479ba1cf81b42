// Package gateway is an instance of the gateway: it takes callers' requests,
// finds their route in the document in force, places each on a target and
// returns the target's whole answer.
//
// What the request path decides by is kept in Knowledge, one table for each kind
// of entity: estimates of targets, load, paths, budgets. Packets of other
// instances and the instance's own attempts update it; a tick drops what is old. Where a
// target is chosen stands in choice.go, how a failure becomes a belief in learn.go (what
// an attempt says) and evidence.go (what it changes), whether there is a further attempt
// in race.again, and what a caller is refused for in call.serve.
//
// What holds for each request:
//
//   - work that must not repeat is sent to a further target only if nothing of it
//     left the instance or the target said that it did not run it;
//   - an answer is passed on whole or not at all, and only if it names the request;
//   - a refusal (503) is given only if no target may have run the request;
//   - a request that is given up is answered at once.
package gateway
