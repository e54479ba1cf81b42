package publication

import (
	"fmt"
	"maps"
	"slices"

	"github.com/clementinereel/clementinereel/logservice"
)

// maxRefusals bounds the refused publications that a state remembers.
const maxRefusals = 256

// refusal is a publication that was refused though its base was current.
type refusal struct {
	ID     string            `json:"id"`
	Offset logservice.Offset `json:"offset"`
}

// refusals are the newest refused publications. The operator may have appended
// a publication twice, not knowing of the first append, and was told of the
// first decision: when the second copy comes, what spoke against it may be
// gone, and it must be refused all the same. Conflicts need no memory, for a
// base that is no longer current never becomes so again.
type refusals struct {
	order []refusal
	byID  map[string]logservice.Offset
}

func (r *refusals) add(n refusal) {
	if r.byID == nil {
		r.byID = make(map[string]logservice.Offset)
	}
	if len(r.order) == maxRefusals {
		delete(r.byID, r.order[0].ID)
		r.order = r.order[1:]
	}
	r.order = append(r.order, n)
	r.byID[n.ID] = n.Offset
}

func (r *refusals) clone() refusals {
	return refusals{order: slices.Clone(r.order), byID: maps.Clone(r.byID)}
}

// refusedBefore decides a record whose publication was refused before.
func (s *State) refusedBefore(e Envelope) (Decision, bool) {
	offset, ok := s.refusals.byID[e.ID]
	if !ok || e.Kind == KindCheckpoint {
		return Decision{}, false
	}
	message := fmt.Sprintf("refused before at offset %d: publish anew under another id", offset)
	return Decision{Verdict: Repeated, Current: NoRevision, Message: message}, true
}

// remember keeps a refusal that a second copy might escape.
func (s *State) remember(d Decision) {
	switch d.Verdict {
	case HostTaken, UnknownService, WrongMove, Invalid:
		s.refusals.add(refusal{d.ID, d.Offset})
	}
}
