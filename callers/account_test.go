package callers

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testBytes = 8 << 20

var (
	crowdAddr    = netip.MustParseAddr("127.0.0.2")
	ordinaryAddr = netip.MustParseAddr("127.0.0.3")
)

// hall is an account with a door and a clock that tests move.
type hall struct {
	*Account
	door    *Door
	now     time.Time
	evicted []*Conn
	// phases has the phase of each evicted connection at that moment.
	phases []Phase
}

func newHall(maxConns int) *hall {
	h := &hall{now: time.Unix(1000, 0)}
	h.Account = New(Limits{Bytes: testBytes, Ahead: 8}, func() time.Time { return h.now })
	h.door = h.NewDoor(maxConns)
	return h
}

func (h *hall) open(addr netip.Addr) *Conn {
	var c *Conn
	c = h.door.Open(addr, func() {}, func(e Eviction) {
		h.evicted = append(h.evicted, c)
		h.phases = append(h.phases, e.Phase)
	})
	return c
}

func (h *hall) pass(d time.Duration) { h.now = h.now.Add(d) }

// A single request may take nearly everything while nothing else is held.
func TestLargeRequestFitsInCalm(t *testing.T) {
	h := newHall(10)
	h.open(ordinaryAddr)
	assert.Assert(t, h.open(crowdAddr).Reserve(testBytes-testBytes/16))
}

// However many large bodies arrive at once, a small one finds room.
func TestSmallRequestsFitBesideLargeOnes(t *testing.T) {
	h := newHall(100)
	for range 50 {
		h.open(crowdAddr).Reserve(1 << 20)
	}
	assert.Assert(t, h.open(crowdAddr).Reserve(64<<10))
	assert.Assert(t, h.open(ordinaryAddr).Reserve(64<<10))
}

// A caller that holds most is refused before others, also with small requests.
func TestCallerLeavesRoomForOthers(t *testing.T) {
	h := newHall(1000)
	h.open(ordinaryAddr).Reserve(testBytes / 8)
	for range 900 {
		if c := h.open(crowdAddr); c != nil {
			c.Reserve(32 << 10)
		}
	}
	assert.Assert(t, h.open(ordinaryAddr).Reserve(256<<10))
}

// Memory of connections that send nothing more goes to those that ask for it, but not that of those that go on sending
// or are being served.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	h := newHall(100)
	sending, serving, stalled := h.open(crowdAddr), h.open(crowdAddr), h.open(crowdAddr)
	for _, c := range []*Conn{sending, serving, stalled} {
		assert.Assert(t, c.Reserve(2<<20))
	}
	serving.SetPhase(Serving)
	h.pass(stallTimeout)
	sending.Received(progressBytes)
	ordinary := h.open(ordinaryAddr)
	assert.Assert(t, ordinary.evictFor(5<<19))
	assert.Equal(t, len(h.evicted), 1)
	assert.Equal(t, h.evicted[0], stalled)
	stalled.Release(2 << 20)
	assert.Assert(t, ordinary.Reserve(5<<19))
	assert.Assert(t, !h.open(ordinaryAddr).Reserve(2<<20), "the others make progress")
	assert.Equal(t, len(h.evicted), 1)
}

// A byte now and then is no progress.
func TestTricklingIsNoProgress(t *testing.T) {
	h := newHall(100)
	c := h.open(crowdAddr)
	assert.Assert(t, c.Reserve(testBytes-testBytes/8))
	for range 20 {
		h.pass(stallTimeout / 10)
		c.Received(1)
	}
	h.Tick()
	assert.Equal(t, len(h.evicted), 1)
}

// Nothing is closed while there is room.
func TestStalledConnectionsStayInCalm(t *testing.T) {
	h := newHall(100)
	assert.Assert(t, h.open(crowdAddr).Reserve(testBytes/2))
	h.pass(time.Hour)
	h.Tick()
	assert.Equal(t, len(h.evicted), 0)
}

// When all connections are in use, the one that has waited longest without progress goes, at first of the caller that
// holds most.
func TestFullDoorClosesLongestWaiting(t *testing.T) {
	h := newHall(3)
	serving := h.open(crowdAddr)
	serving.SetPhase(Serving)
	h.pass(time.Second)
	first := h.open(crowdAddr)
	h.pass(time.Second)
	second := h.open(crowdAddr)
	assert.Assert(t, h.open(ordinaryAddr) != nil)
	assert.Equal(t, h.evicted[0], first)
	assert.Assert(t, h.open(ordinaryAddr) != nil)
	assert.Equal(t, h.evicted[1], second)
	assert.Equal(t, h.door.Len(), 3)
}

