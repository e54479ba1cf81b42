package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/callers"
	"github.com/clementinereel/clementinereel/exchange"
)

// smallestMachine is the smallest that documents are written for, whose bodies may be of largestBody.
var smallestMachine = Settings{MemoryBytes: 184 << 20, MaxFiles: 4100}

const largestBody = 64 << 20

// TestLargestBodyFitsInCalm checks that the smallest machine serves the largest request beside connections that hold
// nothing else.
func TestLargestBodyFitsInCalm(t *testing.T) {
	account, d := newAccount(&smallestMachine, exchange.NewCache(time.Second), time.Now)
	var conns []*callers.Conn
	for n := range 150 {
		addr := netip.AddrFrom4([4]byte{127, 0, 0, byte(n)})
		conns = append(conns, d.front.Open(addr, func() {}, func(callers.Eviction) { t.Error("a connection was closed") }))
	}
	assert.Assert(t, conns[0].Reserve(largestBody+1), "%d bytes held", account.Held())
}

// TestRequestsAndResponsesStayWithinTheirTotal checks that requests and large responses leave each other what they have,
// whichever comes first.
func TestRequestsAndResponsesStayWithinTheirTotal(t *testing.T) {
	total := int64(heldMemoryFraction * float64(smallestMachine.MemoryBytes))
	fill := func(reserve func(int64) bool) {
		for reserve(largeResponseBytes) {
		}
	}
	for _, responsesFirst := range []bool{true, false} {
		account, d := newAccount(&smallestMachine, exchange.NewCache(time.Second), time.Now)
		responses := NewResponses(int64(responsesMemoryFraction * float64(smallestMachine.MemoryBytes)))
		responses.ShareMemory(account)
		conn := d.front.Open(netip.AddrFrom4([4]byte{127, 0, 0, 1}), func() {}, func(callers.Eviction) {})
		if responsesFirst {
			fill(responses.memory.Reserve)
		}
		fill(conn.Reserve)
		fill(responses.memory.Reserve)
		held := account.Held() + responses.memory.heldBytes.Load()
		assert.Assert(t, held <= total && held > total-2*largeResponseBytes, "%d of %d bytes", held, total)
	}
}

// TestDescriptorsAreDivided checks that connections of all kinds together stay below the limit of the machine.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, files := range []int{minMaxFiles, 480, 4100, 16384, maxProcessFiles} {
		s := Settings{MemoryBytes: 1 << 40, MaxFiles: files}
		_, d := newAccount(&s, exchange.NewCache(time.Second), time.Now)
		for n := range files {
			if n < maxAhead { // some callers are enough where there are many descriptors
				d.front.Open(netip.AddrFrom4([4]byte{127, 0, 0, 1}), func() {}, func(callers.Eviction) {})
			}
		}
		assert.Assert(t, d.forTargets() > 0, "%d", files)
		assert.Assert(t, d.front.Len()+d.ready.Len()+d.forTargets() < files, "%d", files)
	}
}

// TestRequestAwaitsConnection checks that a request gets the next connection that falls free, and does not wait for long.
func TestRequestAwaitsConnection(t *testing.T) {
	cache := exchange.NewCache(time.Second)
	_, d := newAccount(&Settings{MemoryBytes: 1 << 40, MaxFiles: 480}, cache, time.Now)
	dialed, dial := make(chan struct{}), make(chan struct{})
	cache.Dial = func(context.Context, string, string) (net.Conn, error) {
		dialed <- struct{}{}
		<-dial
		return nil, net.ErrClosed
	}
	for range d.forTargets() {
		go func() { _ = cache.Probe(context.Background(), exchange.Target{Addr: "127.0.0.1:1"}) }()
		<-dialed
	}
	assert.Assert(t, !d.await(t.Context()))
	time.AfterFunc(connWaitTimeout/4, func() { dial <- struct{}{} })
	assert.Assert(t, d.await(t.Context()))
	close(dial)
}
