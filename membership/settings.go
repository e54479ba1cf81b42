package membership

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Settings tunes the protocol. The zero value of a field means its default.
type Settings struct {
	// Interval is the time between two probes of an instance. Default 500 ms.
	Interval time.Duration
	// AckTimeout is how long a direct ping may take before third members are
	// asked. Default 200 ms.
	AckTimeout time.Duration
	// IndirectTimeout is how long the third members may take. Default 400 ms.
	IndirectTimeout time.Duration
	// Relays is the number of third members asked. Default 3.
	Relays int
	// SuspicionFactor times Interval times log10 of the fleet's size (at
	// least 1.5) is the time in which a suspect may refute. Default 3.
	SuspicionFactor float64
	// SpreadFactor times log10 of the fleet's size (at least 1) is how often
	// an instance passes on a changed record. Default 4.
	SpreadFactor float64
	// SyncInterval is the time between two digest exchanges that an instance
	// begins. Default 10 s.
	SyncInterval time.Duration
	// SeedInterval is the time between two pings of listed instances that are
	// not members. Default 2 s.
	SeedInterval time.Duration
	// TombstoneTTL is how long a dead member is remembered, so that late
	// records do not bring it back. Default 10 min.
	TombstoneTTL time.Duration
	// MaxUpdates bounds the records that ride on one message, in bytes.
	// Default 1000.
	MaxUpdates int
	// MaxSync bounds the records of one sync message, in bytes. Default 16 KiB.
	MaxSync int
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// withDefaults fills in the fields that are zero.
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

func fleetFactor(members int, least float64) float64 {
	return math.Max(least, math.Log10(float64(members)))
}

// suspicionTime is how long a suspect may take to refute.
func (s Settings) suspicionTime(members int) time.Duration {
	return time.Duration(s.SuspicionFactor * fleetFactor(members, 1.5) * float64(s.Interval))
}

// spreadCount is how often a changed record is passed on.
func (s Settings) spreadCount(members int) int {
	return int(math.Ceil(s.SpreadFactor * fleetFactor(members, 1)))
}
