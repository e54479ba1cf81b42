package operate

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/clementinereel/clementinereel/claim"
	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

// measure enables the measurements: go test ./operate -run Measure -measure
var measure = flag.Bool("measure", false, "run the measurements and print their tables")

func wantMeasure(t *testing.T) *tabwriter.Writer {
	if !*measure {
		t.Skip("a measurement: run with -measure")
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Cleanup(func() { _ = tw.Flush() })
	return tw
}

// figures are the results of one load.
type figures struct {
	mu       sync.Mutex
	before   *hdrhistogram.Histogram // arrival to dispatch, microseconds
	answer   *hdrhistogram.Histogram // arrival to answer, microseconds
	outcomes map[fleet.Outcome]int
}

func newFigures() *figures {
	return &figures{
		before:   hdrhistogram.New(1, 60_000_000, 3),
		answer:   hdrhistogram.New(1, 60_000_000, 3),
		outcomes: map[fleet.Outcome]int{},
	}
}

func (f *figures) add(h *hdrhistogram.Histogram, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (f *figures) share(o fleet.Outcome, n int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(f.outcomes[o])/float64(n))
}

func millis(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
}

// load sends operations at a rate, spread over the instances, and waits for
// all answers.
func (c *cluster) load(n, perSecond int, ticketed bool) *figures {
	f := newFigures()
	var wg sync.WaitGroup
	began := time.Now()
	for k := range n {
		time.Sleep(time.Until(began.Add(time.Duration(k) * time.Second / time.Duration(perSecond))))
		wg.Go(func() { c.one(f, k, ticketed) })
	}
	wg.Wait()
	return f
}

func (c *cluster) one(f *figures, k int, ticketed bool) {
	i := k % len(c.order)
	req := keyed(fmt.Sprint("load-", k), "b")
	arrived := time.Now()
	if ticketed {
		// The ticket is issued by a different instance than the one that receives
		// the operation.
		a := c.order[(i+1)%len(c.order)].IssueTicket(req)
		req.Key, req.Ticket = "", a.Header.Get("Operation-Ticket")
	}
	run := func(context.Context, *Service) Result {
		f.add(f.before, time.Since(arrived))
		return Result{Outcome: fleet.Completed, Answer: operation.NewCompleted(201, nil, []byte("booked"))}
	}
	c.runners.Store(req.Key+req.Ticket, runner(run))
	a := c.order[i].Do(context.Background(), req, nil)
	a.Delivered()
	f.add(f.answer, time.Since(arrived))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[a.Outcome]++
}

func fleetOf(t *testing.T, n, partitions int, latency time.Duration) *cluster {
	c := newCluster(t, n, func(cfg *Config) {
		cfg.Partitions = partitions
		cfg.AppendsPerSecond = 300
		cfg.Attempts = claim.TableConfig{}
		cfg.ClaimTimeout = contract.Duration(2 * time.Second)
	})
	c.log.set(func(l *memLog) { l.latency = latency })
	for i := range n {
		c.order = append(c.order, c.at(i))
	}
	return c
}

// Measures claims a second with 44 instances and 300 appends a second.
func TestMeasureClaims(t *testing.T) {
	tw := wantMeasure(t)
	const seconds = 5
	fmt.Fprintln(tw, "partitions\tlog ms\top/s\tcompleted\tappends/s\tentries/append\tclaim p50 ms\tclaim p99 ms\t")
	for _, x := range []struct{ partitions, latency int }{{16, 2}, {16, 10}, {16, 50}, {4, 10}} {
		for _, rate := range []int{100, 500, 2000, 6000} {
			c := fleetOf(t, 44, x.partitions, time.Duration(x.latency)*time.Millisecond)
			c.log.set(func(l *memLog) { l.appends = 0 })
			began := time.Now()
			f := c.load(rate*seconds, rate, false)
			c.log.mu.Lock()
			appends := c.log.appends
			c.log.mu.Unlock()
			took := time.Since(began).Seconds()
			c.stop()
			fmt.Fprintf(tw, "%d\t%d\t%d\t%s\t%.0f\t%.1f\t%s\t%s\t\n", x.partitions, x.latency, rate,
				f.share(fleet.Completed, rate*seconds), float64(appends)/took,
				2*float64(rate*seconds)/float64(appends), millis(f.before, 50), millis(f.before, 99))
		}
	}
}

// Measures the cost of claims and tickets, and their results while the log is
// unavailable.
func TestMeasureCosts(t *testing.T) {
	tw := wantMeasure(t)
	const n, rate = 1000, 200
	fmt.Fprintln(tw, "way\tlog\tcompleted\tnot run\tunknown\tappends/op\tbefore dispatch p50 ms\tp99 ms\tanswer p99 ms\t")
	for _, ticketed := range []bool{false, true} {
		for _, down := range []bool{false, true} {
			c := fleetOf(t, 44, 16, 10*time.Millisecond)
			c.log.set(func(l *memLog) { l.down = down; l.appends = 0 })
			f := c.load(n, rate, ticketed)
			time.Sleep(time.Second) // outcomes and receipts reach the log
			c.log.mu.Lock()
			appends := c.log.appends
			c.log.mu.Unlock()
			c.stop()
			way, state := "key", "up"
			if ticketed {
				way = "ticket"
			}
			if down {
				state = "down"
			}
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\t\n", way, state, f.share(fleet.Completed, n),
				f.share(fleet.NotRun, n), f.share(fleet.Unknown, n), float64(appends)/n,
				millis(f.before, 50), millis(f.before, 99), millis(f.answer, 99))
		}
	}
}

// way is the method by which an instance prevents duplicate runs.
type way uint8

const (
	noClaims way = iota
	memoryClaims
	logClaims
	tickets
)

var wayNames = [...]string{"no claims", "memory-only claims", "log claims", "tickets"}

// tally compares the outcomes that callers received with the actual runs.
type tally struct {
	completed, unknown, notRun, duplicates, falseNotRun atomic.Int64
}

// Measures duplicates and false "not run" answers under the same faults for four
// ways.
func TestMeasureFaults(t *testing.T) {
	tw := wantMeasure(t)
	const perCluster, clusters = 60, 8
	fmt.Fprintln(tw, "way\toperations\tcompleted\tnot run\tunknown\truns doubled\tfalse not run\t")
	for w := noClaims; w <= tickets; w++ {
		var sum tally
		var wg sync.WaitGroup
		for k := range clusters {
			c := newCluster(t, 4, func(cfg *Config) {
				cfg.Attempts = claim.TableConfig{HoldOff: 100 * time.Millisecond, NotRunTimeout: 80 * time.Millisecond}
			})
			wg.Go(func() {
				c.crashAndRepeat(w, uint64(k), perCluster, &sum)
				c.stop()
			})
		}
		wg.Wait()
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", wayNames[w], perCluster*clusters, sum.completed.Load(),
			sum.notRun.Load(), sum.unknown.Load(), sum.duplicates.Load(), sum.falseNotRun.Load())
	}
}
