package registry

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// maxDepartures bounds the departures that are kept.
	maxDepartures = 4096
	// maxDepartureAge is the age above which a reported departure is ignored.
	maxDepartureAge = 24 * time.Hour
	// confirmedAnnounceTime is how long a departure is announced to peers even if the log confirms
	// it: some may not have received the log's change yet.
	confirmedAnnounceTime = 5 * time.Second
)

// Departure is a target process that announced in a response that it leaves. It gets no new work,
// whatever the log says, since the target has the more recent information. A later process with the
// same ID does get work.
type Departure struct {
	_  struct{} `cbor:",toarray"`
	ID fleet.TargetID
	// Born is when the process started, in milliseconds since the Unix epoch; 0 if unknown.
	Born int64
	// AgeMillis is how long ago the first instance received the announcement.
	AgeMillis int64
	// Lifted marks the end of a departure by an operator, AgeMillis ago: the process is used until
	// it announces again that it leaves.
	Lifted bool
}

// departure is the recorded state of a Departure.
type departure struct {
	born   int64
	since  time.Time
	lifted bool
}

// supersedes reports whether a departure, or the end of one, replaces the recorded one: it is of a
// later process, or it is later and the other of the two.
func (d *departure) supersedes(recorded *departure) bool {
	if d.born != recorded.born {
		return d.born > recorded.born
	}
	return d.lifted != recorded.lifted && d.since.After(recorded.since)
}

// RecordDeparture records a departure, and reports whether it was new.
func (r *Registry) RecordDeparture(now time.Time, d Departure) bool {
	age := time.Duration(d.AgeMillis) * time.Millisecond
	if age < 0 || age > maxDepartureAge {
		return false
	}
	reported := departure{born: d.Born, since: now.Add(-age), lifted: d.Lifted}
	recorded, ok := r.departures[d.ID]
	if ok && !reported.supersedes(&recorded) || !ok && d.Lifted {
		return false
	}
	t := r.entries[d.ID]
	if t != nil && t.Born > d.Born || t == nil && len(r.departures) >= maxDepartures {
		return false
	}
	r.departures[d.ID] = reported
	r.changed = true
	return true
}

// departed reports whether the entry is of a process that announced its departure.
func (r *Registry) departed(e *Entry) bool {
	d, ok := r.departures[e.ID]
	return ok && !d.lifted && e.Born <= d.born
}

// Departures returns all recorded departures.
func (r *Registry) Departures(now time.Time) []Departure {
	return r.selectDepartures(now, func(fleet.TargetID, departure) bool { return true })
}

// DeparturesToAnnounce returns the departures that some peer may lack: those that the log does not
// confirm, or that began less than confirmedAnnounceTime ago.
func (r *Registry) DeparturesToAnnounce(now time.Time) []Departure {
	return r.selectDepartures(now, func(id fleet.TargetID, d departure) bool {
		t := r.entries[id]
		return t != nil && !t.Leaving || now.Sub(d.since) < confirmedAnnounceTime
	})
}

func (r *Registry) selectDepartures(now time.Time, include func(fleet.TargetID, departure) bool) []Departure {
	var ds []Departure
	for id, d := range r.departures {
		if include(id, d) {
			ds = append(ds, Departure{ID: id, Born: d.born, AgeMillis: now.Sub(d.since).Milliseconds(), Lifted: d.lifted})
		}
	}
	return ds
}

// pruneDepartures drops departures of removed targets, once no older copy of the log can show them,
// and those of earlier processes.
func (r *Registry) pruneDepartures(now time.Time) {
	for id, d := range r.departures {
		t := r.entries[id]
		if t == nil && now.Sub(d.since) > removalRetention || t != nil && t.Born > d.born {
			delete(r.departures, id)
		}
	}
}
