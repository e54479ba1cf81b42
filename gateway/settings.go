package gateway

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/placement"
	"github.com/clementinereel/clementinereel/quota"
	"github.com/clementinereel/clementinereel/retry/pooled"
	"github.com/clementinereel/clementinereel/waitqueue"
)

// Settings are the deployment-specific settings of an instance.
type Settings struct {
	// Instance is the instance's name in logs. Required.
	Instance string
	// Zone is the availability zone of the instance. Required.
	Zone fleet.Zone
	// Listen is the IP address and port for callers. Required.
	Listen string
	// ReadyListen is the IP address and port for the balancer's readiness checks
	// and for metrics. Required.
	ReadyListen string
	// ReadyPath is the path of readiness checks. Required.
	ReadyPath string
	// PeerListen is the IP address and port for other instances, by TCP and UDP.
	// Required.
	PeerListen string
	// Seeds are the peer addresses of instances to contact first; they need not be running.
	// Default: none.
	Seeds []string
	// Headers are the names of the header fields. All but Rate and Leaving are required.
	Headers exchange.Headers
	// Keys describes callers' API keys. Required if documents have tenants.
	Keys KeySettings
	// Quota is the tolerance of tenants' quotas. Default: none, within DefaultQuotaWindow.
	Quota quota.Bounds
	// Retry bounds the retries and hedges of the fleet.
	Retry pooled.Config
	// Grace is the time between the stop signal and the forced end of the process.
	// Default 6 s.
	Grace time.Duration
	// DocumentTimeout is the time within which a new document must be in force on all
	// instances. Default 2 s.
	DocumentTimeout time.Duration
	// RemovalTimeout is the time within which a removed target must stop receiving
	// requests. Default 2 s.
	RemovalTimeout time.Duration
	// RenewalInterval is the interval at which targets renew their entries in the store. It tells how
	// long the store must be unavailable for entries of live targets to lapse. Default: not known, and a
	// second counts as long enough.
	RenewalInterval time.Duration
	// MemoryBytes is the memory that the process may use. Default 256 MiB.
	MemoryBytes int64
	// MaxFiles is the number of descriptors that the process may open. Connections of callers, to targets and to other
	// instances share them. Default: the limit of the process (RLIMIT_NOFILE).
	MaxFiles int
	// LinkBytes is the bandwidth of the instance's network link in bytes per second.
	// Updates to other instances use a part of it. Default mesh.DefaultLinkBytes.
	LinkBytes int64
	// Waiting bounds the requests of a service that wait for a later attempt. Only documents with Queueing set let them
	// wait. Default: DefaultWaitingRequests, and a quarter of the memory for request bodies.
	Waiting waitqueue.Bounds
	// Weights are the weights of the placement costs. Default: placement.DefaultWeights.
	Weights placement.Weights
}

// KeySettings describes how API keys and tenants appear in requests.
type KeySettings struct {
	// Scheme is the authentication scheme in callers' Authorization fields.
	Scheme string
	// TenantHeader is the field with the name of the tenant in requests to targets.
	TenantHeader string
}

// Defaults of Settings.
const (
	DefaultGrace           = 6 * time.Second
	DefaultDocumentTimeout = 2 * time.Second
	DefaultRemovalTimeout  = 2 * time.Second
	DefaultMemoryBytes     = 256 << 20
	DefaultQuotaWindow     = 5 * time.Second
	DefaultWaitingRequests = 256
)

// Complete sets defaults and returns an error that names the first invalid field.
func (s *Settings) Complete() error {
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	if s.DocumentTimeout == 0 {
		s.DocumentTimeout = DefaultDocumentTimeout
	}
	if s.RemovalTimeout == 0 {
		s.RemovalTimeout = DefaultRemovalTimeout
	}
	if s.Quota.Window == 0 {
		s.Quota.Window = DefaultQuotaWindow
	}
	if s.MemoryBytes == 0 {
		s.MemoryBytes = DefaultMemoryBytes
	}
	if s.MaxFiles == 0 {
		files, err := processFiles()
		if err != nil {
			return err
		}
		s.MaxFiles = files
	}
	if s.Waiting.Requests == 0 {
		s.Waiting.Requests = DefaultWaitingRequests
	}
	if s.Waiting.Bytes == 0 {
		s.Waiting.Bytes = int64(waitingMemoryFraction * requestsMemoryFraction * float64(s.MemoryBytes))
	}
	if s.LinkBytes == 0 {
		s.LinkBytes = mesh.DefaultLinkBytes
	}
	if s.Weights == (placement.Weights{}) {
		s.Weights = placement.DefaultWeights()
	}
	return s.check()
}

func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"instance", s.Instance},
		{"zone", string(s.Zone)},
		{"ready path", s.ReadyPath},
		{"headers.request id", s.Headers.RequestID},
		{"headers.deadline", s.Headers.Deadline},
		{"headers.seal", s.Headers.Seal},
		{"headers.target", s.Headers.Target},
		{"headers.not run", s.Headers.NotRun},
	} {
		if f.value == "" {
			return errors.Errorf("%s: empty", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"listen", s.Listen}, {"ready listen", s.ReadyListen}, {"peer listen", s.PeerListen},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return errors.Errorf("%s: %q is not an IP address and port", f.name, f.value)
		}
	}
	return s.checkBounds()
}

func (s *Settings) checkBounds() error {
	switch {
	case s.Retry.Ratio < 0:
		return errors.Errorf("retry.ratio: %v is negative", s.Retry.Ratio)
	case s.Retry.Slack < 0:
		return errors.Errorf("retry.slack: %v is negative", s.Retry.Slack)
	case s.Retry.Window <= 0:
		return errors.Errorf("retry.window: %v is not positive", s.Retry.Window)
	case s.Quota.Window <= 0:
		return errors.Errorf("quota.window: %v is not positive", s.Quota.Window)
	case s.Quota.Excess < 0:
		return errors.Errorf("quota.excess: %v is negative", s.Quota.Excess)
	case s.Quota.Slack < 0:
		return errors.Errorf("quota.slack: %v is negative", s.Quota.Slack)
	case s.Grace <= 0:
		return errors.Errorf("grace: %v is not positive", s.Grace)
	case s.DocumentTimeout <= 0:
		return errors.Errorf("document timeout: %v is not positive", s.DocumentTimeout)
	case s.RemovalTimeout <= 0:
		return errors.Errorf("leave within: %v is not positive", s.RemovalTimeout)
	case s.Weights.Homes <= 0:
		return errors.Errorf("weights.homes: %v is not positive", s.Weights.Homes)
	case s.Waiting.Requests < 0:
		return errors.Errorf("waiting.requests: %d is negative", s.Waiting.Requests)
	case s.Waiting.Bytes < 0:
		return errors.Errorf("waiting.bytes: %d is negative", s.Waiting.Bytes)
	case s.LinkBytes < 0:
		return errors.Errorf("link bytes: %d is negative", s.LinkBytes)
	case s.MaxFiles < minMaxFiles:
		return errors.Errorf("max files: %d is below %d", s.MaxFiles, minMaxFiles)
	case s.MemoryBytes < minMemoryBytes:
		return errors.Errorf("memory bytes: %d is below %d", s.MemoryBytes, minMemoryBytes)
	}
	return nil
}

// waitingMemoryFraction is the fraction of the memory for request bodies that the requests of one service take
// while they wait.
const waitingMemoryFraction = 0.25

// minMaxFiles is the number of descriptors with which a process can serve anybody.
const minMaxFiles = 128

// minMemoryBytes is the memory that the process needs without load, and some for request
// bodies.
const minMemoryBytes = 64 << 20
