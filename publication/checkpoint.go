package publication

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/platform"
)

// PartSize bounds the state data in one checkpoint record, in bytes; base64
// and the envelope keep the record below MaxRecord.
const PartSize = 256 << 10

// maxSnapshot bounds an unpacked snapshot, in bytes.
const maxSnapshot = 256 << 20

// Part is one part of a checkpoint: the packed state up to and without
// offset Next.
type Part struct {
	Next platform.Offset `json:"next"`
	// Digest is the xxhash of the whole packed state.
	Digest uint64 `json:"digest"`
	// Index counts the parts from 0; Count is how many there are.
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// CheckpointMark tells of the newest checkpoint in the stream.
type CheckpointMark struct {
	// Next is the offset up to which the checkpoint holds the state.
	Next platform.Offset `json:"next"`
	// Offset and Time are those of its last record; Time is zero if the
	// stream has had no checkpoint.
	Offset platform.Offset `json:"offset"`
	Time   time.Time       `json:"time"`
}

// Checkpoint returns the newest checkpoint in the stream.
func (s *State) Checkpoint() CheckpointMark { return s.checkpoint }

// applyCheckpoint notes a checkpoint when its last part comes. Parts are
// appended in order, and the next only after the one before.
func (s *State) applyCheckpoint(r platform.Record, e Envelope) Decision {
	p := e.Checkpoint
	if p.Index == p.Count-1 && p.Next > s.checkpoint.Next && p.Next <= r.Offset {
		s.checkpoint = CheckpointMark{Next: p.Next, Offset: r.Offset, Time: r.Time}
	}
	return Decision{Verdict: Checkpointed, Current: NoRevision}
}

// Clone returns a copy of the state that further records do not change. It
// shares the contracts and announcements, which are immutable.
func (s *State) Clone() *State {
	c := *s
	c.contracts = maps.Clone(s.contracts)
	c.hosts = maps.Clone(s.hosts)
	c.targets = make(map[fleet.ServiceID]map[fleet.TargetID]*announced, len(s.targets))
	for id, byID := range s.targets {
		c.targets[id] = maps.Clone(byID)
	}
	c.stopped = slices.Clone(s.stopped)
	c.view, c.changed = s.View(), changes{}
	return &c
}

// snapshot is the JSON form of a State, the same for equal states.
type snapshot struct {
	Next      platform.Offset    `json:"next"`
	Contracts []contractSnapshot `json:"contracts"`
	Targets   []targetSnapshot   `json:"targets"`
	// Checkpoint is the newest checkpoint in the stream.
	Checkpoint CheckpointMark `json:"checkpoint"`
}

type contractSnapshot struct {
	Revision      platform.Offset `json:"revision"`
	PublicationID string          `json:"id"`
	Time          time.Time       `json:"time"`
	Contract      json.RawMessage `json:"contract"`
}

type targetSnapshot struct {
	Revision      platform.Offset `json:"revision"`
	PublicationID string          `json:"id"`
	Target        fleet.Target    `json:"target"`
}

// Snapshot packs the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return pack(snap)
}

func (s *State) snapshot() (snapshot, error) {
	snap := snapshot{Next: s.next, Checkpoint: s.checkpoint}
	for _, p := range s.contracts {
		doc, err := json.Marshal(&p.Contract)
		if err != nil {
			return snap, errors.WithStack(err)
		}
		snap.Contracts = append(snap.Contracts, contractSnapshot{p.Revision, p.PublicationID, p.Time.UTC(), doc})
	}
	for _, byID := range s.targets {
		for _, a := range byID {
			t := a.Target
			t.Since = t.Since.UTC()
			snap.Targets = append(snap.Targets, targetSnapshot{a.Revision, a.PublicationID, t})
		}
	}
	slices.SortFunc(snap.Contracts, func(a, b contractSnapshot) int { return cmp.Compare(a.Revision, b.Revision) })
	slices.SortFunc(snap.Targets, func(a, b targetSnapshot) int { return cmp.Compare(a.Revision, b.Revision) })
	return snap, nil
}

func pack(snap snapshot) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(snap); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := zw.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return buf.Bytes(), nil
}

