package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/eventlog"
	"github.com/clementinereel/clementinereel/wait"
)

// This file bounds the memory for large responses. A caller may read slowly, and its response is held until then.

// reasonResponsesFull is the reason of a refusal if there is no room for the response.
const reasonResponsesFull = "responses fill the memory"

const (
	// largeResponseBytes is the size above which a response needs a reservation, so that many large ones do not keep
	// requests with small ones from being served.
	largeResponseBytes = 64 << 10
	// responseRoomInterval is the interval at which a response that waits for room is tried again.
	responseRoomInterval = 10 * time.Millisecond
	// minMeanWeight is the weight of the latest value in a running mean, once many are known.
	minMeanWeight = 0.1
	// maxSizedRoutes limits the routes whose sizes are known: names of routes come and go with configurations.
	maxSizedRoutes = 1000
)

// Responses bounds the memory for large responses. It is safe for concurrent use.
type Responses struct {
	memory memoryPool

	mu sync.Mutex
	// sizes has the running means by route, for routes that have had a large response.
	sizes map[string]*responseSizes
	// holders is the number of requests with a reservation, meanHold the running mean of how long they keep it.
	holders  int
	meanHold time.Duration
}

// responseSizes is the running mean size in bytes of a route's responses.
type responseSizes struct {
	mean  float64
	count int
}

// NewResponses returns a Responses that bounds responses to maxBytes.
func NewResponses(maxBytes int64) *Responses {
	return &Responses{memory: memoryPool{maxBytes: maxBytes}, sizes: make(map[string]*responseSizes)}
}

// ShareMemory makes the responses and the account leave each other what they hold, within the account's total. It is called
// before either is in use.
func (r *Responses) ShareMemory(a *callers.Account) {
	a.Beside = r.memory.heldBytes.Load
	r.memory.room = a.RoomBeside
}

// Record records the size of a response of a route.
func (r *Responses) Record(route string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sizes[route]
	if s == nil {
		if bytes <= largeResponseBytes {
			return
		}
		s = new(responseSizes)
		r.forgetOne()
		r.sizes[route] = s
	}
	s.count++
	weight := max(minMeanWeight, 1/float64(s.count))
	s.mean += weight * (float64(bytes) - s.mean)
}

// forgetOne makes room for a route. The caller holds the lock.
func (r *Responses) forgetOne() {
	if len(r.sizes) < maxSizedRoutes {
		return
	}
	for route := range r.sizes {
		delete(r.sizes, route)
		return
	}
}

// expected returns the usual size in bytes of a route's responses, 0 if none is known.
func (r *Responses) expected(route string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sizes[route]; s != nil {
		return int64(s.mean)
	}
	return 0
}

// reservable returns the bytes to reserve for a total of n.
func (r *Responses) reservable(n int64) int64 {
	if n <= largeResponseBytes {
		return 0
	}
	return min(n, r.memory.maxBytes)
}

// retryAfter estimates the time until one of the requests with a reservation ends.
func (r *Responses) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.meanHold / time.Duration(max(r.holders, 1))
	return min(max(next, minRetryAfter), maxRetryAfter) + rand.N(minRetryAfter)
}

// holderJoined and holderLeft record that a request gets its first reservation and releases what it has.
func (r *Responses) holderJoined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
}

func (r *Responses) holderLeft(held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders--
	r.meanHold += time.Duration(minMeanWeight * float64(held-r.meanHold))
}

// Hold returns what a request holds for its responses, with room for one of the usual size of its route. It returns
// false if there is no room.
func (r *Responses) Hold(route, requestID string) (*responseHold, bool) {
	reserved := r.reservable(r.expected(route))
	if !r.memory.Reserve(reserved) {
		return nil, false
	}
	h := &responseHold{responses: r, requestID: requestID, users: 1}
	h.addReserved(reserved)
	return h, true
}

// responseHold is the memory that one request holds for its responses. It implements exchange.Memory.
type responseHold struct {
	responses *Responses
	requestID string

	mu sync.Mutex
	// reserved is what is reserved, used the size of the responses so far, in bytes.
	reserved, used int64
	// since is when the first bytes were reserved.
	since time.Time
	// users counts the request itself and attempts that go on after it.
	users int
	// waiting counts the responses that wait for room.
	waiting int
}

// Acquire implements exchange.Memory. It waits until there is room for n more bytes.
func (h *responseHold) Acquire(ctx context.Context, n int64, deadline time.Time) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used += n
	if h.extend() {
		return 0, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	h.waiting++
	err := h.waitForRoom(ctx)
	h.waiting--
	if err != nil {
		h.used -= n
	}
	waited := time.Since(began)
	eventlog.Info(eventlog.ResponseWaited, "request", h.requestID, "bytes", n, "held", h.responses.memory.heldBytes.Load(), "waited_ms", waited.Milliseconds(), "err", err)
	return waited, err
}

// waitForRoom waits until what is used is reserved. The caller holds the lock, which is released meanwhile.
func (h *responseHold) waitForRoom(ctx context.Context) error {
	for {
		h.mu.Unlock()
		elapsed := wait.For(ctx, responseRoomInterval)
		h.mu.Lock()
		if !elapsed {
			return ctx.Err()
		}
		if h.extend() {
			return nil
		}
	}
}

// extend reserves what is used and reports whether there is room for it. The caller holds the lock.
func (h *responseHold) extend() bool {
	missing := h.responses.reservable(h.used) - h.reserved
	if !h.responses.memory.Reserve(missing) {
		return false
	}
	h.addReserved(missing)
	return true
}

// addReserved records that n bytes more are reserved. The caller holds the lock.
func (h *responseHold) addReserved(n int64) {
	if n <= 0 {
		return
	}
	if h.reserved == 0 {
		h.since = time.Now()
		h.responses.holderJoined()
	}
	h.reserved += n
}

// isWaiting reports whether a response waits for room, so that its attempt takes long through no fault of its target.
func (h *responseHold) isWaiting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting > 0
}

// share adds a user, which must call Release as well.
func (h *responseHold) share() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users++
}

// Release releases the memory once all users have called it.
func (h *responseHold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users--
	if h.users > 0 || h.reserved == 0 {
		return
	}
	h.responses.memory.Release(h.reserved)
	h.responses.holderLeft(time.Since(h.since))
}
