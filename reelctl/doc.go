// Package reelctl implements the operators' commands on contracts and targets.
//
// Every change is one record appended to the log's configuration stream. A
// command folds the stream, tries its record on a copy of the state, appends
// it only if it would be accepted, and reads the stream back for the record's
// publication id: only the fold in log order tells what became of it. If the
// log gives no answer in time the command says so, and prints the id with
// which to ask again.
package reelctl
