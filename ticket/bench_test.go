package ticket

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

// BenchmarkTickets reports the time and the memory of a ticket that was issued
// and whose operation ended with an answer of 256 bytes.
func BenchmarkTickets(b *testing.B) {
	for _, n := range []int{1000, 50_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureTickets(b, n)
			}
		})
	}
}

func measureTickets(b *testing.B, n int) {
	now := time.Unix(1_000_000, 0)
	before, began := benchHeap(), time.Now()
	t := NewTable(Config{MaxTickets: n}, fleet.Holder{Instance: "i", Incarnation: 1})
	for k := range n {
		var random [RandomLen]byte
		copy(random[:], fmt.Sprintf("%016d", k))
		id, ok := t.Issue(now, "customer-17", random, time.Hour)
		if !ok {
			b.Fatal("refused")
		}
		t.Begin(now, id, "0123456789abcdef0123456789abcdef")
		t.Finish(now, id, operation.NewCompleted(http.StatusCreated, nil, make([]byte, 256)))
	}
	b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(n), "ns/ticket")
	b.ReportMetric(float64(benchHeap()-before)/float64(n), "heap-B/ticket")
	runtime.KeepAlive(t)
}

func benchHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
