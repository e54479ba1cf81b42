package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/problem"
	"github.com/clementinereel/clementinereel/quota"
)

// This file acquires tokens of tenants' quotas for requests, and grants those that this instance holds.

const (
	// quotaTimeout bounds the wait for a holder, which usually replies within 1–5 ms, and farQuotaTimeout
	// that for an instance of another zone, which asks the holders there.
	quotaTimeout    = 24 * time.Millisecond
	farQuotaTimeout = 40 * time.Millisecond
	// quotaRetryInterval is the time after which a question is repeated, since a datagram may be lost.
	quotaRetryInterval = 8 * time.Millisecond
	// quotaStartTimeout is how long after the start of the process requests wait until it knows its part of the
	// quotas. A refused caller may have no time left to retry, or may not be allowed to.
	quotaStartTimeout = 600 * time.Millisecond
	// quotaContacts is the number of instances of other zones that are asked in turn.
	quotaContacts = 3
)

// quotaNode is the part of mesh.Node that Quotas uses.
type quotaNode interface {
	Addr() string
	SendQuotaRequest(to string, r mesh.QuotaRequest, rank quota.Rank)
	SendQuotaResponse(requester string, r mesh.TokenResponse)
	Contacts(count int) []string
}

// Quotas enforces the quotas of tenants, together with the other instances.
type Quotas struct {
	table *quota.Table
	node  quotaNode
	zone  fleet.Zone
	// current returns the document in force; nil if there is none.
	current   func() *document.Table
	metrics   *Metrics
	questions questions
	replies   sentReplies
	leaving   atomic.Bool
	// counted is closed once the number of instances is known.
	counted     chan struct{}
	countedOnce sync.Once
	booted      time.Time
	// contact counts the questions to other zones, which go to the contacts in turn.
	contact atomic.Uint64
	// loggedMembers and loggedTotal were logged last, at loggedAt. Only tick uses them.
	loggedMembers, loggedTotal int
	loggedAt                   time.Time
}

// NewQuotas returns a Quotas without tokens.
func NewQuotas(node quotaNode, zone fleet.Zone, booted time.Time, b quota.Bounds, current func() *document.Table, m *Metrics) *Quotas {
	return &Quotas{
		table: quota.NewTable(fleet.InstanceID(node.Addr()), booted, b, rand.Float64), node: node, zone: zone, booted: booted, counted: make(chan struct{}), current: current, metrics: m,
	}
}

// Leave releases the tokens that the instance holds.
func (q *Quotas) Leave() { q.leaving.Store(true) }

// tick updates what is known of the fleet, which has the given number of instances; 0 if unknown.
func (q *Quotas) tick(now time.Time, v mesh.View, instances int) {
	f := quota.Fleet{Total: instances}
	if !q.leaving.Load() {
		f.Members = append(f.Members, quota.Member{ID: fleet.InstanceID(q.node.Addr()), Boot: q.booted.UnixMilli()})
	}
	for m := range possibleHolders(now, v, q.zone) {
		f.Members = append(f.Members, quota.Member{ID: fleet.InstanceID(m.Addr), Boot: m.Boot})
	}
	q.table.Update(now, f)
	q.table.Tick(now)
	if instances > 0 {
		q.countedOnce.Do(func() { close(q.counted) })
	}
	q.logFleet(now, len(f.Members), f.Total)
}

// logFleet logs the part of the quotas that the instances of this zone have, if it has changed.
func (q *Quotas) logFleet(now time.Time, members, total int) {
	if members == q.loggedMembers && total == q.loggedTotal || now.Sub(q.loggedAt) < countLogInterval {
		return
	}
	q.loggedMembers, q.loggedTotal, q.loggedAt = members, total, now
	eventlog.Info(eventlog.QuotaPartChanged, "members", members, "instances", total)
}

func limitOf(t *document.Tenant) quota.Limit { return quota.Limit{Rate: t.Rate, Burst: t.Burst} }

// requestOf returns a request of the tenant as it is decided by the quota.
func requestOf(t *document.Tenant, rank quota.Rank) quota.Request {
	return quota.Request{Tenant: t.Name, Limit: limitOf(t), Rank: rank}
}

// Acquire decides whether a request of the tenant may run. Tenants without a quota always may.
func (q *Quotas) Acquire(ctx context.Context, t *document.Tenant, rank quota.Rank) quota.Decision {
	if t == nil || t.Rate == 0 {
		return quota.Decision{Granted: true}
	}
	q.waitUntilCounted(ctx)
	d := q.table.Acquire(time.Now, requestOf(t, rank), quotaAsker{ctx, q, t.Name, rank}, true)
	q.metrics.CountQuota(d, rank)
	return d
}

// waitUntilCounted waits during startup until the number of instances is known.
func (q *Quotas) waitUntilCounted(ctx context.Context) {
	left := quotaStartTimeout - time.Since(q.booted)
	if left <= 0 {
		return
	}
	end := time.NewTimer(left)
	defer end.Stop()
	select {
	case <-q.counted:
	case <-end.C:
	case <-ctx.Done():
	}
}

// Return gives back the token of a request that has not run and will not.
func (q *Quotas) Return(t *document.Tenant, d quota.Decision) {
	switch d.Holder {
	case "":
	case fleet.InstanceID(q.node.Addr()):
		q.table.Return(time.Now(), t.Name, limitOf(t))
	default:
		q.node.SendQuotaRequest(string(d.Holder), mesh.QuotaRequest{Tenant: t.Name, Purpose: mesh.QuotaReturn}, 0)
	}
}

