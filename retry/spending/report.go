package spending

import (
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/rejection"
)

// ReportPath is the HTTP path of the list of reports.
const ReportPath = "/waiting"

// Report is what waits for a service at an instance, and what the instance believes of the service.
type Report struct {
	Service document.ServiceName `json:"service"`
	// Ranks are those of the requests that wait, most urgent first.
	Ranks []RankReport `json:"ranks"`
	// Tenants is the number of tenants with requests that wait.
	Tenants int `json:"tenants"`
	// Rejecting is set if the targets of all zones reject requests widely.
	Rejecting bool                   `json:"rejecting"`
	Zones     []rejection.ZoneReport `json:"zones"`
}

// RankReport counts the requests of one rank that wait.
type RankReport struct {
	Rank    int `json:"rank"`
	Waiting int `json:"waiting"`
	// Oldest is for how long the first of them has waited.
	Oldest time.Duration `json:"oldest_ns"`
}
