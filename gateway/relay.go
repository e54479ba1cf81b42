package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/mesh"
	"github.com/clementinereel/clementinereel/quarantine"
	"github.com/clementinereel/clementinereel/relay"
	"github.com/clementinereel/clementinereel/response"
)

const (
	// relayAfterUnreachable is the number of unreachable targets after which a request is passed on to
	// another instance.
	relayAfterUnreachable = 2
	// maxNearRelayPeers and maxRelayPeers bound the instances that are asked to take a request: those
	// of the own zone, and all.
	maxNearRelayPeers = 3
	maxRelayPeers     = 5
	// maxRelayCandidates is the number of instances of other zones among which those are chosen.
	maxRelayCandidates = 2 * maxRelayPeers
	// relayMargin is the part of the time left that is reserved for the way back.
	relayMargin = 15 * time.Millisecond
	// relayMaxIdle is the longest idle time of a connection that carries a request to another
	// instance. It is short, since connections may go silent.
	relayMaxIdle = 2 * time.Second
	// relayAvoidDuration is how long an instance is not asked after it could not be reached.
	relayAvoidDuration = 5 * time.Second
	// relayOverheadBytes is the size of an outcome without the body of its response: the header, encoded.
	relayOverheadBytes = 2 * exchange.MaxHeadBytes
)

// relayer passes requests on to other instances.
type relayer struct {
	client *exchange.Client
	node   *mesh.Node
	zone   fleet.Zone

	mu sync.Mutex
	// avoidedUntil holds the instances that could not be reached.
	avoidedUntil map[string]time.Time
}

func newRelayer(node *mesh.Node, zone fleet.Zone) *relayer {
	return &relayer{
		client:       &exchange.Client{Cache: exchange.NewCache(dialTimeout), Headers: relayHeaders, MaxResponseBytes: maxResponseBytes + relayOverheadBytes},
		node:         node,
		zone:         zone,
		avoidedUntil: make(map[string]time.Time),
	}
}

// relayHeaders are the header fields of calls between instances.
var relayHeaders = exchange.Headers{RequestID: "Request-Id", Deadline: "Request-Deadline", Seal: "Instance", Target: "Intended-Instance", NotRun: "Not-Run"}

// peers returns the instances to which a request for the service may be passed on, in the order in which
// they are asked: those of the own zone first.
func (r *relayer) peers(name document.ServiceName) []string {
	v := r.node.View()
	var near, far []string
	for i := range v.Members {
		if m := &v.Members[i]; m.Zone == r.zone && m.Fresh(v.At) && !m.Leaving && m.Reaches(name) && !r.isAvoided(v.At, m.Addr) {
			near = append(near, m.Addr)
		}
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	near = near[:min(len(near), maxNearRelayPeers)]
	for _, m := range r.node.DistantMembers(maxRelayCandidates) {
		if (m.Paths == nil || m.Reaches(name)) && !r.isAvoided(v.At, m.Addr) {
			far = append(far, m.Addr)
		}
	}
	all := slices.Concat(near, far)
	return all[:min(len(all), maxRelayPeers)]
}

func (r *relayer) isAvoided(now time.Time, addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoidedUntil[addr])
}

func (r *relayer) avoid(now time.Time, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[addr] = now.Add(relayAvoidDuration)
}

