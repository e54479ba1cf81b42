package reelctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/retry/spending"
)

// WaitingCmd are the commands on requests that wait.
type WaitingCmd struct {
	List WaitingListCmd `cmd:"" help:"List what waits at an instance by service and rank, and how much of what is sent to each service is rejected."`
}

// WaitingListCmd lists what waits.
type WaitingListCmd struct {
	Gateway
	Output
}

// Run implements the waiting list command.
func (c *WaitingListCmd) Run(a *App) error {
	return listReports(a, &c.Gateway, c.Output, spending.ReportPath, printWaiting)
}

func printWaiting(w io.Writer, reports []spending.Report) {
	table(w, "SERVICE\tREJECTS\tZONES: REJECTED OF ATTEMPTS\tTENANTS\tRANKS: WAITING, OLDEST", func(w io.Writer) {
		for i := range reports {
			r := &reports[i]
			fmt.Fprintf(w, "%s\t%t\t%s\t%d\t%s\n", r.Service, r.Rejecting, zonesText(r), r.Tenants, ranksText(r))
		}
	})
}

func zonesText(r *spending.Report) string {
	var texts []string
	for _, z := range r.Zones {
		texts = append(texts, fmt.Sprintf("%s: %d of %d", z.Zone, z.Rejections, z.Attempts))
	}
	return textOrNone(texts)
}

func ranksText(r *spending.Report) string {
	var texts []string
	for _, k := range r.Ranks {
		texts = append(texts, fmt.Sprintf("%d: %d, %s", k.Rank, k.Waiting, k.Oldest.Round(time.Millisecond)))
	}
	return textOrNone(texts)
}

func textOrNone(texts []string) string {
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, "; ")
}
