package registry

import (
	"time"

	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// departuresMost bounds the departures that are remembered.
	departuresMost = 4096
	// oldestDeparture is the age from which what is told of a departure is none.
	oldestDeparture = 24 * time.Hour
	// toldAfterwards is for how long a departure is told to others though the log confirms it: some may not
	// have the log's change yet.
	toldAfterwards = 5 * time.Second
)

// Departure is a process of a target that said in an answer that it leaves. It gets no new work, whatever
// the log says of it: the target knows sooner and better. A later process under the ID does.
type Departure struct {
	_  struct{} `cbor:",toarray"`
	ID fleet.TargetID
	// Born is when the process started, in milliseconds since the Unix epoch; 0 if that is not known.
	Born int64
	// AgeMillis is how long ago the first instance heard so.
	AgeMillis int64
	// Lifted tells that an operator ended it, so long ago: the process is used until it says so again.
	Lifted bool
}

// departure is what is remembered of a Departure.
type departure struct {
	born   int64
	since  time.Time
	lifted bool
}

// supersedes tells whether a departure, or the end of one, is news beside what is known: of a later process, or
// the other of the two and later.
func (d *departure) supersedes(known *departure) bool {
	if d.born != known.born {
		return d.born > known.born
	}
	return d.lifted != known.lifted && d.since.After(known.since)
}

// Depart takes in a departure, and tells whether it is news.
func (r *Registry) Depart(now time.Time, d Departure) bool {
	age := time.Duration(d.AgeMillis) * time.Millisecond
	if age < 0 || age > oldestDeparture {
		return false
	}
	news := departure{born: d.Born, since: now.Add(-age), lifted: d.Lifted}
	known, ok := r.departures[d.ID]
	if ok && !news.supersedes(&known) || !ok && d.Lifted {
		return false
	}
	t := r.entries[d.ID]
	if t != nil && t.Born > d.Born || t == nil && len(r.departures) >= departuresMost {
		return false
	}
	r.departures[d.ID] = news
	r.changed = true
	return true
}

// departed tells whether the entry is that of a process that said that it leaves.
func (r *Registry) departed(e *Entry) bool {
	d, ok := r.departures[e.ID]
	return ok && !d.lifted && e.Born <= d.born
}

// Departures returns all departures that are remembered.
func (r *Registry) Departures(now time.Time) []Departure {
	return r.departuresFor(now, func(fleet.TargetID, departure) bool { return true })
}

// DeparturesToTell returns those that somebody may not know: the log does not confirm them, or has just
// done so.
func (r *Registry) DeparturesToTell(now time.Time) []Departure {
	return r.departuresFor(now, func(id fleet.TargetID, d departure) bool {
		t := r.entries[id]
		return t != nil && !t.Leaving || now.Sub(d.since) < toldAfterwards
	})
}

func (r *Registry) departuresFor(now time.Time, told func(fleet.TargetID, departure) bool) []Departure {
	var ds []Departure
	for id, d := range r.departures {
		if told(id, d) {
			ds = append(ds, Departure{ID: id, Born: d.born, AgeMillis: now.Sub(d.since).Milliseconds(), Lifted: d.lifted})
		}
	}
	return ds
}

// forgetDepartures drops those of targets that are gone, once no older copy of the log can show them, and
// those of earlier processes.
func (r *Registry) forgetDepartures(now time.Time) {
	for id, d := range r.departures {
		t := r.entries[id]
		if t == nil && now.Sub(d.since) > removedFor || t != nil && t.Born > d.born {
			delete(r.departures, id)
		}
	}
}
