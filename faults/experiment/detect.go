package experiment

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/emulator"
)

// leftAlone is how long no work has to come to a sick target for it to count
// as detected. What comes later is trial traffic.
const leftAlone = time.Second

// detection is how long a sick target went on receiving work.
type detection struct {
	// took is from the first work that met the sickness to the last before
	// the target was left alone; to the end of the run if it never was.
	took time.Duration
	// detected tells whether it was left alone.
	detected bool
	// work counts the requests that met the sickness, trials included.
	work int
}

// detect reads a detection off the work that came since the fault began. With
// limited, only work that met the sickness counts.
func detect(arrivals []emulator.Arrival, end time.Duration, limited bool) detection {
	var d detection
	var times []time.Duration
	for _, a := range arrivals {
		if a.Sick {
			d.work++
		}
		if a.After <= end && (a.Sick || !limited) {
			times = append(times, a.After)
		}
	}
	if len(times) == 0 {
		return detection{detected: true}
	}
	slices.Sort(times)
	last := times[0]
	for _, t := range append(times[1:], end) {
		if t-last >= leftAlone {
			d.took, d.detected = last-times[0], true
			return d
		}
		last = t
	}
	d.took = end - times[0]
	return d
}
