package statesync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// Stream identifies one of the store's change streams.
type Stream uint8

const (
	// Documents carries the configuration documents.
	Documents Stream = iota
	// Targets carries the target entries.
	Targets
	streamCount
)

// String returns the name of the stream in logs and metrics.
func (s Stream) String() string { return [...]string{"documents", "targets"}[s] }

// Streams returns all streams.
func Streams() []Stream { return []Stream{Documents, Targets} }

// Record is a decoded change of a stream. Either Document or ID is set, or neither if the change
// does not concern the instance. Err is set if the record could not be decoded; Document and Entry
// are then nil, and ID is set if the key could be read.
type Record struct {
	Offset   registry.Offset
	Document *document.Document
	// ID is the target's ID; Entry is nil if its entry was removed.
	ID    fleet.TargetID
	Entry *registry.Entry
	Err   error
}

// Batch is a response of the store. Next is the offset after its records, or after the snapshot,
// in the given epoch.
type Batch struct {
	Next    registry.Offset
	Epoch   registry.Epoch // 0 if the store reports none
	Records []Record
	// Dropped is the number of further records that could not be decoded and are not in Records.
	Dropped int
	// More is set if the store has further records after these.
	More bool
	// MaxAge is the upper bound of the records' age, set if the reader knows that the records were
	// written while it did not read.
	MaxAge time.Duration
}

// SnapshotReader reads the newest record of each key of a stream, in parts.
type SnapshotReader interface {
	// Next returns the next part, and whether it is the last one. A part that failed may be read again. Each
	// part names the same Next, the end of the log as of the first one: the parts together contain no changes
	// from there on, or only some of them.
	Next(ctx context.Context) (part Batch, last bool, err error)
}

// ErrRestarted reports that the store was restored while a snapshot was read: its parts do not fit together.
var ErrRestarted = errors.New("the store was restored between two parts of a snapshot")

// ErrExpired reports that the store does not have the requested records: it no longer keeps them,
// or it was restored from an older copy that lacks them.
var ErrExpired = errors.New("records expired")

// Store is the part of the platform's API that the fleet uses. Calls record the arrival of their
// responses by transfer.Progress, since big ones take a while.
type Store interface {
	// Snapshot returns a reader of the newest records, which has read nothing yet.
	Snapshot(s Stream) SnapshotReader
	// Read returns changes from an offset on. It waits up to the given time for the first one.
	Read(ctx context.Context, s Stream, from registry.Offset, wait time.Duration) (Batch, error)
	// Addresses returns the addresses announced by instances.
	Addresses(ctx context.Context) ([]string, error)
	// Announce adds an instance's address and returns the store's current epoch.
	Announce(ctx context.Context, addr string) (registry.Epoch, error)
	// CloseIdleConnections closes the connections kept from earlier calls, so that the next call
	// opens a new one.
	CloseIdleConnections()
}