// Restore unpacks a snapshot into a new state.
func Restore(data []byte) (*State, error) {
	snap, err := unpack(data)
	if err != nil {
		return nil, err
	}
	s := NewState()
	s.next, s.checkpoint = snap.Next, snap.Checkpoint
	for _, c := range snap.Contracts {
		doc, err := contract.DecodeUnchecked(c.Contract)
		if err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
		s.put(&Published{Contract: *doc, Revision: c.Revision, PublicationID: c.PublicationID, Time: c.Time})
	}
	for _, t := range snap.Targets {
		s.putTarget(&announced{Target: t.Target, Revision: t.Revision, PublicationID: t.PublicationID})
	}
	return s, nil
}

func unpack(data []byte) (snapshot, error) {
	var snap snapshot
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snap, errors.Wrap(err, "snapshot")
	}
	dec := json.NewDecoder(io.LimitReader(zr, maxSnapshot))
	if err := dec.Decode(&snap); err != nil {
		return snap, errors.Wrap(err, "snapshot")
	}
	return snap, snap.check()
}

// check refuses a snapshot that no fold can have written.
func (s *snapshot) check() error {
	for _, c := range s.Contracts {
		if c.Revision < 0 || c.Revision >= s.Next {
			return errors.Errorf("snapshot: revision %d is not below %d", c.Revision, s.Next)
		}
	}
	for _, t := range s.Targets {
		if t.Revision < 0 || t.Revision >= s.Next {
			return errors.Errorf("snapshot: target revision %d is not below %d", t.Revision, s.Next)
		}
	}
	return nil
}

// EncodeCheckpoint returns the records that carry the whole state. They are
// the same for equal states, so that two instances that append them at the
// same offset do no harm.
func (s *State) EncodeCheckpoint() ([][]byte, error) {
	packed, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	var records [][]byte
	chunks := slices.Collect(slices.Chunk(packed, PartSize))
	digest := xxhash.Sum64(packed)
	for i, chunk := range chunks {
		p := Part{Next: s.next, Digest: digest, Index: i, Count: len(chunks), Data: chunk}
		data, err := encode(Envelope{Kind: KindCheckpoint, Checkpoint: &p})
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}

// Collector finds the newest whole checkpoint among records.
type Collector struct {
	parts map[partKey]map[int][]byte
	best  *State
}

type partKey struct {
	next   platform.Offset
	digest uint64
	count  int
}

// Add takes up a record of the stream; records of other kinds are ignored. It
// returns an error for a checkpoint that is whole but broken.
func (c *Collector) Add(r platform.Record) error {
	if !strings.Contains(string(r.Data[:min(len(r.Data), 64)]), string(KindCheckpoint)) {
		return nil
	}
	e, err := DecodeRecord(r.Data)
	if err != nil || e.Kind != KindCheckpoint || e.Checkpoint.Next > r.Offset {
		return nil
	}
	if c.best != nil && e.Checkpoint.Next <= c.best.next {
		return nil
	}
	return c.add(e.Checkpoint)
}

func (c *Collector) add(p *Part) error {
	k := partKey{p.Next, p.Digest, p.Count}
	if c.parts == nil {
		c.parts = make(map[partKey]map[int][]byte)
	}
	if c.parts[k] == nil {
		c.parts[k] = make(map[int][]byte)
	}
	c.parts[k][p.Index] = p.Data
	var packed []byte
	for i := range p.Count {
		data, ok := c.parts[k][i]
		if !ok {
			return nil
		}
		packed = append(packed, data...)
	}
	delete(c.parts, k)
	return c.restore(k, packed)
}

func (c *Collector) restore(k partKey, packed []byte) error {
	if xxhash.Sum64(packed) != k.digest {
		return errors.Errorf("checkpoint at %d: digest differs", k.next)
	}
	s, err := Restore(packed)
	if err != nil {
		return err
	}
	if s.next != k.next {
		return errors.Errorf("checkpoint at %d holds the state at %d", k.next, s.next)
	}
	c.best = s
	return nil
}

// Newest returns the state of the newest whole checkpoint, or nil.
func (c *Collector) Newest() *State { return c.best }
