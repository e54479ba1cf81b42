package peer

import (
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/membership"
)

// BenchmarkGossip reports what gossip costs an instance: bytes on its
// connections in both directions, calls, processor time, and memory. All
// instances run in this process over loopback, with the default settings.
func BenchmarkGossip(b *testing.B) {
	const span = 15 * time.Second
	for _, count := range []int{4, 12, 36, 72} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			heapBefore := memory()
			nodes := startQuietGossipers(b, count)
			time.Sleep(span) // the joins end and the connections are made
			before, cpuBefore := total(nodes), cpuTime()
			for b.Loop() {
				time.Sleep(span)
			}
			cpu, after := cpuTime()-cpuBefore, total(nodes)
			seconds := b.Elapsed().Seconds() * float64(count)
			b.ReportMetric(float64(after.BytesOut-before.BytesOut+after.BytesIn-before.BytesIn)/seconds, "B/s")
			b.ReportMetric(float64(after.CallsOut-before.CallsOut)/seconds, "calls/s")
			b.ReportMetric(100*cpu.Seconds()/seconds, "%core")
			b.ReportMetric(float64(after.ConnsOut+after.ConnsIn)/float64(count), "conns")
			b.ReportMetric(float64(memory()-heapBefore)/float64(count)/(1<<20), "MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func startQuietGossipers(b *testing.B, count int) []*gossiper {
	b.Helper()
	network := &cuts{cut: map[[2]string]bool{}}
	list := &fakeList{}
	var nodes []*node
	for i := range count {
		n := newNode(b, network, fmt.Sprintf("instance-%03d", i), Settings{})
		list.add(n.member)
		nodes = append(nodes, n)
	}
	var out []*gossiper
	for _, n := range nodes {
		out = append(out, startGossip(b, n, list, membership.Settings{}))
	}
	for _, g := range out {
		waitFor(b, "full view", func() bool { return len(g.gossip.View().Live()) == count })
	}
	return out
}

func total(nodes []*gossiper) Stats {
	var sum Stats
	for _, n := range nodes {
		s := n.transport.Stats()
		sum.BytesOut += s.BytesOut
		sum.BytesIn += s.BytesIn
		sum.CallsOut += s.CallsOut
		sum.ConnsOut += s.ConnsOut
		sum.ConnsIn += s.ConnsIn
	}
	return sum
}

// memory returns the bytes in use by heap and stacks.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall reports time and bytes of a small call, over an open
// connection and with a new one each time.
func BenchmarkCall(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprintf("cold=%v", cold), func(b *testing.B) {
			_, nodes := newNodes(b, 2, Settings{})
			for _, n := range nodes {
				n.server.Handle("/echo", http.HandlerFunc(echo))
				n.start(b)
			}
			t := nodes[0].transport
			full, empty := t.View(), membership.NewView("i0", nil)
			_, _, err := post(b.Context(), nodes[0], "i1", "hello")
			assert.NilError(b, err)
			before := t.Stats()
			b.ReportAllocs()
			for b.Loop() {
				if cold {
					t.SetView(empty)
					t.SetView(full)
				}
				_, _, err := post(b.Context(), nodes[0], "i1", "hello")
				assert.NilError(b, err)
			}
			after := t.Stats()
			moved := after.BytesOut + after.BytesIn - before.BytesOut - before.BytesIn
			b.ReportMetric(float64(moved)/float64(b.N), "wire-B/op")
		})
	}
}
