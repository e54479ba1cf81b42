// Package endless provides peers that send bytes without end, for tests of the bounds of readers, and
// measures the memory that reading them takes.
package endless

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"time"
)

// Bounds of a reader whose peer sends without end.
const (
	// MaxHeapBytes is the heap that it may take.
	MaxHeapBytes = 24 << 20
	// MaxTime is the time after which it must have given up.
	MaxTime = 1500 * time.Millisecond
)

// burstBytes is the size in which repeated bytes are written.
const burstBytes = 64 << 10

// Write writes first and then repeat until the writer returns an error, which it returns.
func Write(w io.Writer, first, repeat string) error {
	if _, err := io.WriteString(w, first); err != nil {
		return err
	}
	burst := []byte(strings.Repeat(repeat, burstBytes/len(repeat)+1))
	for {
		if _, err := w.Write(burst); err != nil {
			return err
		}
	}
}

// Serve accepts connections until the end of the test. On each it reads the first request's lines up to the
// empty one, then sends first and repeats repeat without end. It returns the address.
func Serve(t testing.TB, first, repeat string) string {
	return Accept(t, "127.0.0.1", func(c net.Conn) { serveConn(c, first, repeat) })
}

// Accept accepts connections at the IP address until the end of the test, and passes each to serve and
// closes it after that. It returns the address.
func Accept(t testing.TB, ip string, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func serveConn(c net.Conn, first, repeat string) {
	SkipHeader(c)
	_ = Write(c, first, repeat) // ends with the connection
}

// SkipHeader reads a request's lines up to the empty one.
func SkipHeader(c net.Conn) {
	for s := bufio.NewScanner(c); s.Scan() && s.Text() != ""; {
	}
}

// heapMetric is the memory of objects on the heap, with those that are not collected yet.
const heapMetric = "/memory/classes/heap/objects:bytes"

// sampleInterval is the interval at which the heap is measured.
const sampleInterval = time.Millisecond

// Peak returns by how many bytes the heap grows at most while f runs, and the time that f takes.
func Peak(f func()) (bytes int64, took time.Duration) {
	runtime.GC()
	before := heapBytes()
	stop, peak := make(chan struct{}), make(chan int64)
	go func() {
		highest := before
		for {
			select {
			case <-stop:
				peak <- max(highest, heapBytes())
				return
			case <-time.After(sampleInterval):
				highest = max(highest, heapBytes())
			}
		}
	}()
	start := time.Now()
	f()
	took = time.Since(start)
	close(stop)
	return <-peak - before, took
}

func heapBytes() int64 {
	s := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64())
}

// Check runs f, whose peer sends without end, and fails the test if it exceeds MaxHeapBytes or MaxTime.
func Check(t testing.TB, f func()) {
	t.Helper()
	bytes, took := Peak(f)
	t.Logf("peak heap %.1f MiB, gave up after %v", float64(bytes)/(1<<20), took.Round(time.Millisecond))
	if bytes > MaxHeapBytes {
		t.Errorf("peak heap %d bytes, above %d", bytes, MaxHeapBytes)
	}
	if took > MaxTime {
		t.Errorf("gave up after %v, later than %v", took, MaxTime)
	}
}
