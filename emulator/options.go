package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
)

// Options are what a target is built as; they do not change while it runs.
type Options struct {
	// ID names the target in its answers. Default "target".
	ID string `json:"id"`
	// Slots is how many requests are served at once. Default 4.
	Slots int `json:"slots"`
	// Queue is how many requests wait for a slot before more are shed.
	// Default 0.
	Queue int `json:"queue"`
	// Connections is how many connections a Server keeps open at once; it
	// closes further ones at once. Default 0: no limit.
	Connections int `json:"connections"`
	// Service is the time that one request holds a slot.
	Service ServiceTime `json:"service"`
	// ProbeTime is how long the health endpoint takes. Default 0.
	ProbeTime contract.Duration `json:"probe_time"`
	// ConnectTime is added to the first request of each connection, as the
	// cost of the connection's set-up. Default 0. Server only.
	ConnectTime contract.Duration `json:"connect_time"`
	// AnswerBytes pads answers to about this size, in bytes. Default 0.
	AnswerBytes int `json:"answer_bytes"`
	// RetryAfter is told with a shed request. Default "1s"; whole seconds.
	RetryAfter contract.Duration `json:"retry_after"`
	// Seed fixes the random numbers. Default 0.
	Seed uint64 `json:"seed"`
}

func (o Options) withDefaults() Options {
	if o.ID == "" {
		o.ID = "target"
	}
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = contract.Duration(time.Second)
	}
	if o.Service.Shape == "" {
		o.Service.Shape = Fixed
	}
	return o
}

// Shape is the kind of a service time's distribution.
type Shape string

const (
	// Fixed means that every request takes the mean time.
	Fixed Shape = "fixed"
	// Exponential times vary as those of a memoryless server do.
	Exponential Shape = "exponential"
	// LogNormal times have a long tail, set by Sigma.
	LogNormal Shape = "log-normal"
)

// ServiceTime is the distribution of the time that work takes.
type ServiceTime struct {
	// Shape is "fixed", "exponential" or "log-normal". Default "fixed".
	Shape Shape `json:"shape"`
	// Mean is the mean time. Default 0: work takes no time.
	Mean contract.Duration `json:"mean"`
	// Sigma is the standard deviation of the time's logarithm, for
	// "log-normal" only.
	Sigma float64 `json:"sigma"`
}

func (s ServiceTime) check() error {
	switch s.Shape {
	case "", Fixed, Exponential, LogNormal:
		return nil
	}
	return errors.Errorf("service.shape: %q is none of fixed, exponential, log-normal", s.Shape)
}

// draw returns one service time.
func (s ServiceTime) draw(r *rand.Rand) time.Duration {
	mean := float64(s.Mean)
	switch s.Shape {
	case Exponential:
		return time.Duration(mean * r.ExpFloat64())
	case LogNormal:
		mu := -s.Sigma * s.Sigma / 2
		return time.Duration(mean * math.Exp(mu+s.Sigma*r.NormFloat64()))
	}
	return time.Duration(mean)
}
