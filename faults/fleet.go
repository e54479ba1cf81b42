package faults

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/examples"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/publication"
)

// defaultTargets is how many targets a service has.
const defaultTargets = 6

// maxRunning is how many fleets run at once; further tests wait.
const maxRunning = 3

var running = make(chan struct{}, maxRunning)

// Setup says what a Fleet consists of.
type Setup struct {
	// Binaries are the programs under test. Required.
	Binaries *Binaries
	// Instances is how many there are. Default 3.
	Instances int
	// Zones is over how many availability zones instances and targets are
	// spread. Default 3.
	Zones int
	// Document is the contract's document. Default examples.Daugava.
	Document []byte
	// Edit, if set, changes the contract before it is published.
	Edit func(*contract.Contract)
	// Targets is how many targets each service has, by the service's name.
	// Default 6.
	Targets map[string]int
	// Target describes the targets; slots and connections come from the
	// contract.
	Target emulator.Options
	// TargetLinks puts a Switch before each target.
	TargetLinks bool
	// NoLinks leaves out the links before peers and platform.
	NoLinks bool
	// BalancerWait is Stop.BalancerWait of the instances. Default 1s, ten
	// times what load takes to notice.
	BalancerWait time.Duration
	// ListInterval is Platform.ListInterval of the instances. Default 200ms,
	// so that a fleet finds itself quickly.
	ListInterval time.Duration
	// Platform sets the platform's stand-in up.
	Platform standin.Options
	// Around, if set, stands between the instances and the platform.
	Around func(http.Handler) http.Handler
}

func (s *Setup) complete() {
	if s.Instances == 0 {
		s.Instances = 3
	}
	if s.Zones == 0 {
		s.Zones = 3
	}
	if s.Document == nil {
		s.Document = examples.Daugava
	}
	if s.BalancerWait == 0 {
		s.BalancerWait = time.Second
	}
	if s.ListInterval == 0 {
		s.ListInterval = 200 * time.Millisecond
	}
	if s.Around == nil {
		s.Around = func(h http.Handler) http.Handler { return h }
	}
}

// Fleet is a running fleet of processes with its surroundings.
type Fleet struct {
	t     testing.TB
	setup Setup
	dir   string
	log   *logservice.Client
	// owners knows the instances' processes.
	owners owners

	Platform    *standin.Server
	platformURL string
	outage      logOutage
	Contract    *contract.Contract
	// Targets are the emulated targets by the service's name.
	Targets   map[string][]*Target
	Instances []*Instance

	// revision is the offset of the contract in force, newest that of the
	// newest record of configuration.
	revision     logservice.Offset
	newest       logservice.Offset
	publications int
	files        int
}

// New starts a fleet and waits until all instances are ready. It ends with
// the test.
func New(t testing.TB, s Setup) *Fleet {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	s.complete()
	f := &Fleet{t: t, setup: s, dir: t.TempDir(), Targets: map[string][]*Target{}, revision: publication.NoRevision}
	f.startPlatform()
	f.publish()
	for n := range s.Instances {
		f.AddInstance(n)
	}
	for _, i := range f.Instances {
		i.WaitReady()
		i.WaitInForce(f.newest)
	}
	return f
}

func (f *Fleet) startPlatform() {
	f.Platform = standin.New(f.setup.Platform)
	srv := httptest.NewServer(f.setup.Around(f.outage.before(f.Platform.Handler())))
	f.t.Cleanup(srv.CloseClientConnections)
	f.platformURL = srv.URL
	f.log = logservice.NewClient(srv.URL, 0)
}

// publish appends the contract and announces its targets.
func (f *Fleet) publish() {
	f.t.Helper()
	c, err := contract.Decode(f.setup.Document)
	assert.NilError(f.t, err)
	if f.setup.Edit != nil {
		f.setup.Edit(c)
	}
	f.Contract = c
	f.PublishContract()
	for _, svc := range c.Services {
		n, ok := f.setup.Targets[svc.Name]
		if !ok {
			n = defaultTargets
		}
		for range n {
			f.AddTarget(svc, f.setup.Target)
		}
	}
}

// PublishContract appends Contract as the successor of the one in force.
func (f *Fleet) PublishContract() {
	f.t.Helper()
	rec, err := publication.EncodeContract(f.publicationID(), f.revision, f.Contract)
	assert.NilError(f.t, err)
	f.revision = f.append(rec)
}

// AddInstance starts the n-th instance and does not wait for it.
func (f *Fleet) AddInstance(n int) *Instance {
	f.t.Helper()
	i := f.newInstance(fleet.InstanceID(fmt.Sprintf("i-%d", n+1)), f.zone(n))
	f.Instances = append(f.Instances, i)
	i.Start()
	return i
}

func (f *Fleet) zone(n int) fleet.Zone {
	return fleet.Zone(rune('a' + n%f.setup.Zones))
}

// Route returns the contract's first route of a class.
func (f *Fleet) Route(c fleet.Class) contract.Route {
	f.t.Helper()
	for _, r := range f.Contract.Routes {
		if r.Class == c {
			return r
		}
	}
	f.t.Fatalf("the contract has no route of class %v", c)
	return contract.Route{}
}

// Stream returns a flow of a class at its route.
func (f *Fleet) Stream(c fleet.Class, rate float64) load.Stream {
	f.t.Helper()
	return load.Stream{Class: c, Path: f.Route(c).PathPrefix + "/x", Rate: rate}
}

// Load returns options that send a mix through some instances, or all if
// none is named, and audit all targets.
func (f *Fleet) Load(d time.Duration, mix []load.Stream, through ...*Instance) load.Options {
	if len(through) == 0 {
		through = f.Instances
	}
	o := load.Options{Host: f.Contract.Hosts[0], Mix: mix, Duration: d, Seed: 1, Poisson: true}
	for _, i := range through {
		o.Instances = append(o.Instances, i.URL())
		o.Ready = append(o.Ready, i.AdminURL())
	}
	for _, svc := range f.Contract.Services {
		for _, t := range f.Targets[svc.Name] {
			o.Targets = append(o.Targets, t.URL())
		}
	}
	return o
}

// CutOneWay drops all that one instance sends to another, whichever of them
// opened the connection. What the other sends still arrives.
func (f *Fleet) CutOneWay(from, to *Instance) {
	f.t.Helper()
	to.Peers.From(from).Cut(Requests)
	from.Peers.From(to).Cut(Answers)
}

// CutPeer drops all between two instances.
func (f *Fleet) CutPeer(a, b *Instance) {
	f.t.Helper()
	f.CutOneWay(a, b)
	f.CutOneWay(b, a)
}

// HealPeer ends all faults between two instances.
func (f *Fleet) HealPeer(a, b *Instance) {
	f.t.Helper()
	a.Peers.From(b).Heal()
	b.Peers.From(a).Heal()
}
