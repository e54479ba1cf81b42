package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// listChange is one entry put, or removed if gone, at a time.
type listChange struct {
	at    time.Time
	entry logservice.Listed
	gone  bool
}

// list is the instance list as a history of changes, so that it can be seen
// late.
type list struct {
	seen    map[fleet.InstanceID]logservice.Listed
	pending []listChange
}

func (l *list) add(c listChange) { l.pending = append(l.pending, c) }

// advance makes the changes seen that are at least lag old.
func (l *list) advance(now time.Time, lag time.Duration) {
	if l.seen == nil {
		l.seen = make(map[fleet.InstanceID]logservice.Listed)
	}
	n := 0
	for ; n < len(l.pending) && now.Sub(l.pending[n].at) >= lag; n++ {
		c := l.pending[n]
		if c.gone {
			delete(l.seen, c.entry.ID)
			continue
		}
		l.seen[c.entry.ID] = c.entry
	}
	l.pending = l.pending[n:]
}

func (l *list) entries() []logservice.Listed {
	out := make([]logservice.Listed, 0, len(l.seen))
	for _, e := range l.seen {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b logservice.Listed) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Put adds or replaces an entry of the instance list.
func (s *Server) Put(e logservice.Listed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.add(listChange{at: s.opts.Now(), entry: e})
}

// Remove takes an entry off the instance list.
func (s *Server) Remove(id fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.add(listChange{at: s.opts.Now(), entry: logservice.Listed{ID: id}, gone: true})
}

// Instances returns the list as it is seen now.
func (s *Server) Instances() []logservice.Listed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.advance(s.opts.Now(), s.faults.ListLag.D())
	return s.list.entries()
}

func (s *Server) serveInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Instances())
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var e logservice.Listed
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&e); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.ID = fleet.InstanceID(r.PathValue("id"))
	if e.State == "" {
		e.State = logservice.Live
	}
	if e.Addr == "" || (e.State != logservice.Live && e.State != logservice.Leaving) {
		http.Error(w, `want addr, and state "live" or "leaving"`, http.StatusBadRequest)
		return
	}
	s.Put(e)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.Remove(fleet.InstanceID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}
