package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Partitions is the number of groups into which customers fall. All customers
// of a partition have the same limiter; the number must be the same at all
// instances.
const Partitions = 256

// PartitionOf returns a customer's partition, from 0 to Partitions-1.
func PartitionOf(c fleet.CustomerID) uint64 {
	return xxhash.Sum64String(string(c)) % Partitions
}

// rare tells whether an eighth of the account's overdrafts is ample for its use, so that
// it needs to hold no tokens.
func (a *Account) rare() bool {
	for i := range a.lines {
		if a.lines[i].expected() > a.lines[i].own(a.listed)/8 {
			return false
		}
	}
	return true
}

// chargeable tells whether a charge should be made now.
func (a *Account) chargeable(now time.Time) bool {
	return !a.waiting && a.turn(now) != a.turn(a.asked) && a.rare() && a.inDebt()
}

// turn numbers the periods in which an account may make one charge. They begin
// at the same moments for all customers of a partition at an instance, so that
// their charges go in one call, and at others for other instances.
func (a *Account) turn(now time.Time) int64 {
	phase := PartitionOf(a.customer)*uint64(chargeEvery)/Partitions +
		xxhash.Sum64String(string(a.holder.Instance))%uint64(chargeEvery)
	return (now.UnixNano() + int64(phase)) / int64(chargeEvery)
}

func (a *Account) inDebt() bool {
	for i := range a.lines {
		if a.lines[i].balance < -minDebt {
			return true
		}
	}
	return false
}

// makeCharge returns a charge of the account's debts.
func (a *Account) makeCharge(now time.Time) Charge {
	a.settle(now)
	a.asked = now
	a.charge = a.seqs.Add(1)
	c := Charge{Customer: a.customer, Seq: a.charge}
	for i := range a.lines {
		l := &a.lines[i]
		l.average(now.Sub(l.told).Seconds())
		l.told = now
		l.charged = math.Max(0, -l.balance)
		if l.charged > 0 {
			c.Limits = append(c.Limits, LimitCharge{ID: l.ID, Tokens: l.charged})
		}
	}
	return c
}

// settleCharge ends a charge; its debts are gone if it was paid.
func (a *Account) settleCharge(seq uint64, paid bool) {
	if seq != a.charge {
		return
	}
	a.charge = 0
	for i := range a.lines {
		l := &a.lines[i]
		if paid {
			l.balance += l.charged
		}
		l.charged = 0
	}
}

// Charge pays debts of an account under the limits in force and tells whether
// all could be paid; otherwise none was.
func (g *Granter) Charge(now time.Time, limits Limits, view View, c Charge) bool {
	g.used = now
	for _, lc := range c.Limits {
		l := limits.find(lc.ID)
		if l != nil && g.bucket(now, l, view).level < lc.Tokens {
			return false
		}
	}
	for _, lc := range c.Limits {
		if l := limits.find(lc.ID); l != nil {
			g.bucket(now, l, view).level -= lc.Tokens
		}
	}
	return true
}