func TestFullDoorSparesOtherCallers(t *testing.T) {
	h := newHall(3)
	h.open(ordinaryAddr)
	h.pass(time.Second)
	first := h.open(crowdAddr)
	h.pass(time.Millisecond)
	h.open(crowdAddr)
	assert.Assert(t, h.open(crowdAddr) != nil)
	assert.Equal(t, h.evicted[0], first)
}

// Callers that take no response give way only if all others are being served.
func TestSlowReadersGoLast(t *testing.T) {
	h := newHall(2)
	reading, serving := h.open(crowdAddr), h.open(crowdAddr)
	reading.SetPhase(Responding)
	serving.SetPhase(Serving)
	assert.Assert(t, h.open(ordinaryAddr) == nil, "the response has just begun")
	h.pass(slowReadTimeout)
	assert.Assert(t, h.open(ordinaryAddr) != nil)
	assert.Equal(t, h.evicted[0], reading)
}

func TestRequestsAheadBounded(t *testing.T) {
	h := newHall(10)
	crowd, ordinary := h.open(crowdAddr), h.open(ordinaryAddr)
	for range 8 {
		assert.Assert(t, crowd.StartAhead())
	}
	assert.Assert(t, !ordinary.StartAhead())
	crowd.EndAhead()
	assert.Assert(t, ordinary.StartAhead())
}

// TestAccountAddsUp opens, closes and reserves at random: what is held never exceeds the limit and ends at nothing, and
// no connection that is being served is closed.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHall(5)
		held := make(map[*Conn]int64)
		var all []*Conn
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for range steps {
			h.pass(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			addr := rapid.SampledFrom([]netip.Addr{crowdAddr, ordinaryAddr}).Draw(t, "addr")
			if c := h.open(addr); c != nil {
				all = append(all, c)
			}
			if len(all) == 0 {
				continue
			}
			c := rapid.SampledFrom(all).Draw(t, "conn")
			n := rapid.Int64Range(1, testBytes).Draw(t, "bytes")
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				if c.tryReserve(n) {
					held[c] += n
				}
			case 1:
				c.Release(held[c])
				held[c] = 0
			case 2:
				c.SetPhase(Phase(rapid.IntRange(0, 2).Draw(t, "phase")))
			case 3:
				c.Close()
			case 4:
				h.Tick()
			}
			if slices.Contains(h.phases, Serving) {
				t.Fatal("closed while it was being served")
			}
			if h.Held() > testBytes || h.door.Len() > 5 {
				t.Fatalf("%d bytes, %d connections", h.Held(), h.door.Len())
			}
		}
		for _, c := range all {
			c.Release(held[c])
			c.Close()
		}
		if h.Held() != 0 || len(h.callers) != 0 {
			t.Fatalf("%d bytes, %d callers at the end", h.Held(), len(h.callers))
		}
	})
}

// A connection has time for its first request beside a crowd that comes back at once and whose connections wait only for
// moments, between requests that they have sent ahead. All come from one address, as behind a balancer.
func TestNewConnectionHasTimeForItsRequest(t *testing.T) {
	h := newHall(10)
	serveOne := func(c *Conn) {
		c.SetPhase(Serving)
		h.pass(time.Millisecond)
		c.SetPhase(Waiting)
	}
	for range 9 {
		serveOne(h.open(crowdAddr))
	}
	ordinary := h.open(crowdAddr)
	for range firstRequestTime / time.Millisecond {
		assert.Assert(t, !slices.Contains(h.evicted, ordinary))
		serveOne(h.open(crowdAddr))
	}
	h.pass(firstRequestTime)
	h.open(crowdAddr)
	assert.Assert(t, slices.Contains(h.evicted, ordinary), "a connection that sends nothing is closed")
}

// While requests of all connections are being served, a newcomer gets the place of the first whose request is done.
func TestNewcomerAwaitsEndOfRequest(t *testing.T) {
	h := newHall(2)
	first, second := h.open(crowdAddr), h.open(crowdAddr)
	first.SetPhase(Serving)
	second.SetPhase(Serving)
	h.door.AwaitRoom()
	assert.Assert(t, h.open(ordinaryAddr) == nil, "a request that is being served is cut")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(h.door.room) == 0 && h.door.Len() == 2 {
			second.SetPhase(Serving)
			second.SetPhase(Waiting)
			second.SetPhase(Serving)
		}
	}()
	h.door.AwaitRoom()
	<-done
	assert.Assert(t, h.open(ordinaryAddr) != nil)
	assert.Equal(t, h.evicted[0], second)
	assert.Equal(t, h.door.Len(), 2)
}
