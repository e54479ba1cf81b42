package emulator

import (
	"maps"
	"sync"
	"time"
)

// maxArrivals bounds the arrival times kept since the last Behavior.
const maxArrivals = 1 << 18

// Run is what is known of the executions under one key.
type Run struct {
	// Started counts executions begun; Completed those that reached the
	// end of the work, whether or not the answer went out whole.
	Started   int `json:"started"`
	Completed int `json:"completed"`
	// First and Last are when the first and the last execution began, in
	// nanoseconds since the Unix epoch.
	First int64 `json:"first_unix_nanos"`
	Last  int64 `json:"last_unix_nanos"`
}

// RunsReply is the document at /runs.
type RunsReply struct {
	Target string         `json:"target"`
	Runs   map[string]Run `json:"runs"`
}

// Arrival is one piece of work that came in after the last Behavior was set.
type Arrival struct {
	// After is the time since the Behavior was set, in nanoseconds.
	After time.Duration `json:"after_nanos"`
	// Instance is the proxy instance it came by, if it said so.
	Instance string `json:"instance,omitempty"`
	// Sick tells whether the sickness was to show to this request.
	Sick bool `json:"sick,omitempty"`
}

// Stats counts requests since the emulator was made.
type Stats struct {
	Target string `json:"target"`
	// Work counts requests for work, the refused ones included.
	Work int `json:"work"`
	// Completed counts executions that reached their end.
	Completed int `json:"completed"`
	// Refused counts work refused unrun, by reason.
	Refused map[string]int `json:"refused"`
	// Sick counts work that met a fault of the Behavior, by its kind.
	Sick map[string]int `json:"sick"`
	// Canceled counts work whose caller went away or whose deadline passed.
	Canceled int `json:"canceled"`
	// Probes counts requests to the health endpoint.
	Probes int `json:"probes"`
	// Busy is how many slots are taken now, Waiting how many requests wait.
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	// Open is how many connections are open, Peak the most there were and
	// Opened how many were made. Server only.
	Open   int `json:"connections_open"`
	Peak   int `json:"connections_peak"`
	Opened int `json:"connections_opened"`
}

// records is what an emulator remembers of its work.
type records struct {
	mu       sync.Mutex
	runs     map[string]Run
	stats    Stats
	arrivals []Arrival
}

func newRecords(id string) *records {
	return &records{
		runs:  map[string]Run{},
		stats: Stats{Target: id, Refused: map[string]int{}, Sick: map[string]int{}},
	}
}

func (r *records) update(f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

func (r *records) arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Work++
	if len(r.arrivals) < maxArrivals {
		r.arrivals = append(r.arrivals, a)
	}
}

func (r *records) resetArrivals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = nil
}

func (r *records) started(key string, now time.Time) {
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[key]
	if run.Started == 0 {
		run.First = now.UnixNano()
	}
	run.Started++
	run.Last = now.UnixNano()
	r.runs[key] = run
}

func (r *records) completed(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Completed++
	if key == "" {
		return
	}
	run := r.runs[key]
	run.Completed++
	r.runs[key] = run
}

func (r *records) snapshotRuns() map[string]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

func (r *records) snapshotStats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Refused = maps.Clone(s.Refused)
	s.Sick = maps.Clone(s.Sick)
	return s
}

func (r *records) snapshotArrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}
