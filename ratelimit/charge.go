package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinereel/clementinereel/fleet"
)

// Partitions is the number of groups into which customers are hashed. All
// customers of a partition have the same limiter; the number must be the same
// at all instances.
const Partitions = 256

// PartitionOf returns a customer's partition, from 0 to Partitions-1.
func PartitionOf(c fleet.CustomerID) uint64 {
	return xxhash.Sum64String(string(c)) % Partitions
}

// rarelyUsed reports whether an eighth of each overdraft covers the expected
// use, so that the account needs to hold no tokens.
func (a *Account) rarelyUsed() bool {
	for i := range a.lines {
		if a.lines[i].expected() > a.lines[i].overdraft(a.listed)/8 {
			return false
		}
	}
	return true
}

// chargeable reports whether a charge should be made now.
func (a *Account) chargeable(now time.Time) bool {
	return !a.waiting && a.chargePeriod(now) != a.chargePeriod(a.lastDemandAt) && a.rarelyUsed() && a.inDebt()
}

// chargePeriod returns the number of the period in which an account may make
// one charge. Periods start together for all customers of a partition at an
// instance, so that their charges go in one call, and at a different time at
// other instances.
func (a *Account) chargePeriod(now time.Time) int64 {
	phase := PartitionOf(a.customer)*uint64(chargeInterval)/Partitions +
		xxhash.Sum64String(string(a.holder.Instance))%uint64(chargeInterval)
	return (now.UnixNano() + int64(phase)) / int64(chargeInterval)
}

func (a *Account) inDebt() bool {
	for i := range a.lines {
		if a.lines[i].balance < -minDebt {
			return true
		}
	}
	return false
}

// makeCharge returns a charge for the account's debts.
func (a *Account) makeCharge(now time.Time) Charge {
	a.settle(now)
	a.lastDemandAt = now
	a.charge = a.seqs.Add(1)
	c := Charge{Customer: a.customer, Seq: a.charge}
	for i := range a.lines {
		l := &a.lines[i]
		l.average(now.Sub(l.reportedAt).Seconds())
		l.reportedAt = now
		l.charged = math.Max(0, -l.balance)
		if l.charged > 0 {
			c.Limits = append(c.Limits, LimitCharge{ID: l.ID, Tokens: l.charged})
		}
	}
	return c
}

// settleCharge completes a charge and, if it was paid, clears the charged debts.
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

// Charge takes the charged tokens from the buckets of the limits in force. It
// reports false, and takes none, if any bucket is too low.
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
