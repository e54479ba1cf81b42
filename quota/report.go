package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

// Path is the HTTP path of the list of reports.
const Path = "/quotas"

// Report is what an instance knows of a tenant's quota.
type Report struct {
	Tenant document.TenantName `json:"tenant"`
	// Rate is in requests per second over all instances together, Burst in requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Granted and Denied count the decisions of this instance.
	Granted int64 `json:"granted"`
	Denied  int64 `json:"denied"`
	// Ranks are the decisions by rank, of those ranks that had any, the most urgent first.
	Ranks []RankReport `json:"ranks,omitempty"`
	// Holders are the instances of the own zone that hold tokens.
	Holders []fleet.InstanceID `json:"holders"`
	// Tokens are those that this instance holds; nil if it is no holder, or was not asked yet.
	Tokens *float64 `json:"tokens,omitempty"`
	// UsedAt is when this instance last decided or was asked.
	UsedAt time.Time `json:"used_at"`
}

// RankReport counts the decisions of an instance on a tenant's requests of one rank.
type RankReport struct {
	// Rank is the priority of the requests' routes; the last one includes all that are less urgent.
	Rank    Rank  `json:"rank"`
	Granted int64 `json:"granted"`
	Denied  int64 `json:"denied"`
}

// countDecisions sets the counts of the report.
func (r *Report) countDecisions(e *tenant) {
	for rank := range Rank(Ranks) {
		c := RankReport{rank, e.granted[rank], e.denied[rank]}
		if c.Granted+c.Denied == 0 {
			continue
		}
		r.Granted += c.Granted
		r.Denied += c.Denied
		r.Ranks = append(r.Ranks, c)
	}
}

// Reports returns the reports of the tenants that were in use recently, sorted by name. LimitOf returns false
// for tenants that no longer have a quota.
func (t *Table) Reports(now time.Time, limitOf func(document.TenantName) (Limit, bool)) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Report{}
	for name, e := range t.tenants {
		l, ok := limitOf(name)
		if !ok {
			continue
		}
		r := Report{Tenant: name, Rate: l.Rate, Burst: l.Burst, Holders: t.holdersLocked(name, l), UsedAt: e.usedAt}
		r.countDecisions(e)
		if rate, capacity, ok := t.share(name, l); ok && e.isHeld {
			e.held.refill(now, rate, capacity)
			tokens := e.held.tokens
			r.Tokens = &tokens
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Report) int { return strings.Compare(string(a.Tenant), string(b.Tenant)) })
	return all
}
