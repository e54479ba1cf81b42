package statesync

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/registry"
)

// Cause classifies why a record cannot be used.
type Cause string

// Values of Cause, as used in metrics.
const (
	// Unreadable marks records that are truncated or not in the expected format.
	Unreadable Cause = "unreadable"
	// FieldMissing and FieldWrong mark records with a required field that is absent, or that has
	// the wrong type or is out of range.
	FieldMissing Cause = "field-missing"
	FieldWrong   Cause = "field-wrong"
)

// RecordError is the error of a record that cannot be used.
type RecordError struct {
	Cause Cause
	err   error
}

// NewRecordError returns the error of a record that cannot be used.
func NewRecordError(c Cause, err error) error { return &RecordError{Cause: c, err: err} }

// maxRecordErrorBytes limits the text of an error that quotes a record.
const maxRecordErrorBytes = 200

// Error implements error.
func (r *RecordError) Error() string {
	text := r.err.Error()
	return text[:min(len(text), maxRecordErrorBytes)]
}

// Unwrap returns the underlying error.
func (r *RecordError) Unwrap() error { return r.err }

// causeOf returns the cause of a RecordError in the chain of err, or Unreadable if there is none.
func causeOf(err error) Cause {
	var r *RecordError
	if errors.As(err, &r) {
		return r.Cause
	}
	return Unreadable
}

// maxLoggedRefusals limits the refusals that are remembered as logged. When it is reached, all are
// forgotten and may be logged again.
const maxLoggedRefusals = 1024

// refusals counts refused records by cause, and logs each combination of stream, key and cause
// once.
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

// record counts a refused record, and logs it as event the first time.
func (rs *refusals) record(event eventlog.Event, s Stream, key string, o registry.Offset, err error) {
	r := refusal{s, key, causeOf(err)}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.add(r.cause, 1)
	if rs.logged[r] {
		return
	}
	if rs.logged == nil || len(rs.logged) >= maxLoggedRefusals {
		rs.logged = make(map[refusal]bool)
	}
	rs.logged[r] = true
	eventlog.Error(event, err, "stream", s.String(), "key", key, "cause", r.cause, "offset", o)
}

// countDropped counts refused records of a snapshot whose keys and causes are not reported.
func (rs *refusals) countDropped(s Stream, n int) {
	if n == 0 {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.add(Unreadable, n)
	eventlog.Info(eventlog.EntriesDropped, "stream", s.String(), "records", n)
}

// add counts refused records. The caller holds rs.mu.
func (rs *refusals) add(c Cause, n int) {
	if rs.counts == nil {
		rs.counts = make(map[Cause]int64)
	}
	rs.counts[c] += int64(n)
}

// RefusedRecords returns the number of records refused so far, by cause.
func (s *State) RefusedRecords() map[Cause]int64 {
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	counts := make(map[Cause]int64, len(s.refusals.counts))
	for c, n := range s.refusals.counts {
		counts[c] = n
	}
	return counts
}
