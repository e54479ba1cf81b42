package faults

import (
	"net/http"
	"strings"
	"sync"
)

// LogOutage is how the log fails while the instance list goes on.
type LogOutage string

const (
	// LogUp ends an outage.
	LogUp LogOutage = ""
	// LogRefuses answers every call with an error.
	LogRefuses LogOutage = "refuses"
	// LogHangs answers nothing until the caller gives up.
	LogHangs LogOutage = "hangs"
)

// streamsPath is where the platform's log begins.
const streamsPath = "/v1/streams/"

// logOutage stands before the platform's stand-in.
type logOutage struct {
	mu  sync.Mutex
	now LogOutage
}

// SetLog begins or ends an outage of the log.
func (f *Fleet) SetLog(o LogOutage) {
	f.outage.mu.Lock()
	defer f.outage.mu.Unlock()
	f.outage.now = o
}

func (o *logOutage) current() LogOutage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now
}

func (o *logOutage) before(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := o.current()
		switch {
		case now == LogUp || !strings.HasPrefix(r.URL.Path, streamsPath):
			next.ServeHTTP(w, r)
		case now == LogRefuses:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case now == LogHangs:
			<-r.Context().Done()
		}
	})
}
