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
	"github.com/clementinereel/clementinereel/logservice"
)

// PartSize bounds the state data in one checkpoint record, in bytes; base64
// and the envelope keep the record below MaxRecord.
const PartSize = 256 << 10

// maxSnapshot bounds an unpacked snapshot, in bytes.
const maxSnapshot = 256 << 20

// Part is one part of a checkpoint: the packed state up to and without
// offset Next.
type Part struct {
	Next logservice.Offset `json:"next"`
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
	Next logservice.Offset `json:"next"`
	// Offset and Time are those of its last record; Time is zero if the
	// stream has had no checkpoint.
	Offset logservice.Offset `json:"offset"`
	Time   time.Time         `json:"time"`
}

// Checkpoint returns the newest checkpoint in the stream.
func (s *State) Checkpoint() CheckpointMark { return s.checkpoint }

// applyCheckpoint notes a checkpoint when its last part comes. Parts are
// appended in order, and the next only after the one before.
func (s *State) applyCheckpoint(r logservice.Record, e Envelope) Decision {
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
	c.refusals = s.refusals.clone()
	c.view, c.changed = s.View(), changes{}
	return &c
}

// head begins a packed state: a gzip stream of JSON values, namely the head,
// the contracts and the targets, each in the order of their revisions. It is
// written and read piece by piece, so that packing takes little memory.
type head struct {
	Next logservice.Offset `json:"next"`
	// Checkpoint is the newest checkpoint in the stream.
	Checkpoint CheckpointMark `json:"checkpoint"`
	// Refused are the refusals, oldest first.
	Refused []refusal `json:"refused"`
	// Contracts and Targets are how many follow.
	Contracts int `json:"contracts"`
	Targets   int `json:"targets"`
}

type packedContract struct {
	Revision      logservice.Offset  `json:"revision"`
	PublicationID string             `json:"id"`
	Time          time.Time          `json:"time"`
	Contract      *contract.Contract `json:"contract"`
}

type packedTarget struct {
	Revision      logservice.Offset `json:"revision"`
	PublicationID string            `json:"id"`
	Target        fleet.Target      `json:"target"`
}

// Snapshot packs the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := s.write(zw); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return buf.Bytes(), nil
}

// write writes the values of a packed state.
func (s *State) write(w io.Writer) error {
	enc := json.NewEncoder(w)
	contracts, targets := s.ordered()
	if err := enc.Encode(head{s.next, s.checkpoint, s.refusals.order, len(contracts), len(targets)}); err != nil {
		return errors.WithStack(err)
	}
	for _, p := range contracts {
		if err := enc.Encode(packedContract{p.Revision, p.PublicationID, p.Time, &p.Contract}); err != nil {
			return errors.WithStack(err)
		}
	}
	for _, a := range targets {
		if err := enc.Encode(packedTarget{a.Revision, a.PublicationID, a.Target}); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// ordered returns the contracts and targets in the order of their revisions.
func (s *State) ordered() ([]*Published, []*announced) {
	contracts := slices.Collect(maps.Values(s.contracts))
	slices.SortFunc(contracts, func(a, b *Published) int { return cmp.Compare(a.Revision, b.Revision) })
	var targets []*announced
	for _, byID := range s.targets {
		targets = slices.AppendSeq(targets, maps.Values(byID))
	}
	slices.SortFunc(targets, func(a, b *announced) int { return cmp.Compare(a.Revision, b.Revision) })
	return contracts, targets
}

// Restore unpacks a snapshot into a new state.
func Restore(data []byte) (*State, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	s, err := readState(json.NewDecoder(io.LimitReader(zr, maxSnapshot)))
	return s, errors.Wrap(err, "snapshot")
}

func readState(dec *json.Decoder) (*State, error) {
	var h head
	if err := dec.Decode(&h); err != nil {
		return nil, errors.WithStack(err)
	}
	s := NewState()
	s.next, s.checkpoint = h.Next, h.Checkpoint
	for _, r := range h.Refused[:min(len(h.Refused), maxRefusals)] {
		s.refusals.add(r)
	}
	for range h.Contracts {
		if err := s.readContract(dec); err != nil {
			return nil, err
		}
	}
	for range h.Targets {
		if err := s.readTarget(dec); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) readContract(dec *json.Decoder) error {
	var c packedContract
	if err := dec.Decode(&c); err != nil {
		return errors.WithStack(err)
	}
	if c.Contract == nil || c.Revision < 0 || c.Revision >= s.next {
		return errors.Errorf("contract at revision %d of a state at %d", c.Revision, s.next)
	}
	if _, _, taken := s.hostTaken(c.Contract); taken || s.contracts[c.Contract.Customer] != nil {
		return errors.Errorf("customer %q or a host of it stands twice", c.Contract.Customer)
	}
	contract.Fill(c.Contract)
	if err := contract.Check(c.Contract); err != nil {
		return err
	}
	s.put(&Published{Contract: *c.Contract, Revision: c.Revision, PublicationID: c.PublicationID, Time: c.Time})
	return nil
}

func (s *State) readTarget(dec *json.Decoder) error {
	var t packedTarget
	if err := dec.Decode(&t); err != nil {
		return errors.WithStack(err)
	}
	if t.Revision < 0 || t.Revision >= s.next {
		return errors.Errorf("target at revision %d of a state at %d", t.Revision, s.next)
	}
	if v, message := checkTarget(&t.Target); v != Accepted {
		return errors.New(message)
	}
	if s.targets[t.Target.Service][t.Target.ID] != nil {
		return errors.Errorf("target %q of %q stands twice", t.Target.ID, t.Target.Service)
	}
	s.putTarget(&announced{Target: t.Target, Revision: t.Revision, PublicationID: t.PublicationID})
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
	next   logservice.Offset
	digest uint64
	count  int
}

// Add takes up a record of the stream; records of other kinds are ignored. It
// returns an error for a checkpoint that is whole but broken.
func (c *Collector) Add(r logservice.Record) error {
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
