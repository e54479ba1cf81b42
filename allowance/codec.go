package allowance

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/peer/peerv1"
	"github.com/clementinereel/clementinereel/ratelimit"
)

const (
	// maxAmount is the maximum absolute value of a number in a message.
	maxAmount = 1e9
	// maxEntries is the maximum number of demands and charges in a message,
	// maxLimits the maximum number of limits in each of them.
	maxEntries = 10_000
	maxLimits  = 10_000
)

var errMalformed = errors.New("malformed limits message")

// encodeDue returns the request for the demands and charges of one holder.
func encodeDue(h fleet.Holder, due ratelimit.Due) *peerv1.AskRequest {
	req := &peerv1.AskRequest{
		Instance:    string(h.Instance),
		Incarnation: int64(h.Incarnation),
		Demands:     make([]*peerv1.LimitsDemand, len(due.Demands)),
		Charges:     make([]*peerv1.LimitsCharge, len(due.Charges)),
	}
	for i := range due.Demands {
		req.Demands[i] = encodeDemand(&due.Demands[i])
	}
	for i := range due.Charges {
		req.Charges[i] = encodeCharge(&due.Charges[i])
	}
	return req
}

func encodeCharge(c *ratelimit.Charge) *peerv1.LimitsCharge {
	m := &peerv1.LimitsCharge{
		Customer: string(c.Customer),
		Limits:   make([]*peerv1.LimitCharge, len(c.Limits)),
	}
	for i, l := range c.Limits {
		m.Limits[i] = &peerv1.LimitCharge{Id: uint32(l.ID), Tokens: float32(l.Tokens)}
	}
	return m
}

func encodeDemand(d *ratelimit.Demand) *peerv1.LimitsDemand {
	m := &peerv1.LimitsDemand{
		Customer: string(d.Customer),
		Seq:      d.Seq,
		Applied:  d.Applied,
		Limits:   make([]*peerv1.LimitDemand, len(d.Limits)),
	}
	for i := range d.Limits {
		l := &d.Limits[i]
		m.Limits[i] = &peerv1.LimitDemand{
			Id:        uint32(l.ID),
			Balance:   float32(l.Balance),
			Want:      float32(l.Want),
			Offered:   float32(l.Offered),
			InFlight:  uint32(max(0, l.InFlight)),
			Busy:      float32(l.Busy),
			WantSlots: uint32(max(0, l.WantSlots)),
			Slots:     uint32(max(0, l.Slots)),
		}
	}
	return m
}

// decodeDue decodes and validates a request before any of it is applied.
func decodeDue(req *peerv1.AskRequest) (ratelimit.Due, error) {
	if req.GetInstance() == "" || len(req.GetDemands())+len(req.GetCharges()) > maxEntries {
		return ratelimit.Due{}, errMalformed
	}
	demands, err := decodeDemands(req)
	if err != nil {
		return ratelimit.Due{}, err
	}
	charges, err := decodeCharges(req.GetCharges())
	return ratelimit.Due{Demands: demands, Charges: charges}, err
}

func decodeCharges(ms []*peerv1.LimitsCharge) ([]ratelimit.Charge, error) {
	cs := make([]ratelimit.Charge, len(ms))
	for i, m := range ms {
		if len(m.GetLimits()) > maxLimits {
			return nil, errMalformed
		}
		cs[i].Customer = fleet.CustomerID(m.GetCustomer())
		cs[i].Limits = make([]ratelimit.LimitCharge, len(m.GetLimits()))
		for j, l := range m.GetLimits() {
			if !validAmount(l.GetTokens()) {
				return nil, errMalformed
			}
			cs[i].Limits[j] = ratelimit.LimitCharge{ID: ratelimit.LimitID(l.GetId()), Tokens: float64(l.GetTokens())}
		}
	}
	return cs, nil
}

func decodeDemands(req *peerv1.AskRequest) ([]ratelimit.Demand, error) {
	holder := fleet.Holder{
		Instance:    fleet.InstanceID(req.GetInstance()),
		Incarnation: fleet.Incarnation(req.GetIncarnation()),
	}
	ds := make([]ratelimit.Demand, len(req.GetDemands()))
	for i, m := range req.GetDemands() {
		limits, err := decodeLimits(m.GetLimits())
		if err != nil {
			return nil, err
		}
		ds[i] = ratelimit.Demand{
			Customer: fleet.CustomerID(m.GetCustomer()),
			Holder:   holder,
			Seq:      m.GetSeq(),
			Applied:  m.GetApplied(),
			Limits:   limits,
		}
	}
	return ds, nil
}

func decodeLimits(ms []*peerv1.LimitDemand) ([]ratelimit.LimitDemand, error) {
	if len(ms) > maxLimits {
		return nil, errMalformed
	}
	limits := make([]ratelimit.LimitDemand, len(ms))
	for i, m := range ms {
		if !validAmounts(m.GetWant(), m.GetOffered(), m.GetBusy()) || !validAmount(float32(math.Abs(float64(m.GetBalance())))) {
			return nil, errMalformed
		}
		if max(m.GetInFlight(), m.GetWantSlots(), m.GetSlots()) > maxAmount {
			return nil, errMalformed
		}
		limits[i] = ratelimit.LimitDemand{
			ID:        ratelimit.LimitID(m.GetId()),
			Balance:   float64(m.GetBalance()),
			Want:      float64(m.GetWant()),
			Offered:   float64(m.GetOffered()),
			InFlight:  int(m.GetInFlight()),
			Busy:      float64(m.GetBusy()),
			WantSlots: int(m.GetWantSlots()),
			Slots:     int(m.GetSlots()),
		}
	}
	return limits, nil
}

func validAmounts(vs ...float32) bool {
	for _, v := range vs {
		if !validAmount(v) {
			return false
		}
	}
	return true
}

// validAmount reports whether v is finite and in [0, maxAmount].
func validAmount(v float32) bool { return v >= 0 && v <= maxAmount }

func encodeGrant(g *ratelimit.Grant) *peerv1.LimitsGrant {
	m := &peerv1.LimitsGrant{
		Customer:   string(g.Customer),
		Seq:        g.Seq,
		LifetimeMs: uint32(g.Lifetime.Milliseconds()),
		Stale:      g.Stale,
		Limits:     make([]*peerv1.LimitGrant, len(g.Limits)),
	}
	for i := range g.Limits {
		l := &g.Limits[i]
		m.Limits[i] = &peerv1.LimitGrant{
			Id:     uint32(l.ID),
			Tokens: float32(l.Tokens),
			Slots:  uint32(l.Slots),
			Level:  float32(l.Level),
			Share:  float32(l.Share),
		}
	}
	return m
}

func decodeGrant(m *peerv1.LimitsGrant) (ratelimit.Grant, error) {
	g := ratelimit.Grant{
		Customer: fleet.CustomerID(m.GetCustomer()),
		Seq:      m.GetSeq(),
		Lifetime: time.Duration(m.GetLifetimeMs()) * time.Millisecond,
		Stale:    m.GetStale(),
		Limits:   make([]ratelimit.LimitGrant, len(m.GetLimits())),
	}
	for i, l := range m.GetLimits() {
		if !validAmounts(l.GetTokens(), l.GetLevel(), l.GetShare()) || l.GetSlots() > maxAmount {
			return g, errMalformed
		}
		g.Limits[i] = ratelimit.LimitGrant{
			ID:     ratelimit.LimitID(l.GetId()),
			Tokens: float64(l.GetTokens()),
			Slots:  int(l.GetSlots()),
			Level:  float64(l.GetLevel()),
			Share:  float64(l.GetShare()),
		}
	}
	return g, nil
}