// tick closes connections that were idle for too long and forgets instances that are no longer avoided.
func (r *relayer) tick(now time.Time) {
	r.client.Cache.Sweep(now, func(exchange.Target) bool { return true })
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.avoidedUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// relayResult tells what became of a request that was to be passed on.
type relayResult uint8

const (
	// relayNobody means that no other instance was reached.
	relayNobody relayResult = iota
	// relayDeclined means that those that were reached cannot serve the request either.
	relayDeclined
	relayTaken
)

// relay passes the request on to other instances until one takes it, and returns its outcome. If none
// does, the request has not run.
func (c *call) relay(ctx context.Context) (outcome, relayResult) {
	if c.relayed {
		return outcome{}, relayNobody // a request is passed on once
	}
	result := relayNobody
	for _, peer := range c.h.Relayer.peers(c.service) {
		left := time.Until(c.deadline) - relayMargin
		if ctx.Err() != nil || left < minAttemptTime {
			break
		}
		sent, err := c.sendRelayed(ctx, peer, left)
		if err != nil {
			eventlog.Error(eventlog.RequestRelayed, err, "request", c.id, "peer", peer)
			break
		}
		o, taken := c.relayOutcome(sent)
		eventlog.Info(eventlog.RequestRelayed, "request", c.id, "route", c.route.Name, "class", c.route.Class, "service", c.service, "peer", peer, "kind", sent.Kind, "err", sent.Err,
			"outcome", string(o.kind), "target", o.target, "took_ms", sent.Took.Milliseconds(), "document", c.version)
		c.h.Metrics.CountRelayed(c.service, sent.Kind)
		switch {
		case taken:
			return o, relayTaken
		case sent.Kind == exchange.Refused:
			result = relayDeclined
		default:
			c.h.Relayer.avoid(time.Now(), peer)
		}
	}
	return outcome{kind: outcomeNotRun, reason: "no instance that was asked reaches its targets"}, result
}

// sendRelayed sends the request to another instance, which has the given time for it.
func (c *call) sendRelayed(ctx context.Context, peer string, left time.Duration) (exchange.Result, error) {
	r := &relay.Request{
		ID: c.id, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: c.request.Header, HasBody: c.request.HasBody, Body: c.request.Body,
		Version: c.version, Route: c.route.Name, Service: c.service, Class: c.route.Class, MaxAttempts: c.route.MaxAttempts, Objective: c.route.Objective, Priority: c.priority,
		TargetLeft: min(time.Until(c.targetDeadline), left), Left: left, Trial: c.standing() == quarantine.Quarantined,
	}
	body, err := r.Encode()
	if err != nil {
		return exchange.Result{}, err
	}
	request := &exchange.Request{ID: c.id, Method: http.MethodPost, URI: relay.Path, Host: peer, Header: make(http.Header), Body: body, HasBody: true, Memory: c.responses}
	to := exchange.Target{ID: fleet.TargetID(peer), Addr: peer}
	return c.h.Relayer.client.Do(ctx, to, request, c.deadline, c.deadline, relayMaxIdle), nil
}

// relayOutcome returns the outcome of a request that was sent to another instance. It returns false if
// that has not taken it.
func (c *call) relayOutcome(r exchange.Result) (outcome, bool) {
	switch {
	case r.Kind.NotRun():
		return outcome{kind: outcomeNotRun}, false
	case r.Kind == exchange.TimedOut:
		return outcome{kind: outcomeTimedOut, reason: reasonTimedOut}, true
	case r.Kind != exchange.Answered:
		return outcome{kind: outcomeUnknown, reason: "the answer was lost"}, true
	}
	o, err := decodeOutcome(r.Response)
	if err != nil {
		eventlog.Error(eventlog.RequestRelayed, err, "request", c.id)
		return outcome{kind: outcomeUnknown, reason: "the answer was lost"}, true
	}
	return o, true
}

func decodeOutcome(r *exchange.Response) (outcome, error) {
	if r.Status != http.StatusOK {
		return outcome{}, errors.Errorf("instance responded with status %d", r.Status)
	}
	m, err := relay.DecodeOutcome(r.Body)
	if err != nil {
		return outcome{}, err
	}
	o := outcome{kind: outcomeKind(m.Kind), reason: m.Reason, target: m.Target, attempts: m.Attempts, retryAfter: m.RetryAfter}
	if m.Status != 0 {
		if err := response.Check(m.Status, m.Header); err != nil {
			return outcome{}, err
		}
		o.response = &exchange.Response{Status: m.Status, Header: m.Header, Body: m.Body}
	}
	switch o.kind {
	case outcomeAnswered, outcomeNotRun, outcomeUnknown, outcomeTimedOut:
		return o, nil
	}
	return outcome{}, errors.Errorf("unknown outcome %q", m.Kind)
}

// encodeOutcome is the reverse of decodeOutcome.
func encodeOutcome(o outcome) ([]byte, error) {
	m := &relay.Outcome{Kind: string(o.kind), Reason: o.reason, Target: o.target, Attempts: o.attempts, RetryAfter: o.retryAfter}
	if o.response != nil {
		m.Status, m.Header, m.Body = o.response.Status, o.response.Header, o.response.Body
	}
	return m.Encode()
}
