package quarantine

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// ReportPath is the path at which an instance lists restricted and quarantined contents for operators.
// A content is lifted at the path below it that ends in its fingerprint.
const ReportPath = "/contents"

// Report describes a restricted or quarantined content to operators.
type Report struct {
	Content  string `json:"content"`
	Standing string `json:"standing"`
	// Doubted reports that the losses may be the fault of another content.
	Doubted bool `json:"doubted,omitempty"`
	// Targets are the targets that lost responses, in order of the losses.
	Targets []fleet.TargetID `json:"targets"`
	// LastLoss is when the last response was lost. Until is when the next trial is due or the quarantine ends.
	LastLoss time.Time  `json:"last_loss"`
	Until    *time.Time `json:"until,omitempty"`
}

// Reports lists the restricted and quarantined contents, quarantined ones first.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var restricted []*entry
	for _, e := range t.entries {
		if e.standing >= Restricted {
			restricted = append(restricted, e)
		}
	}
	slices.SortFunc(restricted, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.standing, a.standing), byContent(a, b))
	})
	reports := make([]Report, 0, len(restricted))
	for _, e := range restricted {
		reports = append(reports, e.report())
	}
	return reports
}

func (e *entry) report() Report {
	r := Report{
		Content: e.content.String(), Standing: e.standing.String(), Doubted: e.doubted,
		LastLoss: e.losses[len(e.losses)-1].Ended,
	}
	for _, l := range e.losses {
		r.Targets = append(r.Targets, l.Process.Target)
	}
	if e.standing == Quarantined {
		until := e.until()
		r.Until = &until
	}
	return r
}

// Lift drops the losses of a content, as a success does, and returns the evidence to send to the
// other instances. It returns false if the content has no losses.
func (t *Table) Lift(now time.Time, f Fingerprint) (Evidence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || len(e.losses) == 0 {
		return Evidence{}, false
	}
	t.update(now, e, fromOperator, func() bool { return e.markServed(now) })
	return Evidence{Content: f, Served: now}, true
}

// ParseFingerprint parses the format of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, errors.Errorf("%q is not a content fingerprint: want %d hexadecimal digits", s, 2*len(f))
	}
	copy(f[:], b)
	return f, nil
}
