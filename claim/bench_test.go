package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/operation"
)

// BenchmarkKeys folds a claim and a completion of 256 bytes for each of a
// partition's keys, in records of 50 entries, and reports time, heap and log size.
func BenchmarkKeys(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureKeys(b, n)
			}
		})
	}
}

func measureKeys(b *testing.B, n int) {
	records, size := keyRecords(b, n)
	before, began := benchHeap(), time.Now()
	f := NewFold(0)
	for _, r := range records {
		rec, err := Decode(r)
		assert.NilError(b, err)
		f.Apply(rec)
	}
	took := time.Since(began)
	assert.Equal(b, f.Len(), n)
	b.ReportMetric(float64(took.Nanoseconds())/float64(2*n), "ns/entry")
	b.ReportMetric(float64(benchHeap()-before)/float64(n), "heap-B/key")
	b.ReportMetric(float64(size)/float64(2*n), "log-B/entry")
	runtime.KeepAlive(f)
	runtime.KeepAlive(records)
}

func keyRecords(b *testing.B, n int) (records []logservice.Record, size int) {
	const keysPerRecord = 25
	answer := operation.NewCompleted(201, nil, make([]byte, 256))
	for from := 0; from < n; from += keysPerRecord {
		var entries []Entry
		for k := from; k < min(from+keysPerRecord, n); k++ {
			key := operation.Key{Customer: "customer-17", Name: fmt.Sprintf("0192f3c4-7b1e-7f0b-8a55-%012d", k)}
			id := ID{Holder: hx, Seq: uint64(k)}
			entries = append(entries,
				Entry{Kind: Claim, Key: key, Claim: id, Digest: "0123456789abcdef0123456789abcdef", Window: hour, Service: "customer-17/main", Route: "main"},
				Entry{Kind: Complete, Key: key, Claim: id, Digest: "0123456789abcdef0123456789abcdef", Window: hour, Answer: &answer})
		}
		data := Encode(entries)
		size += len(data)
		records = append(records, logservice.Record{Offset: logservice.Offset(len(records)), Time: t0, Data: data})
	}
	return records, size
}

func benchHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
