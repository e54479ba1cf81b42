package telemetry_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/telemetry"
)

// BenchmarkCustomers gives the memory and the size of the exposition by the
// number of customers that sent a few requests.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{100, 1000, 28000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureCustomers(b, n)
			}
		})
	}
}

func measureCustomers(b *testing.B, n int) {
	before := heap()
	r := telemetry.NewRegistry()
	for k := range n {
		for range 3 {
			r.Request(fleet.CustomerID(fmt.Sprintf("customer-%d", k)), fleet.Lookup, 200, time.Millisecond)
		}
	}
	b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
	var w counter
	began := time.Now()
	r.Write(&w)
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms/scrape")
	b.ReportMetric(float64(w)/(1<<10), "KB/scrape")
	runtime.KeepAlive(r)
}

type counter int

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

var _ io.Writer = (*counter)(nil)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
