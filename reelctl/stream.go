package reelctl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// readLimit bounds the records of one read.
const readLimit = 1000

// readWait is how long one read waits for a new record.
const readWait = 2 * time.Second

// readRetry is the pause after a failed read.
const readRetry = 100 * time.Millisecond

// entry is one record that was folded.
type entry struct {
	Time time.Time `json:"time"`
	publication.Decision
	data []byte
}

// stream is the configuration stream as far as it was read.
type stream struct {
	log     logservice.Log
	state   *publication.State
	entries []entry
}

// readStream folds what the log keeps of the stream.
func readStream(ctx context.Context, log logservice.Log) (*stream, error) {
	s := &stream{log: log, state: publication.NewState()}
	batch, err := log.Read(ctx, publication.Stream, 0, readLimit, 0)
	if errors.Is(err, logservice.ErrExpired) {
		return s, s.readExpired(ctx, batch.First)
	}
	if err != nil {
		return nil, err
	}
	for {
		s.apply(batch.Records)
		if s.state.Next() >= batch.Next {
			return s, nil
		}
		batch, err = log.Read(ctx, publication.Stream, s.state.Next(), readLimit, 0)
		if err != nil {
			return nil, err
		}
	}
}

// readExpired folds a stream whose first records expired: from its oldest
// usable checkpoint on.
func (s *stream) readExpired(ctx context.Context, first logservice.Offset) error {
	var c publication.Collector
	var checkpoint *publication.State
	var records []logservice.Record
	for from := first; ; {
		batch, err := s.log.Read(ctx, publication.Stream, from, readLimit, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			// A broken checkpoint counts as none.
			_ = c.Add(r)
			from = r.Offset + 1
			if s := c.Newest(); checkpoint == nil && s != nil && s.Next() >= first {
				checkpoint = s
			}
		}
		records = append(records, batch.Records...)
		if len(batch.Records) == 0 || from >= batch.Next {
			break
		}
	}
	if checkpoint == nil {
		return errors.Errorf("records before %d expired and no checkpoint after them is kept", first)
	}
	s.state = checkpoint
	s.apply(records)
	return nil
}

// apply folds the records that were not folded before.
func (s *stream) apply(records []logservice.Record) {
	for _, r := range records {
		if d := s.state.Apply(r); d.Applied() {
			s.entries = append(s.entries, entry{Time: r.Time, Decision: d, data: r.Data})
		}
	}
}

// find returns the decision on a publication: the first that the log has, or
// what the state tells of an earlier one.
func (s *stream) find(id string) (publication.Decision, bool) {
	for _, e := range s.entries {
		if e.ID == id {
			return e.Decision, true
		}
	}
	for c, p := range s.state.View().Contracts {
		if p.PublicationID == id {
			return publication.Decision{
				Offset: p.Revision, Verdict: publication.Accepted, Kind: publication.KindContract,
				ID: id, Customer: c, Current: p.Revision, CurrentID: id,
			}, true
		}
	}
	return publication.Decision{}, false
}

// await reads on until the log has a decision on the publication.
func (s *stream) await(ctx context.Context, id string) (publication.Decision, error) {
	for {
		if d, ok := s.find(id); ok {
			return d, nil
		}
		batch, err := s.log.Read(ctx, publication.Stream, s.state.Next(), readLimit, readWait)
		if err == nil {
			s.apply(batch.Records)
			continue
		}
		select {
		case <-ctx.Done():
			return publication.Decision{}, err
		case <-time.After(readRetry):
		}
	}
}
