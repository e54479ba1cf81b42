package membership

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

// TestMain fixes the seed of the randomised tests unless a flag sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// accusations counts suspicions and deaths of running instances in the views.
type accusations struct {
	last      time.Time
	suspected map[Member]bool // distinct suspected records
	deaths    int             // views in which a running instance was dead
}

func (w *network) count(a *accusations) {
	for _, viewer := range w.running() {
		for _, e := range w.nodes[viewer].gossipQueue {
			if w.paused[e.ID] || e.since.Before(a.last) {
				continue
			}
			switch e.State {
			case Suspect:
				a.suspected[Member{ID: e.ID, Version: e.Version}] = true
			case Dead:
				a.deaths++
			}
		}
	}
	a.last = w.now
}

func steadyFleet(seed uint64, count int) *network {
	return steadyFleetWith(seed, count, Settings{})
}

func steadyFleetWith(seed uint64, count int, s Settings) *network {
	w := startFleet(seed, count, s)
	w.fillTables()
	w.run(2 * time.Second)
	w.sent, w.bytes = 0, 0
	return w
}

// BenchmarkSteady reports the traffic and CPU time per instance, without and with a new
// configuration offset every 24 s (3,600 a day).
func BenchmarkSteady(b *testing.B) {
	const span = 48 * time.Second
	for _, count := range []int{4, 12, 36, 72, 920} {
		for _, changes := range []int{0, 2} {
			b.Run(fmt.Sprintf("instances=%d/changes=%d", count, changes), func(b *testing.B) {
				w := steadyFleet(1, count)
				w.watch = w.followOffsets
				ticks := 0
				for b.Loop() {
					for i := range max(changes, 1) {
						if changes > 0 {
							w.nodes[testID(0)].SetOffset(int64(ticks+i) + 1)
						}
						w.run(span / time.Duration(max(changes, 1)))
					}
					ticks += int(span / testTick)
				}
				seconds := float64(ticks) * testTick.Seconds() * float64(count)
				b.ReportMetric(float64(w.bytes)/seconds, "B/s")
				b.ReportMetric(float64(w.sent)/seconds, "msg/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "us-cpu/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// followOffsets makes each instance apply the highest offset it has received.
func (w *network) followOffsets() {
	for _, id := range w.ids {
		w.nodes[id].SetOffset(w.nodes[id].maxOffset)
	}
}

// BenchmarkOffset reports the time until every instance has received a new offset
// that one instance applied.
func BenchmarkOffset(b *testing.B) {
	for _, count := range []int{12, 44, 920} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			var took []time.Duration
			for seed := uint64(1); b.Loop(); seed++ {
				w := steadyFleet(seed, count)
				w.nodes[testID(0)].SetOffset(9)
				d, _ := w.until(time.Minute, func() bool {
					for _, id := range w.ids {
						if w.nodes[id].maxOffset != 9 && id != testID(0) {
							return false
						}
					}
					return true
				})
				took = append(took, d)
			}
			reportTimes(b, took, "")
		})
	}
}

// BenchmarkCrash reports the time from a crash until the instance is dead in the
// first view and in all views.
func BenchmarkCrash(b *testing.B) {
	for _, count := range []int{4, 12, 44, 920} {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("instances=%d/loss=%v", count, loss), func(b *testing.B) {
				var first, all []time.Duration
				for seed := uint64(1); b.Loop(); seed++ {
					w := steadyFleet(seed, count)
					w.loss = loss
					begin := w.now
					w.crash(testID(1))
					w.until(time.Minute, func() bool { return w.anySees(testID(1), Dead) })
					first = append(first, w.now.Sub(begin))
					w.until(time.Minute, func() bool { return w.allSee(testID(1), Dead) })
					all = append(all, w.now.Sub(begin))
				}
				reportTimes(b, first, "first-")
				reportTimes(b, all, "all-")
			})
		}
	}
}

// BenchmarkZoneLost reports, after a third or a sixth of the fleet crashes at once,
// the time until all views have removed it, the bytes that an instance sends
// meanwhile, and false deaths among the remaining instances.
func BenchmarkZoneLost(b *testing.B) {
	for count, lost := range map[int]int{44: 15, 920: 153} {
		b.Run(fmt.Sprintf("instances=%d/lost=%d", count, lost), func(b *testing.B) {
			var took []time.Duration
			var seconds float64
			sent, deaths := 0, 0
			for seed := uint64(1); b.Loop(); seed++ {
				w := steadyFleet(seed, count)
				a := &accusations{last: w.now, suspected: map[Member]bool{}}
				for i := range lost {
					w.crash(testID(i))
				}
				w.watch = func() { w.count(a) }
				d, _ := w.until(2*time.Minute, w.converged)
				took = append(took, d)
				seconds += d.Seconds() * float64(count-lost)
				sent += w.bytes
				deaths += a.deaths
			}
			reportTimes(b, took, "")
			b.ReportMetric(float64(sent)/seconds, "B/s")
			b.ReportMetric(float64(deaths), "false-deaths")
		})
	}
}

// BenchmarkSuspicionFactor compares crash detection time with the rate of false
// deaths at 5% message loss in a fleet of 44.
func BenchmarkSuspicionFactor(b *testing.B) {
	for _, factor := range []float64{1, 2, 3, 4} {
		b.Run(fmt.Sprintf("factor=%v", factor), func(b *testing.B) {
			const span = 5 * time.Minute
			var first, all []time.Duration
			var hours float64
			deaths := 0
			for seed := uint64(1); b.Loop(); seed++ {
				w := steadyFleetWith(seed, 44, Settings{SuspicionFactor: factor})
				w.loss = 0.05
				a := &accusations{last: w.now, suspected: map[Member]bool{}}
				w.watch = func() { w.count(a) }
				w.run(span)
				hours += span.Hours()
				deaths += a.deaths
				begin := w.now
				w.crash(testID(1))
				w.until(time.Minute, func() bool { return w.anySees(testID(1), Dead) })
				first = append(first, w.now.Sub(begin))
				w.until(time.Minute, func() bool { return w.allSee(testID(1), Dead) })
				all = append(all, w.now.Sub(begin))
			}
			reportTimes(b, first, "first-")
			reportTimes(b, all, "all-")
			b.ReportMetric(float64(deaths)/hours, "false-deaths/h")
		})
	}
}

func reportTimes(b *testing.B, took []time.Duration, prefix string) {
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds(), prefix+"median-s")
	b.ReportMetric(took[len(took)*95/100].Seconds(), prefix+"p95-s")
	b.ReportMetric(took[len(took)-1].Seconds(), prefix+"worst-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAccusations reports suspicions and deaths of running instances per hour
// with message loss and with one-way cuts between random pairs.
func BenchmarkAccusations(b *testing.B) {
	for _, count := range []int{12, 44, 920} {
		for _, loss := range []float64{0.01, 0.02, 0.05} {
			b.Run(fmt.Sprintf("instances=%d/loss=%v", count, loss), func(b *testing.B) {
				measureAccusations(b, count, func(w *network) { w.loss = loss })
			})
		}
		for _, cuts := range []int{1, count / 10, count} {
			b.Run(fmt.Sprintf("instances=%d/cuts=%d", count, cuts), func(b *testing.B) {
				measureAccusations(b, count, func(w *network) {
					for range cuts {
						from, to := testID(w.rand.IntN(count)), testID(w.rand.IntN(count))
						w.cut[[2]fleet.InstanceID{from, to}] = true
					}
				})
			})
		}
	}
}

func measureAccusations(b *testing.B, count int, fault func(*network)) {
	var hours float64
	var suspected, deaths int
	span := time.Hour * 44 / time.Duration(count) / 10
	for seed := uint64(1); b.Loop(); seed++ {
		w := steadyFleet(seed, count)
		fault(w)
		a := &accusations{last: w.now, suspected: map[Member]bool{}}
		w.watch = func() { w.count(a) }
		w.run(span)
		hours += span.Hours()
		suspected += len(a.suspected)
		deaths += a.deaths
	}
	b.ReportMetric(float64(suspected)/hours, "suspicions/h")
	b.ReportMetric(float64(deaths)/hours, "false-deaths/h")
	b.ReportMetric(0, "ns/op")
}
