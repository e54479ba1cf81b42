package reelctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/quarantine"
)

// ContentCmd are the commands on contents of requests that crash targets.
type ContentCmd struct {
	List ContentListCmd `cmd:"" help:"List the contents that an instance restricts or refuses."`
	Lift ContentLiftCmd `cmd:"" help:"End what is held against a content, on all instances. If it still crashes targets it is refused again after three."`
}

// Gateway names the instance that is asked.
type Gateway struct {
	Admin   string        `required:"" env:"REELCTL_ADMIN" placeholder:"ADDR" help:"Address of one instance at which it answers the balancer's checks, as 10.0.0.7:9000."`
	Timeout time.Duration `default:"5s" help:"How long to wait for the instance."`
}

// call asks the instance and returns the status and the body.
func (g *Gateway) call(ctx context.Context, method, path string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	u := adminURL(g.Admin, path)
	return call(ctx, method, &u)
}

// listReports prints the list that the instance serves at a path.
func listReports[T any](a *App, g *Gateway, o Output, path string, text func(io.Writer, []T)) error {
	status, body, err := g.call(a.Context, http.MethodGet, path)
	if err != nil || status != http.StatusOK {
		return exit(ExitNotKnown, "the instance %s did not answer: status %d, %v", g.Admin, status, err)
	}
	all := []T{}
	if err := json.Unmarshal(body, &all); err != nil {
		return exit(ExitNotKnown, "the instance %s answered something else: %v", g.Admin, err)
	}
	return o.print(a, all, func(w io.Writer) { text(w, all) })
}

// ContentListCmd lists the contents under restriction.
type ContentListCmd struct {
	Gateway
	Output
}

// Run implements the content list command.
func (c *ContentListCmd) Run(a *App) error {
	return listReports(a, &c.Gateway, c.Output, quarantine.ReportPath, printContents)
}

func printContents(w io.Writer, reports []quarantine.Report) {
	table(w, "CONTENT\tSTANDING\tIN DOUBT\tLAST LOSS\tTRIED OR FREE AT\tTARGETS", func(w io.Writer) {
		for _, r := range reports {
			until := "-"
			if r.Until != nil {
				until = r.Until.UTC().Format(timeFormat)
			}
			fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%s\n", r.Content, r.Standing, r.Doubted, r.LastLoss.UTC().Format(timeFormat), until, joined(r.Targets, ","))
		}
	})
}

// joined returns the IDs with a separator between them.
func joined[ID ~string](ids []ID, separator string) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, separator)
}

// ContentLiftCmd lifts a content.
type ContentLiftCmd struct {
	Gateway
	Content string `arg:"" help:"The content, as it is listed and logged."`
}

// Run implements the content lift command.
func (c *ContentLiftCmd) Run(a *App) error {
	f, err := quarantine.ParseFingerprint(c.Content)
	if err != nil {
		return exit(ExitUsage, "%v", err)
	}
	status, body, err := c.call(a.Context, http.MethodDelete, quarantine.ReportPath+"/"+f.String())
	return lifted(a, c.Admin, status, body, err)
}

// lifted tells how an instance answered a call that lifts something.
func lifted(a *App, admin string, status int, body []byte, err error) error {
	switch {
	case err != nil:
		return exit(ExitNotKnown, "the instance %s did not answer; whether it was lifted is not known: %v", admin, err)
	case status == http.StatusNotFound:
		return exit(ExitRefused, "%s", body)
	case status != http.StatusNoContent:
		return exit(ExitNotKnown, "the instance %s answered %d: %s", admin, status, body)
	}
	fmt.Fprintln(a.Out, "lifted")
	return nil
}
