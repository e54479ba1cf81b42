package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/examples"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/instance"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/platform"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/settings"
)

const (
	instances         = 2
	targetsPerService = 3
	loopback          = "127.0.0.1:0"
	readyWait         = 10 * time.Second
)

// Cmd is the command line of `clementinereel dev`.
type Cmd struct {
	Gateway bool `help:"Run the gateway (docs/DEPLOYMENT.md) before a stand-in of its store, in place of the contract path."`

	Listen string `default:"127.0.0.1:8080" help:"Address of the first instance for callers; the second takes a free port."`
}

// Run implements the command.
func (c *Cmd) Run(ctx context.Context) error {
	if c.Gateway {
		return platform.Dev(ctx)
	}
	log := standin.New(standin.Options{})
	logURL, err := serveHTTP(log.Handler())
	if err != nil {
		return err
	}
	con, err := contract.Decode(examples.Daugava)
	if err != nil {
		return err
	}
	if err := publish(ctx, logURL, con); err != nil {
		return err
	}
	done := make(chan error, instances)
	var first *settings.Settings
	for n := range instances {
		cfg, err := c.settings(n, logURL)
		if err != nil {
			return err
		}
		if first == nil {
			first = cfg
		}
		log.Put(logservice.Listed{ID: cfg.Instance, Addr: cfg.Advertise, Zone: cfg.Zone, State: logservice.Live})
		go func() { done <- instance.Run(ctx, cfg) }()
	}
	if err := waitReady(ctx, first.AdminListen); err != nil {
		return err
	}
	printHelp(first, logURL, con)
	for range instances {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

func (c *Cmd) settings(n int, logURL string) (*settings.Settings, error) {
	listen := c.Listen
	if n > 0 {
		listen = freeAddr()
	}
	s := &settings.Settings{
		Instance:    fleet.InstanceID(fmt.Sprintf("dev-%d", n+1)),
		Zone:        fleet.Zone(string(rune('a' + n))),
		Listen:      listen,
		PeerListen:  freeAddr(),
		AdminListen: freeAddr(),
		Platform:    settings.Platform{URL: logURL},
		Stop:        settings.Stop{BalancerWait: contract.Duration(time.Millisecond)},
	}
	return s, s.Complete()
}

// publish appends the contract and announces its targets.
func publish(ctx context.Context, logURL string, con *contract.Contract) error {
	cl := logservice.NewClient(logURL, 0)
	rec, err := publication.EncodeContract("dev-contract", publication.NoRevision, con)
	if err != nil {
		return err
	}
	if _, err := cl.Append(ctx, publication.Stream, rec); err != nil {
		return err
	}
	for _, svc := range con.Services {
		for n := range targetsPerService {
			if err := announce(ctx, cl, con.Customer, svc, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func announce(ctx context.Context, cl *logservice.Client, cust fleet.CustomerID, svc contract.Service, n int) error {
	em, err := emulator.New(emulator.Options{Slots: svc.Slots})
	if err != nil {
		return err
	}
	addr, err := serveHTTP(em.Handler())
	if err != nil {
		return err
	}
	id := fleet.TargetID(fmt.Sprintf("%s-%d", svc.Name, n+1))
	rec, err := publication.EncodeTarget("dev-"+string(id), publication.NoRevision, publication.Announcement{
		ID: id, Service: fleet.NewServiceID(cust, svc.Name),
		Addr: addr[len("http://"):], Zone: fleet.Zone(string(rune('a' + n%instances))), State: fleet.Joined,
	})
	if err != nil {
		return err
	}
	_, err = cl.Append(ctx, publication.Stream, rec)
	return err
}

func serveHTTP(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.WithStack(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: settings.DefaultHeaderTimeout}
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

// freeAddr returns a loopback address that was free just now.
func freeAddr() string {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return loopback
	}
	defer ln.Close()
	return ln.Addr().String()
}

func waitReady(ctx context.Context, admin string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		resp, err := http.Get("http://" + admin + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("the instances did not become ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func printHelp(s *settings.Settings, logURL string, con *contract.Contract) {
	host := con.Hosts[0]
	fmt.Printf(`clementinereel dev is ready: 2 instances, %d services.

A lookup:
  curl -i -H 'Host: %[2]s' http://%[3]s/v1/prices/worktops
A confirmation (run it twice: the second gets the first answer):
  curl -i -H 'Host: %[2]s' -H 'Idempotency-Key: quote-1' -d '{"quote":1}' http://%[3]s/v1/quotes/confirmations
An upload:
  head -c 1000000 /dev/zero | curl -i -H 'Host: %[2]s' -H 'Content-Type: application/octet-stream' --data-binary @- http://%[3]s/v1/plans/kitchen.jpg

Operators:
  curl http://%[4]s/metrics
  reelctl show --platform %[5]s %[6]s

Ctrl-C stops it.
`, len(con.Services), host, s.Listen, s.AdminListen, logURL, con.Customer)
}
