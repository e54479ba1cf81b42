package gateway

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
)

// TurnedAway takes in that a target turned a request of this instance away and wants no others for a time.
func (k *Knowledge) TurnedAway(now time.Time, name document.ServiceName, id fleet.TargetID, rest time.Duration) {
	eventlog.Info(eventlog.TargetRests, "target", id, "service", name, "rest_ms", rest.Milliseconds())
}
