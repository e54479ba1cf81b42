package emulator

import (
	"encoding/json"
	"net/http"
	"time"
)

// Paths that an emulator serves itself; all others are work.
const (
	PathHealth   = "/health"
	PathControl  = "/control"
	PathRuns     = "/runs"
	PathStats    = "/stats"
	PathArrivals = "/arrivals"
)

// maxControl bounds a control document, in bytes.
const maxControl = 64 << 10

// Handler returns the target's HTTP side: work, health and control.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathHealth, e.health)
	mux.HandleFunc("GET "+PathControl, e.getControl)
	mux.HandleFunc("PUT "+PathControl, e.putControl)
	mux.HandleFunc("GET "+PathRuns, e.getRuns)
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
	mux.HandleFunc("GET "+PathArrivals, func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Arrivals()) })
	mux.HandleFunc("/", e.work)
	return mux
}

// health answers as well as the behavior says, whatever becomes of work.
func (e *Emulator) health(w http.ResponseWriter, _ *http.Request) {
	e.records.update(func(s *Stats) { s.Probes++ })
	e.mu.Lock()
	dead, status := e.dead, e.behavior.HealthStatus
	e.mu.Unlock()
	if dead {
		reset(w)
		return
	}
	time.Sleep(e.opts.ProbeTime.D())
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func (e *Emulator) getControl(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	b := e.behavior
	e.mu.Unlock()
	reply(w, b)
}

// putControl sets the behavior from a JSON document.
func (e *Emulator) putControl(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl))
	dec.DisallowUnknownFields()
	var b Behavior
	err := dec.Decode(&b)
	if err == nil {
		err = e.Set(b)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, b)
}

// getRuns answers the runs of all keys, or of one given as ?key=.
func (e *Emulator) getRuns(w http.ResponseWriter, r *http.Request) {
	runs := e.Runs()
	if key := r.URL.Query().Get("key"); key != "" {
		runs = map[string]Run{key: runs[key]}
	}
	reply(w, RunsReply{Target: e.opts.ID, Runs: runs})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encode(v))
}
