package reelctl

import (
	"fmt"
	"io"

	"github.com/clementinereel/clementinereel/quota"
)

// QuotaCmd are the commands on the quotas of tenants.
type QuotaCmd struct {
	List QuotaListCmd `cmd:"" help:"List the quotas of the tenants in use at an instance: what it granted and refused, also by rank (granted/refused), and who holds the tokens."`
}

// QuotaListCmd lists the quotas of tenants.
type QuotaListCmd struct {
	Gateway
	Output
}

// Run implements the quota list command.
func (c *QuotaListCmd) Run(a *App) error {
	return listReports(a, &c.Gateway, c.Output, quota.Path, printQuotas)
}

func printQuotas(w io.Writer, reports []quota.Report) {
	table(w, "TENANT\tRATE\tBURST\tGRANTED\tREFUSED\tBY RANK\tHELD HERE\tLAST USED\tHOLDERS", func(w io.Writer) {
		for _, r := range reports {
			fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%d\t%s\t%s\t%s\t%s\n", r.Tenant, rateOrNone(r.Rate), r.Burst, r.Granted, r.Denied, decisionsByRank(r.Ranks), tokensOrNone(r.Tokens),
				r.UsedAt.UTC().Format(timeFormat), joined(r.Holders, " "))
		}
	})
}

// decisionsByRank returns the granted and refused requests of each rank.
func decisionsByRank(ranks []quota.RankReport) string {
	var parts []string
	for _, r := range ranks {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", r.Rank, r.Granted, r.Denied))
	}
	return joined(parts, " ")
}

func tokensOrNone(tokens *float64) string {
	if tokens == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f", *tokens)
}
