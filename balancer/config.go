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
	DefaultPolicy       = slotshare.Name
	DefaultMargin       = 0.2
	DefaultShedBackOff  = 5 * time.Millisecond
	DefaultMaxBackOff   = time.Second
	DefaultColdBackOff  = 250 * time.Millisecond
	DefaultDrainBackOff = 10 * time.Second
	DefaultSweepTries   = 3
	DefaultSweepPause   = 5 * time.Millisecond
	DefaultPatience     = 100 * time.Millisecond
)

// Config is what a Balancer needs to know of its service.
type Config struct {
	// Slots is how many requests one target serves at once. At least 1.
	Slots int
	// Connections is how many connections one target accepts from all
	// instances together. At least Slots.
	Connections int
	// Policy names the way of choosing: "slot_share", "least_load",
	// "random" or "round_robin". Default "slot_share".
	Policy string
	// Instances is the least number of instances to divide connections by,
	// for the time in which the member list is short. Default 0: the list.
	Instances int
	// Margin is the part of Connections, from 0 to below 1, that is left
	// free for instances whose member lists differ. Default 0.2.
	Margin float64
	// ShedBackOff is how long a target is left alone after it shed a request
	// without a Retry-After. Default "5ms": about the time in which one of a
	// few slots comes free.
	ShedBackOff time.Duration
	// MaxBackOff bounds the Retry-After that a target may ask for. Default "1s".
	MaxBackOff time.Duration
	// ColdBackOff is how long a target is left alone after it said that it
	// isn't warm yet. Default "250ms".
	ColdBackOff time.Duration
	// DrainBackOff is how long a target is left alone after it said that it
	// is leaving; the announcement usually follows. Default "10s".
	DrainBackOff time.Duration
	// SweepTries is how many targets a request that is shed tries one after
	// the other before it pauses. Default 3; 1 to policy.MaxTried.
	SweepTries int
	// SweepPause is the pause after the first sweep; later ones are twice as
	// long. Default "5ms".
	SweepPause time.Duration
	// Patience bounds the time that a request spends on finding a slot; its
	// deadline may end it earlier. Default "100ms".
	Patience time.Duration
}

// FromContract returns the config of a contract's service, with defaults.
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
	c.Patience = orDefault(c.Patience, DefaultPatience)
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

// Check returns what is wrong with the config, or nil.
func (c Config) Check() error {
	if c.Slots < 1 {
		return errors.Errorf("slots: %d: want at least 1", c.Slots)
	}
	if c.Connections < c.Slots {
		return errors.Errorf("connections: %d: want at least the %d slots", c.Connections, c.Slots)
	}
	if c.Margin < 0 || c.Margin >= 1 {
		return errors.Errorf("margin: %g: want 0 up to, excluding, 1", c.Margin)
	}
	if c.SweepTries < 0 || c.SweepTries > policy.MaxTried {
		return errors.Errorf("sweep tries: %d: want 1 to %d", c.SweepTries, policy.MaxTried)
	}
	if policyNamed(c.withDefaults().Policy) == nil {
		return errors.Errorf("policy: %q: want slot_share, least_load, random or round_robin", c.Policy)
	}
	return nil
}

func policyNamed(name string) policy.Policy {
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
