package ticket

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/operation"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Whatever the order of requests, doubled handovers, sealings, crashes and
// expiry: a ticket runs at most once, only at its home's incarnation, and not
// run is never said of one that ran or will.
func TestTicketsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var seed uint64
		for range 60 {
			seed <<= 1
			if rapid.Bool().Draw(rt, "bit") {
				seed++
			}
		}
		rnd := rand.New(rand.NewPCG(seed, 0))
		now := t0
		var tables [3]*Table
		inc := fleet.Incarnation(0)
		start := func(i int) {
			inc++
			tables[i] = NewTable(Config{UnusedLife: time.Minute}, fleet.Holder{Instance: fleet.InstanceID(rune('a' + i)), Incarnation: inc})
		}
		for i := range tables {
			start(i)
		}
		var ids []ID
		runs, toldNotRun := map[ID]int{}, map[ID]bool{}
		var running []ID
		for range 200 {
			i := rnd.IntN(len(tables))
			tab := tables[i]
			switch rnd.IntN(12) {
			case 0, 1:
				if id, ok := tab.Issue(now, "c", [RandomLen]byte{byte(len(ids))}, time.Hour); ok {
					ids = append(ids, id)
				}
			case 2:
				now = now.Add(time.Duration(rnd.IntN(40)) * time.Second)
				tab.Sweep(now)
			case 3:
				tab.Seal(now, operation.Answer{Outcome: fleet.NotRun})
				heir := tables[rnd.IntN(len(tables))]
				if heir != tab {
					heir.Import(tab.Export())
				}
			case 4:
				start(i)
			case 5, 6:
				if len(running) > 0 {
					finish(tables[:], running[0], now, fleet.Outcome(1+rnd.IntN(3)), runs)
					running = running[1:]
				}
			default:
				if len(ids) == 0 {
					continue
				}
				id := ids[rnd.IntN(len(ids))]
				d, a := tab.Begin(now, id, "d")
				if d == Run {
					assert.Equal(rt, tab.self, id.Home)
					assert.Assert(rt, !toldNotRun[id], "ran after not run was said")
					runs[id]++
					assert.Equal(rt, runs[id], 1)
					running = append(running, id)
				}
				if d == Replay && a.Outcome == fleet.NotRun {
					assert.Equal(rt, runs[id], 0)
					toldNotRun[id] = true
				}
			}
		}
	})
}

// finish ends a run at its home, if that process still is. A target that says
// that it did not run the request takes the run back.
func finish(tables []*Table, id ID, now time.Time, out fleet.Outcome, runs map[ID]int) {
	for _, tab := range tables {
		if tab.self != id.Home {
			continue
		}
		if out == fleet.NotRun {
			runs[id] = 0
		}
		tab.Finish(now, id, operation.Answer{Outcome: out})
	}
}
