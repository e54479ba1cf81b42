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

// Settings bound what evidence costs.
type Settings struct {
	// Timeout bounds one call to another instance. Default 1 s.
	Timeout time.Duration
	// RoutineRate bounds the reports a second that carry nothing urgent, over
	// all services. Default 8.
	RoutineRate int
	// Announcers is how many announcements may be under way at once.
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

// routine is how far apart a service's routine reports are.
func (s Settings) routine(services int) time.Duration {
	return max(outlier.RoutineInterval, time.Duration(services)*time.Second/time.Duration(s.RoutineRate))
}

// Roles tells which instance aggregates a service; empty: none is known.
type Roles func(fleet.ServiceID) fleet.InstanceID
