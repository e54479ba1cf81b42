package reelctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/status"
)

// statusCalls bounds the instances asked at the same time.
const statusCalls = 32

// maxAnswer bounds one instance's answer, in bytes.
const maxAnswer = 8 << 20

// StatusCmd asks instances for their reports.
type StatusCmd struct {
	Output
	Admin     []string         `aliases:"instance" placeholder:"ADDR" help:"Operators' addresses of instances, as 10.0.0.7:9000 or http://10.0.0.7:9000. Default: all instances of the platform's list, at --admin-port."`
	Platform  string           `env:"REELCTL_PLATFORM" placeholder:"URL" help:"Base URL of the platform's list, as http://10.0.0.5:7000."`
	AdminPort int              `default:"9000" help:"Port of the operators' address of the listed instances."`
	Customer  fleet.CustomerID `help:"Restrict the reports to one customer."`
	Timeout   time.Duration    `default:"5s" help:"How long to wait for the list and the instances."`
}

// reported is one instance's report, or why there is none.
type reported struct {
	Addr   string         `json:"addr"`
	Report *status.Report `json:"report,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// Run implements the status command.
func (c *StatusCmd) Run(a *App) error {
	ctx, cancel := context.WithTimeout(a.Context, c.Timeout)
	defer cancel()
	addrs, err := c.addrs(ctx)
	if err != nil {
		return err
	}
	all := c.ask(ctx, addrs)
	if err := c.print(a, all, func(w io.Writer) { printStatus(w, all) }); err != nil {
		return err
	}
	for _, r := range all {
		if r.Report == nil {
			return &ExitError{Code: ExitNotKnown}
		}
	}
	return nil
}

func (c *StatusCmd) addrs(ctx context.Context) ([]string, error) {
	if len(c.Admin) > 0 {
		return c.Admin, nil
	}
	if c.Platform == "" {
		return nil, exit(ExitUsage, "status: name instances by --admin, or the platform by --platform")
	}
	list, err := logservice.NewClient(c.Platform, c.Timeout).Instances(ctx)
	if err != nil {
		return nil, exit(ExitNotKnown, "the instance list did not answer: %v", err)
	}
	var addrs []string
	for _, l := range list {
		host, _, err := net.SplitHostPort(l.Addr)
		if err != nil {
			return nil, exit(ExitNotKnown, "the instance list has a wrong address for %s: %v", l.ID, err)
		}
		addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(c.AdminPort)))
	}
	return addrs, nil
}

// adminURL is a path at an instance's operators' address, which may be given with its scheme.
func adminURL(addr, path string) url.URL {
	return url.URL{Scheme: "http", Host: strings.TrimPrefix(addr, "http://"), Path: path}
}

// ask asks the instances, some at a time.
func (c *StatusCmd) ask(ctx context.Context, addrs []string) []reported {
	all := make([]reported, len(addrs))
	slots := make(chan struct{}, statusCalls)
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			all[i] = c.askOne(ctx, addr)
		})
	}
	wg.Wait()
	return all
}

func (c *StatusCmd) askOne(ctx context.Context, addr string) reported {
	u := adminURL(addr, status.Path)
	if c.Customer != "" {
		u.RawQuery = url.Values{"customer": {string(c.Customer)}}.Encode()
	}
	report, err := fetch(ctx, &u)
	if err != nil {
		return reported{Addr: addr, Error: err.Error()}
	}
	return reported{Addr: addr, Report: report}
}

func fetch(ctx context.Context, u *url.URL) (*status.Report, error) {
	code, body, err := call(ctx, http.MethodGet, u)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, errors.Errorf("answered %d %s", code, http.StatusText(code))
	}
	report := new(status.Report)
	return report, errors.WithStack(json.Unmarshal(body, report))
}

// call asks an instance and returns the status and the body.
func call(ctx context.Context, method string, u *url.URL) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, body, errors.WithStack(err)
}

func printStatus(w io.Writer, all []reported) {
	newest := newestRevisions(all)
	table(w, "INSTANCE\tZONE\tREADY\tCONFIG\tREVISIONS BEHIND\tEJECTED\tPENDING\tUNKNOWN", func(w io.Writer) {
		for _, r := range all {
			if r.Report == nil {
				fmt.Fprintf(w, "%s\tno answer: %s\n", r.Addr, r.Error)
				continue
			}
			p := r.Report
			fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\n", p.Instance, p.Zone, p.Ready, p.Config.Next, behind(p, newest), len(p.Ejected), p.Operations.Pending, p.Operations.Unknown)
		}
	})
	printEjections(w, all)
}

// newestRevisions returns the newest revision of each customer that any
// instance has in force.
func newestRevisions(all []reported) map[fleet.CustomerID]logservice.Offset {
	newest := make(map[fleet.CustomerID]logservice.Offset)
	for _, r := range all {
		if r.Report == nil {
			continue
		}
		for c, rev := range r.Report.Revisions {
			if old, ok := newest[c]; !ok || rev > old {
				newest[c] = rev
			}
		}
	}
	return newest
}

// behind counts the customers of which an instance has not the newest revision.
func behind(p *status.Report, newest map[fleet.CustomerID]logservice.Offset) int {
	n := 0
	for c, rev := range newest {
		if own, ok := p.Revisions[c]; !ok || own != rev {
			n++
		}
	}
	return n
}

func printEjections(w io.Writer, all []reported) {
	fmt.Fprintln(w)
	table(w, "EJECTED TARGET\tSERVICE\tSEEN BY\tSCOPE\tUNTIL\tREASON", func(w io.Writer) {
		for _, r := range all {
			if r.Report == nil {
				continue
			}
			for _, e := range r.Report.Ejected {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Target, e.Service, r.Report.Instance, e.Scope, e.Until.UTC().Format(timeFormat), e.Reason)
			}
		}
	})
}
