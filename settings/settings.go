package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operate"
)

// Settings are the whole configuration file of `clementinereel serve`.
type Settings struct {
	// Instance is this instance's name in the platform's list. Required.
	Instance fleet.InstanceID `json:"instance"`
	// Zone is the availability zone that it runs in. Required.
	Zone fleet.Zone `json:"zone"`
	// Listen is the IP address and port for callers. Required.
	Listen string `json:"listen"`
	// PeerListen is the IP address and port for other instances. It belongs
	// on the private network. Required.
	PeerListen string `json:"peer_listen"`
	// AdminListen is the IP address and port for operators: /livez, /readyz,
	// /metrics, /status. Required.
	AdminListen string `json:"admin_listen"`
	// Advertise is the address at which peers reach PeerListen. Default:
	// PeerListen.
	Advertise string `json:"advertise,omitempty"`
	// PeerSecret, if set, must be the same on all instances; peer calls
	// without it are refused. Default: none.
	PeerSecret string `json:"peer_secret,omitempty"`
	// Platform says where the log and the instance list are.
	Platform Platform `json:"platform"`
	// Stop bounds the steps of a graceful stop.
	Stop Stop `json:"stop"`
	// Bounds protect the process against callers.
	Bounds Bounds `json:"bounds"`
	// Operations bounds the machinery of work that must run at most once.
	Operations operate.Settings `json:"operations"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the base URL of the log and the instance list, with an IP
	// address, as "http://10.0.0.5:7000". Required.
	URL string `json:"url"`
	// Timeout bounds one call. Default "5s".
	Timeout contract.Duration `json:"timeout,omitempty"`
	// Retention is how long the log keeps a record; checkpoints are appended
	// well before. Default "24h".
	Retention contract.Duration `json:"retention,omitempty"`
	// ListInterval is the time between reads of the list. Default "2s".
	ListInterval contract.Duration `json:"list_interval,omitempty"`
}

// Stop bounds the steps of a graceful stop.
type Stop struct {
	// BalancerWait is how long the instance still takes new requests after
	// /readyz turned false, until the platform's balancer has noticed.
	// Default "3s".
	BalancerWait contract.Duration `json:"balancer_wait,omitempty"`
	// InFlightWait bounds the wait for running requests. Default "10m", the
	// longest deadline that a contract can set.
	InFlightWait contract.Duration `json:"in_flight_wait,omitempty"`
}

// Bounds protect the process against callers.
type Bounds struct {
	// MaxHeader is the size of a request's header in bytes. Default 32 KiB.
	MaxHeader int `json:"max_header_bytes,omitempty"`
	// HeaderTimeout is the time to send the header. Default "5s".
	HeaderTimeout contract.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout closes an idle caller's connection. Default "75s".
	IdleTimeout contract.Duration `json:"idle_timeout,omitempty"`
}

// Defaults of the settings above.
const (
	DefaultListInterval  = 2 * time.Second
	DefaultRetention     = 24 * time.Hour
	DefaultPlatformWait  = 5 * time.Second
	DefaultBalancerWait  = 3 * time.Second
	DefaultInFlightWait  = 10 * time.Minute
	DefaultMaxHeader     = 32 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 75 * time.Second
)

// Load reads, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s, err := Decode(data)
	return s, errors.Wrap(err, path)
}

// Decode reads settings, fills in defaults and checks them.
func Decode(data []byte) (*Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var s Settings
	if err := dec.Decode(&s); err != nil {
		return nil, errors.WithStack(err)
	}
	return &s, s.Complete()
}

// Complete fills in defaults and checks the settings.
func (s *Settings) Complete() error {
	orString(&s.Advertise, s.PeerListen)
	orDuration(&s.Platform.Timeout, DefaultPlatformWait)
	orDuration(&s.Platform.ListInterval, DefaultListInterval)
	orDuration(&s.Platform.Retention, DefaultRetention)
	orDuration(&s.Stop.BalancerWait, DefaultBalancerWait)
	orDuration(&s.Stop.InFlightWait, DefaultInFlightWait)
	orDuration(&s.Bounds.HeaderTimeout, DefaultHeaderTimeout)
	orDuration(&s.Bounds.IdleTimeout, DefaultIdleTimeout)
	if s.Bounds.MaxHeader == 0 {
		s.Bounds.MaxHeader = DefaultMaxHeader
	}
	return s.check()
}

func (s *Settings) check() error {
	if s.Instance == "" {
		return errors.New("instance: missing: give the name in the platform's list")
	}
	if s.Zone == "" {
		return errors.New("zone: missing: give the availability zone")
	}
	for field, addr := range map[string]string{
		"listen": s.Listen, "peer_listen": s.PeerListen,
		"admin_listen": s.AdminListen, "advertise": s.Advertise,
	} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errors.Errorf("%s: %q is not an IP address with a port, as 10.0.0.7:8080", field, addr)
		}
	}
	if s.Platform.URL == "" {
		return errors.New("platform.url: missing: give the base URL of the log and the list")
	}
	return nil
}

func orString(v *string, def string) {
	if *v == "" {
		*v = def
	}
}

func orDuration(v *contract.Duration, def time.Duration) {
	if *v == 0 {
		*v = contract.Duration(def)
	}
}
