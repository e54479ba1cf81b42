package balancer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/balancer/leastload"
	"github.com/clementinereel/clementinereel/balancer/policy"
	"github.com/clementinereel/clementinereel/balancer/random"
	"github.com/clementinereel/clementinereel/balancer/roundrobin"
	"github.com/clementinereel/clementinereel/balancer/slotshare"
	"github.com/clementinereel/clementinereel/contract"
)

// Defaults of Config.
const (
	DefaultPolicy        = slotshare.Name
	DefaultMargin        = 0.2
	DefaultShedBackOff   = 5 * time.Millisecond
	DefaultMaxBackOff    = time.Second
	DefaultColdBackOff   = 250 * time.Millisecond
	DefaultDrainBackOff  = 10 * time.Second
	DefaultSweepTries    = 3
	DefaultSweepPause    = 5 * time.Millisecond
	DefaultSearchTimeout = 100 * time.Millisecond
)

// Config configures the Balancer of one service. FromContract and New apply
// the defaults for zero values.
type Config struct {
	// Slots is the number of requests that one target serves concurrently. At
	// least 1.
	Slots int
	// Connections is the number of connections that one target accepts from
	// all instances together. At least Slots.
	Connections int
	// Policy is the name of the balancing policy: "slot_share", "least_load",
	// "random" or "round_robin". Default "slot_share".
	Policy string
	// MinInstances is the minimum number of instances to divide connections
	// by, while the member list is still incomplete. Default 0: the length of
	// the list.
	MinInstances int
	// Margin is the fraction of Connections, from 0 to below 1, that is
	// reserved for instances whose member lists differ. Default 0.2.
	Margin float64
	// ShedBackOff is the back-off from a target that shed a request without a
	// Retry-After. Default "5ms": about the time in which one of a few slots
	// becomes free.
	ShedBackOff time.Duration
	// MaxBackOff bounds the Retry-After of a target. Default "1s".
	MaxBackOff time.Duration
	// ColdBackOff is the back-off from a target that reported that it isn't
	// warm yet. Default "250ms".
	ColdBackOff time.Duration
	// DrainBackOff is the back-off from a target that reported that it is
	// draining; its announcement usually follows. Default "10s".
	DrainBackOff time.Duration
	// SweepTries is the number of targets that a shed request tries in
	// succession before it pauses. 1 to policy.MaxTried. Default 3.
	SweepTries int
	// SweepPause is the pause after the first sweep; later pauses are twice
	// as long. Default "5ms".
	SweepPause time.Duration
	// SearchTimeout bounds the time that a request spends on finding a slot;
	// its deadline may end the search earlier. Default "100ms".
	SearchTimeout time.Duration
}

// FromContract returns the Config of a contract's service, with defaults
// applied.
func FromContract(s contract.Service) Config {
	return Config{Slots: s.Slots, Connections: s.Connections}.withDefaults()
}

func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = DefaultPolicy
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	if c.SweepTries == 0 {
		c.SweepTries = DefaultSweepTries
	}
	c.SweepPause = orDefault(c.SweepPause, DefaultSweepPause)
	c.SearchTimeout = orDefault(c.SearchTimeout, DefaultSearchTimeout)
	c.ShedBackOff = orDefault(c.ShedBackOff, DefaultShedBackOff)
	c.MaxBackOff = orDefault(c.MaxBackOff, DefaultMaxBackOff)
	c.ColdBackOff = orDefault(c.ColdBackOff, DefaultColdBackOff)
	c.DrainBackOff = orDefault(c.DrainBackOff, DefaultDrainBackOff)
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Check returns an error that describes the first invalid field, or nil.
func (c Config) Check() error {
	if c.Slots < 1 {
		return errors.Errorf("slots: %d: want at least 1", c.Slots)
	}
	if c.Connections < c.Slots {
		return errors.Errorf("connections: %d: want at least the %d slots", c.Connections, c.Slots)
	}
	if c.Margin < 0 || c.Margin >= 1 {
		return errors.Errorf("margin: %g: want at least 0 and less than 1", c.Margin)
	}
	if c.SweepTries < 0 || c.SweepTries > policy.MaxTried {
		return errors.Errorf("sweep tries: %d: want 1 to %d", c.SweepTries, policy.MaxTried)
	}
	if policyByName(c.withDefaults().Policy) == nil {
		return errors.Errorf("policy: %q: want slot_share, least_load, random or round_robin", c.Policy)
	}
	return nil
}

func policyByName(name string) policy.Policy {
	switch name {
	case slotshare.Name:
		return slotshare.Policy{}
	case leastload.Name:
		return leastload.Policy{}
	case random.Name:
		return random.Policy{}
	case roundrobin.Name:
		return roundrobin.Policy{}
	}
	return nil
}
