package faults

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/examples"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/load"
)

// settleTime is how long a fleet is left alone before it is measured, and
// windowTime how long the measurement takes.
const (
	settleTime = 12 * time.Second
	windowTime = 20 * time.Second
)

// sizedTargets are Daugava's.
var sizedTargets = map[string]int{"price-catalogue": 10, "quote-confirmation": 15, "plan-uploads": 6}

// TestCapacity prints what an instance costs in fleets of real processes. The
// variable CAPACITY names the sizes, with commas between; CAPACITY_LOAD is
// the rate of lookups a second at each instance, with a tenth as many
// confirmations and a fiftieth as many uploads. docs/CAPACITY.md uses it.
func TestCapacity(t *testing.T) {
	sizes := os.Getenv("CAPACITY")
	if sizes == "" {
		t.Skip("CAPACITY is not set")
	}
	rate, err := strconv.ParseFloat("0"+os.Getenv("CAPACITY_LOAD"), 64)
	assert.NilError(t, err)
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		assert.NilError(t, err)
		t.Run(s, func(t *testing.T) { measureFleet(t, n, rate) })
	}
}

func measureFleet(t *testing.T, n int, rate float64) {
	calls := &platformCalls{}
	f := New(t, Setup{
		Binaries: binaries, Instances: n, Document: examples.Daugava, Targets: sizedTargets,
		NoLinks: true, ListInterval: 5 * time.Second, Around: calls.around,
	})
	if rate > 0 {
		measureBusy(t, f, calls, rate*float64(n))
		return
	}
	time.Sleep(settleTime)
	measureWindow(t, f, calls)
}

func measureBusy(t *testing.T, f *Fleet, calls *platformCalls, rate float64) {
	o := f.Load(settleTime+windowTime+time.Second, []load.Stream{
		f.Stream(fleet.Lookup, rate),
		f.Stream(fleet.Confirmation, rate/10),
		f.Stream(fleet.Upload, rate/50),
	})
	for i := range o.Mix {
		if o.Mix[i].Class == fleet.Upload {
			o.Mix[i].BodyBytes = 32 << 10
		}
	}
	rep := runBeside(t, o, func() {
		time.Sleep(settleTime)
		measureWindow(t, f, calls)
	})
	for _, c := range rep.Classes {
		t.Logf("%v: %d operations, ended %v", c.Class, c.Operations, c.Ended)
	}
}

// measureWindow prints the median and the largest figure of any instance.
func measureWindow(t *testing.T, f *Fleet, calls *platformCalls) {
	before, callsBefore, began := scrapeAll(t, f), calls.counts(), time.Now()
	time.Sleep(windowTime)
	after, callsAfter, took := scrapeAll(t, f), calls.counts(), time.Since(began).Seconds()
	rates := func(name string) []float64 {
		var all []float64
		for i := range after {
			all = append(all, (after[i][name]-before[i][name])/took)
		}
		return all
	}
	t.Logf("%-28s %10s %10s", "of one instance", "median", "largest")
	for _, name := range []string{
		"process_cpu_milliseconds", "peer_bytes_out", "peer_bytes_in", "peer_calls_out", "peer_calls_in",
		"evidence_reports_sent", "peer_gossip_dropped",
	} {
		report(t, name+"/s", rates(name))
	}
	for _, name := range []string{"process_resident_memory_bytes", "process_goroutines", "peer_conns_out", "peer_conns_in"} {
		var all []float64
		for _, m := range after {
			all = append(all, m[name])
		}
		report(t, name, all)
	}
	for _, k := range slices.Sorted(maps.Keys(callsAfter)) {
		t.Logf("platform, all instances: %-30s %.2f/s", k, (callsAfter[k]-callsBefore[k])/took)
	}
}

func report(t *testing.T, name string, all []float64) {
	slices.Sort(all)
	t.Logf("%-28s %10.1f %10.1f", name, all[len(all)/2], all[len(all)-1])
}

// scrapeAll reads the metrics without labels of all instances.
func scrapeAll(t *testing.T, f *Fleet) []map[string]float64 {
	t.Helper()
	var all []map[string]float64
	for _, i := range f.Instances {
		all = append(all, scrape(t, i))
	}
	return all
}

func scrape(t *testing.T, i *Instance) map[string]float64 {
	t.Helper()
	resp, err := adminClient.Get(i.AdminURL() + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	all := map[string]float64{}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		var name string
		var v float64
		if _, err := fmt.Sscanf(s.Text(), "clementinereel_%s %g", &name, &v); err == nil {
			all[name] = v
		}
	}
	return all
}

// platformCalls counts the calls to the platform and the bytes of its
// answers, headers not included.
type platformCalls struct {
	mu  sync.Mutex
	all map[string]float64
}

func (c *platformCalls) add(key string, n float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]float64{}
	}
	c.all[key] += n
}

func (c *platformCalls) counts() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.all)
}

func (c *platformCalls) around(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Method + " list"
		if stream, ok := strings.CutPrefix(r.URL.Path, streamsPath); ok {
			kind, _, _ := strings.Cut(stream, "/")
			key = r.Method + " " + strings.TrimRight(kind, "0123456789")
		}
		c.add(key+" calls", 1)
		c.add(key+" bytes in", float64(max(r.ContentLength, 0)))
		next.ServeHTTP(&countedWriter{w, func(n int) { c.add(key+" bytes out", float64(n)) }}, r)
	})
}

type countedWriter struct {
	http.ResponseWriter
	count func(int)
}

func (w *countedWriter) Write(b []byte) (int, error) {
	w.count(len(b))
	return w.ResponseWriter.Write(b)
}
