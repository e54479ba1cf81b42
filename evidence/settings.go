package evidence

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/outlier"
)

// Defaults of Settings.
const (
	defaultTimeout     = time.Second
	defaultRoutineRate = 8
	defaultAnnouncers  = 16
)

// Settings limit the load that exchanging evidence causes.
type Settings struct {
	// Timeout is the timeout of one call to another instance. Default 1 s.
	Timeout time.Duration
	// RoutineRate is the maximum number of routine (not urgent) reports per
	// second over all services. Default 8.
	RoutineRate int
	// Announcers is the maximum number of concurrent announcements.
	// Default 16.
	Announcers int
}

func (s Settings) withDefaults() Settings {
	if s.Timeout <= 0 {
		s.Timeout = defaultTimeout
	}
	if s.RoutineRate <= 0 {
		s.RoutineRate = defaultRoutineRate
	}
	if s.Announcers <= 0 {
		s.Announcers = defaultAnnouncers
	}
	return s
}

// routineInterval returns the interval between routine reports of one service.
func (s Settings) routineInterval(services int) time.Duration {
	return max(outlier.RoutineInterval, time.Duration(services)*time.Second/time.Duration(s.RoutineRate))
}

// Roles returns the instance that aggregates a service, or "" if there is
// none.
type Roles func(fleet.ServiceID) fleet.InstanceID
