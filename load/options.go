package load

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
)

// Defaults of Options.
const (
	DefaultMaxOperations = 1_000_000
	DefaultMaxInFlight   = 512
	DefaultTimeout       = 30 * time.Second
	// MaxDuration bounds a run.
	MaxDuration = time.Hour
)

// Route says where a run's requests go.
type Route string

const (
	// ThroughFleet sends requests to instances.
	ThroughFleet Route = "fleet"
	// Direct sends them to targets.
	Direct Route = "direct"
	// Both alternates between the two, to measure what the fleet adds.
	Both Route = "both"
)

// Options describe a run.
type Options struct {
	// Instances are the base URLs of the instances, with IP addresses.
	Instances []string
	// Weights are the shares of the instances, in their order. Default:
	// equal shares.
	Weights []float64
	// Ready are the base URLs of the instances' admin listeners, in their
	// order. If given, an instance is used only while its /readyz answers
	// 200, as the platform's balancer does.
	Ready []string
	// Targets are the base URLs of emulated targets: asked which keys they
	// ran, and sent work to when Route is Direct or Both.
	Targets []string
	// Route is "fleet", "direct" or "both". Default "fleet".
	Route Route
	// Host is the Host header of requests. Default: that of the URL.
	Host string
	// Mix is what is sent. At least one entry.
	Mix []Stream
	// Duration is how long operations begin. Required; at most MaxDuration.
	Duration time.Duration
	// MaxOperations bounds the operations of a run.
	// Default DefaultMaxOperations.
	MaxOperations int
	// MaxInFlight bounds the operations under way; further ones are not sent,
	// which the report counts. Default DefaultMaxInFlight.
	MaxInFlight int
	// Poisson makes the times between operations exponential. Default:
	// equal.
	Poisson bool
	// Seed fixes schedule, routes and bodies. Keys differ from run to run.
	Seed uint64
	// AllowRemote lets URLs be other than loopback addresses.
	AllowRemote bool
}

// Stream is a steady flow of one kind of operation.
type Stream struct {
	Class fleet.Class
	// Method is GET for lookups and POST for the others by default.
	Method string
	// Path is the path and query of requests. Required.
	Path string
	// Rate is the number of operations a second. Required, above 0.
	Rate float64
	// BodyBytes is the size of the request body. Default 0 for lookups, 64
	// for confirmations, 256 KiB for uploads.
	BodyBytes int
	// BodyTime stretches the sending of the body. Default 0.
	BodyTime time.Duration
	// Tickets makes confirmations ask for an operation ticket first and
	// then use it in place of an idempotency key.
	Tickets bool
	// Timeout bounds one ask. Default DefaultTimeout.
	Timeout time.Duration
	// Patience is how long the caller waits before it asks again.
	// Default 0: it waits for the Timeout.
	Patience time.Duration
	// Repeats bounds the asks after the first. A caller also asks again
	// after an answer that leaves hope, such as "not run", or after none.
	// Default 0.
	Repeats int
}

func (o Options) complete() (Options, error) {
	if o.Route == "" {
		o.Route = ThroughFleet
	}
	if o.MaxOperations == 0 {
		o.MaxOperations = DefaultMaxOperations
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	o.Mix = append([]Stream(nil), o.Mix...)
	for i := range o.Mix {
		o.Mix[i].complete()
	}
	return o, o.check()
}

func (s *Stream) complete() {
	lookup := s.Class == fleet.Lookup
	if s.Method == "" {
		s.Method = "POST"
		if lookup {
			s.Method = "GET"
		}
	}
	if s.BodyBytes == 0 && s.Class == fleet.Confirmation {
		s.BodyBytes = 64
	}
	if s.BodyBytes == 0 && s.Class == fleet.Upload {
		s.BodyBytes = 256 << 10
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
}

func (o Options) check() error {
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return errors.Errorf("duration %v: want more than 0 and at most %v", o.Duration, MaxDuration)
	}
	if len(o.Mix) == 0 {
		return errors.New("nothing to send: give at least one class a rate")
	}
	for _, s := range o.Mix {
		if s.Rate <= 0 || s.Path == "" {
			return errors.Errorf("%v: want a rate above 0 and a path", s.Class)
		}
	}
	if len(o.Weights) > 0 && len(o.Weights) != len(o.Instances) {
		return errors.New("weights: want one for each instance")
	}
	if len(o.Ready) > 0 && len(o.Ready) != len(o.Instances) {
		return errors.New("ready: want one URL for each instance")
	}
	if o.Route != Direct && len(o.Instances) == 0 {
		return errors.New("instances: give at least one base URL")
	}
	if o.Route != ThroughFleet && len(o.Targets) == 0 {
		return errors.New("targets: give at least one base URL to send to directly")
	}
	return o.checkURLs()
}

func (o Options) checkURLs() error {
	for _, list := range [][]string{o.Instances, o.Ready, o.Targets} {
		for _, raw := range list {
			if err := checkURL(raw, o.AllowRemote); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkURL(raw string, allowRemote bool) error {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return errors.Errorf("%q is not a base URL, as http://127.0.0.1:8080", raw)
	}
	if allowRemote {
		return nil
	}
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil || !ip.IsLoopback() {
		return errors.Errorf("%q is not a loopback address: remote addresses have to be allowed", raw)
	}
	return nil
}
