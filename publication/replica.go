package publication

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// Bounds of what a Replica keeps for its peers.
const (
	// MaxHeld bounds the records held, in number.
	MaxHeld = 4096
	// MaxHeldBytes bounds the data of the records held, in bytes.
	MaxHeldBytes = 2 << 20
	// MaxPull bounds the data of the records of one answer to a peer, in
	// bytes. One record may exceed it.
	MaxPull = 1 << 20
)

// ErrOld tells that a snapshot holds nothing that is not applied already.
var ErrOld = errors.New("snapshot is not newer")

// Replica is a State together with the newest records that led to it, which it
// hands to peers. Records and snapshots may come from the log and from peers
// in any order; the state only moves upwards.
type Replica struct {
	state *State
	// held are the records before state.Next, without gaps.
	held      []logservice.Record
	heldBytes int
}

// NewReplica returns a replica that has applied nothing.
func NewReplica() *Replica { return &Replica{state: NewState()} }

// Next is the offset of the first record that was not applied yet.
func (r *Replica) Next() logservice.Offset { return r.state.next }

// View returns the state in force.
func (r *Replica) View() *View { return r.state.View() }

// Apply folds records in order, skips those that were applied before and stops
// before a gap. It returns the decisions on the records applied.
func (r *Replica) Apply(records []logservice.Record) []Decision {
	var decisions []Decision
	for _, rec := range records {
		d := r.state.Apply(rec)
		if d.Verdict == Gap {
			break
		}
		if d.Applied() {
			decisions = append(decisions, d)
			r.hold(rec)
		}
	}
	return decisions
}

func (r *Replica) hold(rec logservice.Record) {
	r.held = append(r.held, rec)
	r.heldBytes += len(rec.Data)
	n := 0
	for len(r.held)-n > MaxHeld || (r.heldBytes > MaxHeldBytes && len(r.held)-n > 1) {
		r.heldBytes -= len(r.held[n].Data)
		r.held[n] = logservice.Record{}
		n++
	}
	r.held = r.held[n:]
}

// Adopt replaces the state by a newer one, of a snapshot or a checkpoint. It
// returns ErrOld if the state is not newer.
func (r *Replica) Adopt(s *State) error {
	if s.next <= r.state.next {
		return errors.WithStack(ErrOld)
	}
	s.share(r.state)
	r.state, r.held, r.heldBytes = s, nil, 0
	return nil
}

// share makes the state use the contracts of an older state where they are
// the same, so that what was built on them stays.
func (s *State) share(old *State) {
	for id, p := range old.contracts {
		if same := s.contracts[id]; same != nil && same.Revision == p.Revision {
			s.contracts[id] = p
		}
	}
}

// Since returns records from an offset on for a peer. Ok is false if the
// replica no longer holds them all; the peer then needs a Snapshot.
func (r *Replica) Since(from logservice.Offset) (records []logservice.Record, ok bool) {
	if from >= r.state.next {
		return nil, true
	}
	first := r.state.next - logservice.Offset(len(r.held))
	if from < first {
		return nil, false
	}
	size := 0
	for _, rec := range r.held[from-first:] {
		if size += len(rec.Data); size > MaxPull && len(records) > 0 {
			break
		}
		records = append(records, rec)
	}
	return slices.Clip(records), true
}

// State returns a copy of the state, to pack without holding up the replica.
func (r *Replica) State() *State { return r.state.Clone() }

// Checkpoint returns the newest checkpoint in the stream.
func (r *Replica) Checkpoint() CheckpointMark { return r.state.Checkpoint() }

// Revision returns the revision of a customer's contract, or NoRevision.
func (s *State) Revision(id fleet.CustomerID) logservice.Offset {
	if p := s.contracts[id]; p != nil {
		return p.Revision
	}
	return NoRevision
}

// TargetRevision returns the revision of a target's last announcement, or
// NoRevision if it was never announced or stopped long ago.
func (s *State) TargetRevision(service fleet.ServiceID, id fleet.TargetID) logservice.Offset {
	if a := s.targets[service][id]; a != nil {
		return a.Revision
	}
	return NoRevision
}
