package quota

import (
	"math"
	"strconv"
	"time"
)

// Rank is the priority of a request's route, whatever the priority of its tenant; 0 is the most urgent. Requests beyond
// the quota are refused by rank, the least urgent first.
type Rank uint8

// Ranks is the number of ranks that are told apart. Less urgent requests have the last one.
const Ranks = 4

// RankOf returns the rank of the requests of a route with the given priority.
func RankOf(priority int) Rank { return Rank(min(max(priority, 0), Ranks-1)) }

// String returns the rank as it appears in logs and metrics.
func (r Rank) String() string {
	if r == Ranks-1 {
		return strconv.Itoa(int(r)) + "+"
	}
	return strconv.Itoa(int(r))
}

const (
	// demandTimeConstant is that of the average over which the demand of a rank is measured.
	demandTimeConstant = time.Second
	// Tokens are reserved for reservedDemand of the more urgent demand, at most maxReservedFraction of the
	// capacity beyond one token: a full bucket grants requests of every rank.
	reservedDemand      = time.Second
	maxReservedFraction = 0.7
)

// demand measures how many requests of each rank ask a holder.
type demand struct {
	counts    [Ranks]float64
	updatedAt time.Time
}

// add counts a request.
func (d *demand) add(now time.Time, rank Rank) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		for i := range d.counts {
			d.counts[i] *= decay
		}
		d.updatedAt = now
	}
	d.counts[rank]++
}

// reserved returns the tokens of a bucket that are kept for requests more urgent than the rank. There are none
// if no such requests ask.
func (d *demand) reserved(rank Rank, capacity float64) float64 {
	return min(d.moreUrgent(rank)*reservedDemand.Seconds(), maxReservedFraction*max(capacity-1, 0))
}

// moreUrgent returns the demand of the ranks that are more urgent than the given one, in requests per second.
func (d *demand) moreUrgent(rank Rank) float64 {
	sum := 0.0
	for _, n := range d.counts[:rank] {
		sum += n
	}
	return sum / demandTimeConstant.Seconds()
}

// rankTimes has a time for each rank that applies to it and to all that are less urgent.
type rankTimes [Ranks]time.Time

// latest returns the latest time that applies to a rank.
func (t *rankTimes) latest(rank Rank) time.Time {
	latest := t[0]
	for _, at := range t[1 : rank+1] {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}
