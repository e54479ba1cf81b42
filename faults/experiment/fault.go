package experiment

import (
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
)

// Fault is what goes wrong in a run.
type Fault struct {
	Name string
	// Behavior is that of the sick targets.
	Behavior emulator.Behavior
	// Targets is how many are sick; all of the service if negative.
	Targets int
	// Eject tells whether setting the sick targets aside is right. If not,
	// every ejection in the run is false.
	Eject bool
	// LogDown takes the log away before the fault begins.
	LogDown bool
}

// Faults are all faults that can be measured, in the order of the table.
var Faults = []Fault{
	{Name: "none"},
	{Name: "hang-100", Behavior: emulator.Behavior{HangPercent: 100}, Targets: 1, Eject: true},
	{Name: "hang-30", Behavior: emulator.Behavior{HangPercent: 30}, Targets: 1, Eject: true},
	{Name: "hang-10", Behavior: emulator.Behavior{HangPercent: 10}, Targets: 1, Eject: true},
	{Name: "error-50", Behavior: emulator.Behavior{ErrorPercent: 50}, Targets: 1, Eject: true},
	{Name: "slow-5x", Behavior: emulator.Behavior{SlowFactor: 5}, Targets: 1, Eject: true},
	{Name: "flapping", Targets: 1, Eject: true, Behavior: emulator.Behavior{
		HangPercent: 100, SickFor: seconds(2), WellFor: seconds(2)}},
	{Name: "one-zone", Targets: 1, Eject: true, Behavior: emulator.Behavior{HangPercent: 100, Zones: []string{"a"}}},
	{Name: "one-instance", Targets: 1, Eject: true, Behavior: emulator.Behavior{HangPercent: 100, Instances: []string{"i-1"}}},
	{Name: "cold-start", Targets: 1, Behavior: emulator.Behavior{ColdFor: seconds(2), WarmUpFor: seconds(4), WarmUpFactor: 3}},
	{Name: "full", Targets: 1, Behavior: emulator.Behavior{Shed: true}},
	{Name: "all-slow-5x", Behavior: emulator.Behavior{SlowFactor: 5}, Targets: -1},
	{Name: "hang-100-log-down", Behavior: emulator.Behavior{HangPercent: 100}, Targets: 1, Eject: true, LogDown: true},
}

func seconds(n int) contract.Duration { return contract.Duration(time.Duration(n) * time.Second) }

// limited tells whether only some callers meet the sickness.
func (f Fault) limited() bool {
	return len(f.Behavior.Zones)+len(f.Behavior.Instances) > 0
}

// concerns tells whether an instance meets the sickness.
func (f Fault) concerns(id fleet.InstanceID, zone fleet.Zone) bool {
	if !f.limited() {
		return true
	}
	for _, z := range f.Behavior.Zones {
		if z == string(zone) {
			return true
		}
	}
	for _, i := range f.Behavior.Instances {
		if i == string(id) {
			return true
		}
	}
	return false
}
