package statesync

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// Cause says what is wrong with a record that names nothing to use.
type Cause string

// Causes, as metrics name them.
const (
	// Unreadable records are cut short or not in the expected form.
	Unreadable Cause = "unreadable"
	// FieldMissing and FieldWrong have a field that is not there, or is of another type or
	// out of range.
	FieldMissing Cause = "field-missing"
	FieldWrong   Cause = "field-wrong"
)

// RefusedRecord is the error of a record that names nothing to use.
type RefusedRecord struct {
	Cause Cause
	err   error
}

// Refuse returns the error of a record that names nothing to use.
func Refuse(c Cause, err error) error { return &RefusedRecord{Cause: c, err: err} }

// Error implements error.
func (r *RefusedRecord) Error() string { return r.err.Error() }

// Unwrap returns what is wrong.
func (r *RefusedRecord) Unwrap() error { return r.err }

// causeOf returns the cause that an error names.
func causeOf(err error) Cause {
	var r *RefusedRecord
	if errors.As(err, &r) {
		return r.Cause
	}
	return Unreadable
}

// refusedMemory bounds the keys and causes that are remembered as logged. Beyond it they
// are logged again.
const refusedMemory = 1024

// refusals counts refused records by cause, and logs each key and cause once.
type refusals struct {
	mu     sync.Mutex
	counts map[Cause]int64
	logged map[refusal]bool
}

type refusal struct {
	stream Stream
	key    string
	cause  Cause
}

// note counts a record that was refused. Event is the line that tells it.
func (rs *refusals) note(event eventlog.Event, s Stream, key string, o registry.Offset, err error) {
	r := refusal{s, key, causeOf(err)}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.counts == nil {
		rs.counts = make(map[Cause]int64)
	}
	rs.counts[r.cause]++
	if rs.logged[r] {
		return
	}
	if rs.logged == nil || len(rs.logged) >= refusedMemory {
		rs.logged = make(map[refusal]bool)
	}
	rs.logged[r] = true
	eventlog.Error(event, err, "stream", s.String(), "key", key, "cause", r.cause, "offset", o)
}

// Refused is how many records were refused so far, by cause.
func (s *State) Refused() map[Cause]int64 {
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	counts := make(map[Cause]int64, len(s.refusals.counts))
	for c, n := range s.refusals.counts {
		counts[c] = n
	}
	return counts
}
