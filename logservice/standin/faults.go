package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/clementinereel/clementinereel/contract"
)

// Outage says how the server fails while it is down.
type Outage string

const (
	// Up means no outage.
	Up Outage = ""
	// Refuse answers every call with 503; appends have no effect.
	Refuse Outage = "refuse"
	// Hang answers nothing until the outage ends or the caller gives up; then
	// the connection breaks and the call had no effect.
	Hang Outage = "hang"
)

// Faults are what goes wrong at present. PUT /faults replaces them all.
type Faults struct {
	// Outage takes the log and the list down. Default none.
	Outage Outage `json:"outage,omitempty"`
	// Latency is added before each call takes effect. Default none.
	Latency contract.Duration `json:"latency,omitempty"`
	// LoseReplies is how many appends from now on take effect while their
	// reply is lost: the connection breaks. Negative: all of them.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LateAppends is how many appends from now on take effect only LateBy
	// after their connection broke.
	LateAppends int               `json:"late_appends,omitempty"`
	LateBy      contract.Duration `json:"late_by,omitempty"`
	// KeepRecords is how many records a stream keeps. Default 0: all.
	KeepRecords int `json:"keep_records,omitempty"`
	// KeepFor is how long a stream keeps a record. Default 0: forever.
	KeepFor contract.Duration `json:"keep_for,omitempty"`
	// ListLag is how long a change of the list stays unseen. Default none.
	ListLag contract.Duration `json:"list_lag,omitempty"`
}

func (f *Faults) loseReply() bool {
	if f.LoseReplies > 0 {
		f.LoseReplies--
		return true
	}
	return f.LoseReplies < 0
}

func (f *Faults) late() bool {
	if f.LateAppends == 0 {
		return false
	}
	f.LateAppends--
	return true
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	f, _ := s.currentFaults()
	return f
}

func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// platformCall puts a handler behind the outage and the latency.
func (s *Server) platformCall(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, changed := s.currentFaults()
		if f.Latency > 0 {
			sleep(r, f.Latency.D())
		}
		switch f.Outage {
		case Refuse:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case Hang:
			hang(r, changed)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func hang(r *http.Request, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-r.Context().Done():
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Outage != Up && f.Outage != Refuse && f.Outage != Hang {
		http.Error(w, `outage: want "", "refuse" or "hang"`, http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
