package logservice

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Offset is the position of a record in its stream. The first record of a
// stream has offset 0; offsets have no gaps.
type Offset int64

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	// Time is when the log accepted the record, by the log's clock.
	Time time.Time
	Data []byte
}

// Batch is what one read of a stream returned.
type Batch struct {
	// First is the offset of the oldest record that the log still keeps.
	First Offset
	// Next is the offset that the next append to the stream will get.
	Next    Offset
	Records []Record
}

var (
	// ErrExpired tells that records from the requested offset on are no
	// longer all kept; Batch.First says where the stream now begins.
	ErrExpired = errors.New("records expired")
	// ErrRefused tells that an append certainly had no effect.
	ErrRefused = errors.New("append refused")
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record to the end of a stream and returns its offset.
	// After any error but ErrRefused the record may have been added, or may
	// still be added later.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns records from an offset on, in order, at most limit of
	// them. If there is none yet it waits up to wait for the first. With
	// ErrExpired the batch's First and Next are set.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// ListedState is an instance's state in the platform's list.
type ListedState string

const (
	// Live instances run, as far as the platform knows.
	Live ListedState = "live"
	// Leaving instances will stop soon or have stopped.
	Leaving ListedState = "leaving"
)

// Listed is one entry of the platform's list of instances.
type Listed struct {
	ID fleet.InstanceID `json:"id"`
	// Addr is the IP address and port at which peers reach the instance.
	Addr  string      `json:"addr"`
	Zone  fleet.Zone  `json:"zone"`
	State ListedState `json:"state"`
}

// List is the platform's list of instances. It lags behind the truth.
type List interface {
	Instances(ctx context.Context) ([]Listed, error)
}
