package emulator

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/header"
)

// Behavior is how a target behaves from the moment it is set. The zero
// Behavior is a well target.
type Behavior struct {
	// HangPercent of the work is accepted and never answered; the request
	// ends when its caller gives up.
	HangPercent float64 `json:"hang_percent,omitempty"`
	// HangRuns makes hanging work run before it hangs; otherwise it never
	// runs.
	HangRuns bool `json:"hang_runs,omitempty"`
	// HangHoldsSlot makes hanging work keep its slot.
	HangHoldsSlot bool `json:"hang_holds_slot,omitempty"`
	// ErrorPercent of the work is answered 500 after its service time. It
	// counts as run.
	ErrorPercent float64 `json:"error_percent,omitempty"`
	// ResetPercent of the work runs and ends with a connection reset.
	ResetPercent float64 `json:"reset_percent,omitempty"`
	// TruncatePercent of the answers break off in the middle.
	TruncatePercent float64 `json:"truncate_percent,omitempty"`
	// TruncateChunked sends cut answers in chunks without a Content-Length.
	TruncateChunked bool `json:"truncate_chunked,omitempty"`
	// SlowFactor multiplies service times. Default 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`

	// Zones and Instances make the target sick only for requests that come
	// by way of one of them (Via-Zone and Via-Instance). Both empty: for
	// all.
	Zones     []string `json:"zones,omitempty"`
	Instances []string `json:"instances,omitempty"`
	// SickFor and WellFor alternate, beginning with SickFor, if both are
	// set: a flapping target.
	SickFor contract.Duration `json:"sick_for,omitempty"`
	WellFor contract.Duration `json:"well_for,omitempty"`

	// Draining refuses new work as a stopping target does.
	Draining bool `json:"draining,omitempty"`
	// Shed refuses new work as a full target does, whatever its slots.
	Shed bool `json:"shed,omitempty"`
	// ColdFor is how long work is refused as cold from now on.
	ColdFor contract.Duration `json:"cold_for,omitempty"`
	// WarmUpFor is how long, after ColdFor, work takes WarmUpFactor times
	// its time.
	WarmUpFor    contract.Duration `json:"warm_up_for,omitempty"`
	WarmUpFactor float64           `json:"warm_up_factor,omitempty"`

	// Die makes the target die at its next piece of work: "before" it runs,
	// "during" the run, "after" it with nothing of the answer sent, or in
	// the middle of the "answer". It stays dead until the next Behavior.
	Die DiePoint `json:"die,omitempty"`
	// HealthStatus is what the health endpoint answers. Default 200.
	HealthStatus int `json:"health_status,omitempty"`
}

// DiePoint is the moment of a piece of work at which a target dies.
type DiePoint string

// The moments at which a target can die.
const (
	DieBefore DiePoint = "before"
	DieDuring DiePoint = "during"
	DieAfter  DiePoint = "after"
	DieAnswer DiePoint = "answer"
)

// check refuses values that mean nothing.
func (b Behavior) check() error {
	for name, p := range map[string]float64{
		"hang_percent": b.HangPercent, "error_percent": b.ErrorPercent,
		"reset_percent": b.ResetPercent, "truncate_percent": b.TruncatePercent,
	} {
		if p < 0 || p > 100 {
			return errors.Errorf("%s: want 0 to 100", name)
		}
	}
	switch b.Die {
	case "", DieBefore, DieDuring, DieAfter, DieAnswer:
		return nil
	}
	return errors.Errorf("die: %q is none of before, during, after, answer", b.Die)
}

// sick tells whether the sickness shows to a request at some time after the
// behavior was set.
func (b Behavior) sick(since time.Duration, h http.Header) bool {
	return b.concerns(h) && b.sickAt(since)
}

func (b Behavior) concerns(h http.Header) bool {
	if len(b.Zones) == 0 && len(b.Instances) == 0 {
		return true
	}
	return slices.Contains(b.Zones, h.Get(header.ViaZone)) ||
		slices.Contains(b.Instances, h.Get(header.ViaInstance))
}

func (b Behavior) sickAt(since time.Duration) bool {
	if b.SickFor <= 0 || b.WellFor <= 0 {
		return true
	}
	return since%(b.SickFor.D()+b.WellFor.D()) < b.SickFor.D()
}

// refusal returns the reason for which new work is refused unrun, or "".
func (b Behavior) refusal(since time.Duration) string {
	switch {
	case b.Draining:
		return header.NotRunDraining
	case since < b.ColdFor.D():
		return header.NotRunCold
	case b.Shed:
		return header.NotRunShed
	}
	return ""
}

// slowness returns the factor on the service time of a request.
func (b Behavior) slowness(since time.Duration, sick bool) float64 {
	f := 1.0
	if sick && b.SlowFactor > 0 {
		f = b.SlowFactor
	}
	warm := b.ColdFor.D() + b.WarmUpFor.D()
	if since < warm && b.WarmUpFactor > 0 {
		f *= b.WarmUpFactor
	}
	return f
}
