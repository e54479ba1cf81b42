package follow

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/membership"
	"github.com/clementinereel/clementinereel/peer"
	"github.com/clementinereel/clementinereel/publication"
)

const benchFleet = 44

// BenchmarkInForce measures the time from the log's acceptance of a revision
// to its being in force at all of 44 followers, which call the log and each
// other over loopback. The members' offsets are not known, so that a change
// spreads by pulls alone.
func BenchmarkInForce(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, bc := range []struct {
		name    string
		reached int
		tails   int
	}{
		{"log reached by all", benchFleet, benchFleet},
		{"log reached by half", benchFleet / 2, benchFleet},
		{"4 of 44 tail", benchFleet, 4},
		{"log reached by 1", 1, benchFleet},
	} {
		b.Run(bc.name, func(b *testing.B) { benchmarkInForce(b, bc.reached, bc.tails) })
	}
}

func benchmarkInForce(b *testing.B, reached, tails int) {
	x := newFixture(b)
	fl := startFleet(b, x, reached, tails)
	base := x.publish("0", publication.NoRevision)
	fl.await(base)
	pulls := metrics.GetOrRegisterCounter("config_pulls", fl.registry)
	before := pulls.Count()
	var times []time.Duration
	for i := range b.N {
		began := time.Now()
		base = x.publish(fmt.Sprint(i+1), base)
		fl.await(base)
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1000, "ms-median")
	b.ReportMetric(times[len(times)-1].Seconds()*1000, "ms-worst")
	b.ReportMetric(float64(pulls.Count()-before)/float64(b.N), "pulls/op")
}

// BenchmarkIdle measures what the followers send each other in a second
// without changes, while some of them tail the log.
func BenchmarkIdle(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, tails := range []int{benchFleet, 4} {
		b.Run(fmt.Sprintf("%d of %d tail", tails, benchFleet), func(b *testing.B) {
			x := newFixture(b)
			fl := startFleet(b, x, benchFleet, tails)
			fl.await(x.publish("0", publication.NoRevision))
			before := fl.bytesOut()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.ReportMetric(float64(fl.bytesOut()-before)/float64(b.N*benchFleet), "B-sent/s")
		})
	}
}

// benchmarked is a fleet of followers that call each other over loopback.
type benchmarked struct {
	registry   metrics.Registry
	inForce    chan logservice.Offset
	transports []*peer.Transport
}

// startFleet runs followers until the benchmark ends. Only the first reached
// of them reach the log, and only the first tails tail it.
func startFleet(b *testing.B, x *fixture, reached, tails int) *benchmarked {
	fl := &benchmarked{registry: metrics.NewRegistry(), inForce: make(chan logservice.Offset, 100*benchFleet)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	listeners, view := benchMembers(b)
	for i, l := range listeners {
		o := Options{Log: x.log, Registry: fl.registry}
		o.Tail = func() bool { return i < tails }
		if i >= reached {
			o.Log = unreachable{}
		}
		o.OnChange = func(v *publication.View) { fl.inForce <- v.Next }
		t := peer.NewTransport(fleet.Holder{Instance: view(i).Self, Incarnation: 1}, peer.Settings{}, metrics.NewRegistry())
		t.SetView(view(i))
		fl.transports = append(fl.transports, t)
		f := benchFollower(b, l, t, o)
		wg.Go(func() { f.Run(ctx) })
	}
	return fl
}

// await waits until all followers have applied the record.
func (fl *benchmarked) await(at logservice.Offset) {
	for n := benchFleet; n > 0; {
		if next := <-fl.inForce; next == at+1 {
			n--
		}
	}
}

func (fl *benchmarked) bytesOut() int64 {
	var n int64
	for _, t := range fl.transports {
		n += t.Stats().BytesOut
	}
	return n
}

// benchMembers opens the members' listeners and returns their views.
func benchMembers(b *testing.B) ([]net.Listener, func(i int) *membership.View) {
	var listeners []net.Listener
	var members []membership.Member
	for i := range benchFleet {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		members = append(members, membership.Member{
			ID: fleet.InstanceID(fmt.Sprint("i-", i)), Incarnation: 1, State: membership.Alive, Addr: l.Addr().String(), Zone: "a",
		})
	}
	return listeners, func(i int) *membership.View { return membership.NewView(members[i].ID, members) }
}

// benchFollower returns a follower that serves its peers on a listener.
func benchFollower(b *testing.B, l net.Listener, t *peer.Transport, o Options) *Follower {
	o.Peers = NewRemotePeers(t.Client(), t.View)
	f := New(o)
	s := peer.NewServer(t)
	s.Handle(f.Handler())
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() {
		_ = s.Close()
		t.Close()
	})
	return f
}
