package membership

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Settings configures the protocol. A zero field selects its default.
type Settings struct {
	// Interval is the time between two probes that an instance starts. Default 500 ms.
	Interval time.Duration
	// AckTimeout is the time to wait for the ack of a direct ping before relays
	// are asked. Default 200 ms.
	AckTimeout time.Duration
	// IndirectTimeout is the time to wait for the relays. Default 400 ms.
	IndirectTimeout time.Duration
	// Relays is the number of other members asked to ping a member that did
	// not answer. Default 3.
	Relays int
	// SuspicionFactor scales the suspicion time, in which a suspect may refute:
	// SuspicionFactor * Interval * max(1.5, log10(fleet size)). Default 3.
	SuspicionFactor float64
	// SpreadFactor scales the number of times an instance sends a changed
	// record: SpreadFactor * max(1, log10(fleet size)). Default 4.
	SpreadFactor float64
	// SyncInterval is the average time between two digest exchanges that an
	// instance initiates. Default 10 s.
	SyncInterval time.Duration
	// SeedInterval is the time between two pings of listed instances that are
	// not members. Default 2 s.
	SeedInterval time.Duration
	// TombstoneTTL is how long the record of a dead member is kept, so that
	// late records do not restore it. Default 10 min.
	TombstoneTTL time.Duration
	// MaxUpdates limits the piggybacked records of one message, in bytes.
	// Default 1000.
	MaxUpdates int
	// MaxSync limits the records of one sync message, in bytes. Default 16 KiB.
	MaxSync int
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// withDefaults returns s with zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Interval, 500*time.Millisecond)
	setDefault(&s.AckTimeout, 200*time.Millisecond)
	setDefault(&s.IndirectTimeout, 400*time.Millisecond)
	setDefault(&s.Relays, 3)
	setDefault(&s.SuspicionFactor, 3)
	setDefault(&s.SpreadFactor, 4)
	setDefault(&s.SyncInterval, 10*time.Second)
	setDefault(&s.SeedInterval, 2*time.Second)
	setDefault(&s.TombstoneTTL, 10*time.Minute)
	setDefault(&s.MaxUpdates, 1000)
	setDefault(&s.MaxSync, 16<<10)
	return s
}

// Check returns an error if a field is out of range.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.Interval < 0 || s.AckTimeout < 0 || s.IndirectTimeout < 0:
		return errors.New("membership: interval and timeouts must be positive")
	case s.SyncInterval < 0 || s.SeedInterval < 0 || s.TombstoneTTL < 0:
		return errors.New("membership: sync, seed and tombstone times must be positive")
	case s.Relays < 0 || s.SuspicionFactor < 0 || s.SpreadFactor < 0:
		return errors.New("membership: relays and factors must be positive")
	case s.MaxUpdates < 256 || s.MaxSync < 256:
		return errors.New("membership: message sizes must be 256 bytes or more")
	}
	return nil
}

func fleetFactor(members int, minFactor float64) float64 {
	return math.Max(minFactor, math.Log10(float64(members)))
}

// suspicionTime returns the time that a suspect has to refute.
func (s Settings) suspicionTime(members int) time.Duration {
	return time.Duration(s.SuspicionFactor * fleetFactor(members, 1.5) * float64(s.Interval))
}

// spreadCount returns the number of times a changed record is sent.
func (s Settings) spreadCount(members int) int {
	return int(math.Ceil(s.SpreadFactor * fleetFactor(members, 1)))
}
