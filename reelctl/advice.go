package reelctl

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/clementinereel/clementinereel/advice"
)

// AdviceCmd are the commands on what targets say of themselves.
type AdviceCmd struct {
	List AdviceListCmd `cmd:"" help:"List what targets say of themselves, as far as an instance acts on it."`
	Lift AdviceLiftCmd `cmd:"" help:"End what a target said of itself: that it leaves and its rate on all instances, the backoff on this one. What it says afterwards holds."`
}

// AdviceListCmd lists what targets say of themselves.
type AdviceListCmd struct {
	Gateway
	Output
}

// Run implements the advice list command.
func (c *AdviceListCmd) Run(a *App) error {
	return listReports(a, &c.Gateway, c.Output, advice.Path, printAdvice)
}

func printAdvice(w io.Writer, reports []advice.Report) {
	table(w, "TARGET\tSERVICE\tLEAVING SINCE\tBACKOFF UNTIL\tRATE\tHELD BY", func(w io.Writer) {
		for _, r := range reports {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Target, r.Service, timeOrNone(r.LeavingSince), timeOrNone(r.BackoffUntil), rateOrNone(r.Rate), r.RateHolder)
		}
	})
}

func timeOrNone(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.UTC().Format(timeFormat)
}

func rateOrNone(rate float64) string {
	if rate == 0 {
		return "-"
	}
	return fmt.Sprintf("%g/s", rate)
}

// AdviceLiftCmd lifts what a target said of itself.
type AdviceLiftCmd struct {
	Gateway
	Target string `arg:"" help:"The target's ID, as it is listed and logged."`
}

// Run implements the advice lift command.
func (c *AdviceLiftCmd) Run(a *App) error {
	status, body, err := c.call(a.Context, http.MethodDelete, advice.Path+"/"+url.PathEscape(c.Target))
	return lifted(a, c.Admin, status, body, err)
}
