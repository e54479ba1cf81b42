package quota

import "time"

// debitSlots is the number of parts of the window in which debits are counted together.
const debitSlots = 64

// debits counts the tokens that left a bucket within the last window of Bounds (a sliding window log, in slots). With it
// a bucket may grant more than its rate, as long as no window has more than its capacity and the rate for the window.
type debits struct {
	slots [debitSlots + 1]float64
	// origin is when slots are counted from: the time of day may jump.
	origin time.Time
	// newest is the number of the newest slot.
	newest int64
}

// slot returns the number of the slot of a time, which is not negative for any slot of the window.
func (d *debits) slot(now time.Time, window time.Duration) int64 {
	return int64(now.Sub(d.origin)/slotDuration(window)) + int64(len(d.slots))
}

// add counts tokens that leave the bucket.
func (d *debits) add(now time.Time, window time.Duration, tokens float64) {
	d.advance(now, window)
	d.slots[d.newest%int64(len(d.slots))] += tokens
}

// addSteady counts tokens as if they had left at a rate per second throughout the last window.
func (d *debits) addSteady(now time.Time, window time.Duration, rate float64) {
	d.advance(now, window)
	for i := range d.slots {
		d.slots[i] += rate * slotDuration(window).Seconds()
	}
}

// advance forgets the slots that are older than the window.
func (d *debits) advance(now time.Time, window time.Duration) {
	current := d.slot(now, window)
	if current-d.newest >= int64(len(d.slots)) {
		*d = debits{origin: d.origin, newest: current}
	}
	for d.newest < current {
		d.newest++
		d.slots[d.newest%int64(len(d.slots))] = 0
	}
}

// allowance returns how many tokens the bucket may grant now, so that no interval that ends now and is at most as long as
// the window has more debits than the capacity and the rate per second for its length. An interval has all debits of the
// slot in which it begins, but counts as beginning at the end of that slot.
func (d *debits) allowance(now time.Time, window time.Duration, rate, capacity float64) float64 {
	d.advance(now, window)
	slot := slotDuration(window)
	elapsed := now.Sub(d.origin) % slot
	least, sum := capacity, 0.0
	for k := range int64(len(d.slots)) {
		sum += d.slots[(d.newest-k)%int64(len(d.slots))]
		length := max(time.Duration(k-1)*slot+elapsed, 0)
		least = min(least, capacity+rate*length.Seconds()-sum)
	}
	return least
}

func slotDuration(window time.Duration) time.Duration { return max(window/debitSlots, 1) }

// heldBucket is the bucket of a holder. If it can hold a whole token, it grants beyond its rate what the window allows,
// spread over the window. Smaller ones grant at random (bucket.take), which their debits do not bound.
type heldBucket struct {
	bucket
	window time.Duration
	debits debits
	// rate and capacity are those of the last refill.
	rate, capacity float64
}

// newHeldBucket returns the bucket of a new holder. Earlier holders may have granted the tokens of a window until the last
// update of b, so that they count as debits.
func newHeldBucket(b bucket, window time.Duration, rate, capacity float64) heldBucket {
	h := heldBucket{bucket: b, window: window, debits: debits{origin: b.updatedAt}}
	h.resize(b.updatedAt, rate, capacity)
	return h
}

// resize sets the rate and the capacity. Other holders may have granted what is added until now, so that it counts as
// debits.
func (h *heldBucket) resize(now time.Time, rate, capacity float64) {
	if rate > h.rate || capacity > h.capacity {
		h.debits.addSteady(now, h.window, max(rate-h.rate, 0))
		h.debits.add(now, h.window, max(capacity-h.capacity, 0))
	}
	h.rate, h.capacity = rate, capacity
}

// refill adds the tokens since the last update.
func (h *heldBucket) refill(now time.Time, rate, capacity float64) {
	elapsed := max(now.Sub(h.updatedAt), 0)
	h.resize(now, rate, capacity)
	h.bucket.refill(now, rate, capacity)
	if h.tokens >= capacity || capacity < 1 || h.outlastsWindow() {
		return
	}
	beyond := elapsed.Seconds() / h.window.Seconds() * capacity
	h.tokens += max(min(beyond, h.debits.allowance(now, h.window, rate, capacity)-h.tokens), 0)
}

// outlastsWindow reports whether the bucket takes longer than the window to refill. Tokens that an earlier holder kept
// expire at the same rate, so that it may grant them after the window for which this holder counts them as debits.
func (h *heldBucket) outlastsWindow() bool { return h.capacity > h.rate*h.window.Seconds() }

// takeRanked takes a token for a request of a rank.
func (h *heldBucket) takeRanked(now time.Time, rank Rank, capacity float64, random func() float64) bool {
	before := h.tokens
	granted := h.bucket.takeRanked(now, rank, capacity, random)
	if before > h.tokens {
		h.debits.add(now, h.window, before-h.tokens)
	}
	return granted
}
