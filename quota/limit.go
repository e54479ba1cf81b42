package quota

import "time"

// Limit is the quota of a tenant over all instances together.
type Limit struct {
	// Rate is in requests per second; 0 means that there is no limit.
	Rate float64
	// Burst is how many requests beyond the rate are allowed at once.
	Burst float64
}

// Bounds is the tolerance of quotas: in any Window, the fleet may grant
// (Rate × Window + Burst) × (1 + Excess) + Slack requests.
type Bounds struct {
	Window time.Duration
	// Excess is a fraction, Slack a number of requests.
	Excess, Slack float64
}

// Uses of the margin, as fractions of it. Together they leave a part for a fleet that restarts twice within a
// window, and for tokens that are granted while instances disagree on who runs.
const (
	// burstFraction raises the capacity of buckets, so that the division into buckets does not refuse
	// what one bucket would have granted.
	burstFraction = 0.4
	// reserveFraction is granted per window by standbys.
	reserveFraction = 0.3
	// startFraction is in the buckets of a fleet that has just started, and in those of the instances that
	// replace holders which failed.
	startFraction = 0.2
)

// margin returns how many requests beyond the limit a window may have.
func (b Bounds) margin(l Limit) float64 {
	return b.Excess*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// capacity returns the number of tokens of all buckets together.
func (b Bounds) capacity(l Limit) float64 { return max(l.Burst+burstFraction*b.margin(l), 1) }

const (
	// maxHolders is the number of holders in a zone. One that fails takes its part of the tokens along.
	maxHolders = 3
	// minCapacity is the capacity below which buckets are not divided further: requests arrive unevenly,
	// and a bucket of little more than one token refuses many of them.
	minCapacity = 2
)

// holders returns the number of holders in a zone that has the given part of the quota.
func (b Bounds) holders(l Limit, part float64) int {
	return min(max(int(b.capacity(l)*part/minCapacity), 1), maxHolders)
}
