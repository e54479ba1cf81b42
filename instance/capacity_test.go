package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/instance"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/logservice/standin"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/status"
)

// size is that of a configuration. The targets are those of the first services.
type size struct {
	customers, services, targets, routes int
}

func sizeFromEnv(t *testing.T) size {
	n := func(name string, otherwise int) int {
		if os.Getenv(name) == "" {
			return otherwise
		}
		v, err := strconv.Atoi(os.Getenv(name))
		assert.NilError(t, err)
		return v
	}
	s := size{customers: n("CAPACITY_CUSTOMERS", 1), services: n("CAPACITY_SERVICES", 1), targets: n("CAPACITY_TARGETS", 31)}
	s.routes = n("CAPACITY_ROUTES", s.customers)
	return s
}

// contractOf is the n-th customer's contract. Each has a service and a route
// of its own; further routes are spread over all.
func (s size) contractOf(t *testing.T, n int) *contract.Contract {
	routes := ""
	for k := n; k < max(s.routes, s.customers); k += s.customers {
		if routes != "" {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r%d","path_prefix":"/v1/r%d","service":"main","class":"lookup","limits":{"rate_per_second":50},"deadline":"2s","retry":{}}`, k, k)
	}
	c, err := contract.Decode(fmt.Appendf(nil, `{"format":"clementinereel/contract/v1","customer":"customer-%d","hosts":["customer-%d.example"],
		"limits":{"rate_per_second":100},"services":[{"name":"main","slots_per_target":4,"connections_per_target":300,"detection":{}}],
		"routes":[%s]}`, n, n, routes))
	assert.NilError(t, err)
	return c
}

// newSizedBench publishes a configuration; all targets have the address.
func newSizedBench(t *testing.T, s size, addr string) *bench {
	b := &bench{list: standin.New(standin.Options{AppendRate: -1})}
	srv := httptest.NewServer(b.list.Handler())
	t.Cleanup(srv.Close)
	b.logURL = srv.URL
	b.log = logservice.NewClient(srv.URL, 0)
	add := func(rec []byte, err error) {
		assert.NilError(t, err)
		b.list.Append(publication.Stream, rec)
	}
	for n := range s.customers {
		add(publication.EncodeContract(fmt.Sprintf("p-%d", n), publication.NoRevision, s.contractOf(t, n)))
	}
	for n := range s.targets {
		customer := fleet.CustomerID(fmt.Sprintf("customer-%d", n%s.services))
		add(publication.EncodeTarget(fmt.Sprintf("t-%d", n), publication.NoRevision, publication.Announcement{
			ID: fleet.TargetID(fmt.Sprintf("target-%d", n)), Service: fleet.NewServiceID(customer, "main"),
			Addr: addr, Zone: "a", State: fleet.Joined,
		}))
	}
	return b
}

// TestCapacity prints what instances in this process cost when idle, at a
// configuration of CAPACITY_CUSTOMERS contracts and CAPACITY_ROUTES routes,
// and CAPACITY_TARGETS targets divided among CAPACITY_SERVICES services.
// CAPACITY is the number of instances; without it the test is skipped.
// docs/CAPACITY.md uses it.
func TestCapacity(t *testing.T) {
	n, err := strconv.Atoi("0" + os.Getenv("CAPACITY"))
	assert.NilError(t, err)
	if n == 0 {
		t.Skip("CAPACITY is not set")
	}
	s := sizeFromEnv(t)
	b := newSizedBench(t, s, acceptAll(t))
	before, began := heapBytes(), time.Now()
	for k := range n {
		b.start(t, k)
	}
	for _, i := range b.all {
		poll.WaitOn(t, ready(i), poll.WithTimeout(time.Minute))
	}
	t.Logf("%+v: ready after %v", s, time.Since(began).Round(time.Millisecond))
	time.Sleep(15 * time.Second)
	t.Logf("heap of one instance: %.1f MB", float64(heapBytes()-before)/float64(n)/(1<<20))
	cpu, gc, began := cpuTime(), gcCount(), time.Now()
	time.Sleep(10 * time.Second)
	share := float64(cpuTime()-cpu) / float64(time.Since(began)) / float64(n)
	t.Logf("processor time of one idle instance: %.2f%% of a core; collections: %d", 100*share, gcCount()-gc)
	change(t, b, s)
}

// change publishes a contract and prints how long it takes to be in force.
func change(t *testing.T, b *bench, s size) {
	cpu, began := cpuTime(), time.Now()
	id := fleet.CustomerID("customer-0")
	next := s.contractOf(t, 0)
	next.Hosts = append(next.Hosts, "second.example")
	rec, err := publication.EncodeContract("next", 0, next)
	assert.NilError(t, err)
	at, err := b.log.Append(context.Background(), publication.Stream, rec)
	assert.NilError(t, err)
	for _, i := range b.all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := inForce(t, i, id); got != at {
				return poll.Continue("%d is in force", got)
			}
			return poll.Success()
		}, poll.WithDelay(20*time.Millisecond), poll.WithTimeout(time.Minute))
	}
	t.Logf("a change: in force after %v, processor time %v over all instances",
		time.Since(began).Round(time.Millisecond), cpuTime()-cpu)
}

// acceptAll returns an address where connections are accepted and kept.
func acceptAll(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		var kept []net.Conn
		for {
			c, err := ln.Accept()
			if err != nil {
				break
			}
			kept = append(kept, c)
		}
		for _, c := range kept {
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// inForce is the revision of a contract in force.
func inForce(t *testing.T, i *instance.Instance, c fleet.CustomerID) logservice.Offset {
	resp, err := http.Get("http://" + i.AdminAddr() + status.Path + "?customer=" + string(c))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var r status.Report
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r.Revisions[c]
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func gcCount() uint32 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.NumGC
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