// quotaAsker asks other instances for the tokens of a tenant, for a request of a rank.
type quotaAsker struct {
	ctx    context.Context
	q      *Quotas
	tenant document.TenantName
	rank   quota.Rank
}

// Ask implements quota.Asker.
func (a quotaAsker) Ask(holder fleet.InstanceID) (quota.Reply, bool) {
	return a.ask(string(holder), mesh.QuotaGrant, quotaTimeout, quotaRetryInterval)
}

// AskOtherZone implements quota.Asker. The question is not repeated, as it would be answered twice.
func (a quotaAsker) AskOtherZone() (quota.Reply, bool) {
	contacts := a.q.node.Contacts(quotaContacts)
	if len(contacts) == 0 {
		return quota.Reply{}, false
	}
	to := contacts[a.q.contact.Add(1)%uint64(len(contacts))]
	return a.ask(to, mesh.QuotaAcquire, farQuotaTimeout, farQuotaTimeout)
}

func (a quotaAsker) ask(to string, purpose mesh.QuotaPurpose, timeout, interval time.Duration) (quota.Reply, bool) {
	r, ok := a.q.questions.ask(a.ctx, timeout, interval, func(number uint64) {
		a.q.node.SendQuotaRequest(to, mesh.QuotaRequest{Number: number, Tenant: a.tenant, Purpose: purpose}, a.rank)
	})
	return quota.Reply{Granted: r.Granted, Wait: millis(r.WaitMillis)}, ok
}

// handlePacket replies to the quota requests in a packet, and delivers its quota responses.
func (q *Quotas) handlePacket(now time.Time, p *mesh.Packet) {
	for i, r := range p.QuotaRequests {
		q.handleRequest(now, p, r, p.QuotaRank(i))
	}
	for _, r := range p.QuotaResponses {
		q.questions.deliver(r)
	}
}

func (q *Quotas) handleRequest(now time.Time, p *mesh.Packet, r mesh.QuotaRequest, rank quota.Rank) {
	tenant := q.tenant(r.Tenant)
	switch r.Purpose {
	case mesh.QuotaGrant:
		q.node.SendQuotaResponse(p.Addr, q.replies.once(questionID{p.Addr, p.Boot, r.Number}, func() mesh.TokenResponse {
			return q.grant(now, tenant, rank, r.Number)
		}))
	case mesh.QuotaAcquire:
		go q.acquireFor(p.Addr, tenant, rank, r.Number)
	case mesh.QuotaReturn:
		if tenant != nil {
			q.table.Return(now, tenant.Name, limitOf(tenant))
		}
	}
}

// tenant returns a tenant of the document in force; nil if it has none of that name.
func (q *Quotas) tenant(name document.TenantName) *document.Tenant {
	if t := q.current(); t != nil {
		return t.TenantNamed(name)
	}
	return nil
}

// grant takes a token that this instance holds. A tenant that is unknown here gets none.
func (q *Quotas) grant(now time.Time, t *document.Tenant, rank quota.Rank, number uint64) mesh.TokenResponse {
	if t == nil || q.leaving.Load() {
		return mesh.TokenResponse{Number: number, WaitMillis: holderUnavailableDelay.Milliseconds()}
	}
	wait, granted := q.table.Grant(now, t.Name, limitOf(t), rank)
	return mesh.TokenResponse{Number: number, Granted: granted, WaitMillis: wait.Milliseconds()}
}

// acquireFor acquires a token in this zone for a request at an instance of another zone.
func (q *Quotas) acquireFor(requester string, t *document.Tenant, rank quota.Rank, number uint64) {
	r := mesh.TokenResponse{Number: number}
	if t != nil {
		d := q.table.Acquire(time.Now, requestOf(t, rank), quotaAsker{context.Background(), q, t.Name, rank}, false)
		r.Granted, r.WaitMillis = d.Granted, d.Wait.Milliseconds()
	}
	q.node.SendQuotaResponse(requester, r)
}

// reports returns what this instance knows of the quotas in use.
func (q *Quotas) reports(now time.Time) []quota.Report {
	return q.table.Reports(now, func(name document.TenantName) (quota.Limit, bool) {
		t := q.tenant(name)
		if t == nil || t.Rate == 0 {
			return quota.Limit{}, false
		}
		return limitOf(t), true
	})
}

// quotaRank returns the request's rank among those of its tenant, which is that of its route: the priority of a
// tenant is the same for all of its requests.
func (c *call) quotaRank() quota.Rank { return quota.RankOf(c.route.Priority) }

// acquireQuota takes a token of the tenant's quota for the request. If there is none, it responds that the
// request was not run and returns the status, otherwise 0.
func (c *call) acquireQuota() int {
	c.quota = c.h.Quotas.Acquire(c.r.Context(), c.tenant, c.quotaRank())
	if c.quota.Granted {
		if c.quota.Source == quota.FromStandby {
			eventlog.Info(eventlog.QuotaStandbyUsed, "request", c.id, "tenant", c.tenant.Name, "document", c.version)
		}
		return 0
	}
	return c.refuseQuota()
}

// refuseQuota responds that the tenant's quota is used up.
func (c *call) refuseQuota() int {
	retryAfter := max(c.quota.Wait, minRetryAfter)
	return c.refuseWith(http.StatusTooManyRequests, problem.RateLimited, "the quota of the tenant is used up", retryAfter+rand.N(minRetryAfter),
		"rate", c.tenant.Rate, "burst", c.tenant.Burst, "by", c.quota.Source, "rank", c.quotaRank())
}

// returnQuota gives the request's token back if no target has run it.
func (c *call) returnQuota() {
	if !c.mayHaveRun {
		c.h.Quotas.Return(c.tenant, c.quota)
	}
}
