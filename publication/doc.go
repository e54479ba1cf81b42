// Package publication folds the log's configuration stream into the state
// that is in force: a contract for each customer and the announced targets of
// each service. It is pure: the same records give the same state everywhere.
//
// Operators append records. Each names a publication id, chosen by the
// operator's command, and the revision it is based on: the offset of the
// record that it replaces, or NoRevision. The first record in log order whose
// base is current wins, and its own offset becomes the new revision. Every
// other record is refused by a typed Decision, which is the same for everyone
// who reads the stream, so that two operators at once, a lost reply or an
// append that takes effect late are all settled by reading the stream back.
//
// A State moves by offset only, upwards and without gaps. What it has applied
// can therefore never be replaced by something older. Since the log keeps its
// records for a limited time, a checkpoint, the whole state at an offset, is
// appended now and then; a State restored from a checkpoint or from a peer's
// snapshot equals one that folded every record.
//
// Compatibility: a record's decision must be the same in every version that
// runs beside another, and every version must take the checkpoints and
// snapshots of the others. Rules of contract.Check may therefore be changed
// only together with a new contract.Format.
package publication
