package rejection

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/fleet"
)

const (
	// MaxReports bounds the reports in a datagram; each takes about 70 bytes.
	MaxReports = 4
	// maxCount bounds a reported count: more attempts in a slot than an instance can make are an error.
	maxCount = 1000
	// maxZoneCount bounds a count in the summary of a zone.
	maxZoneCount = 1000 * maxCount
	// maxSenders bounds the senders that are remembered.
	maxSenders = 2000
)

// Sender identifies where reports come from. Later ones of the same process have higher sequence numbers.
type Sender struct {
	// Name is the sender's address or, for summaries of another zone, the zone's name.
	Name string
	// Boot is the start of the process and Sequence the number of its datagram; both are 0 for summaries.
	Boot     int64
	Sequence uint64
	// Distant is set for summaries of another zone.
	Distant bool
}

// received are the last reports of a sender.
type received struct {
	sender  Sender
	at      time.Time
	reports map[Key]Report
}

// Change is a change of the belief that the targets of a key reject.
type Change struct {
	Key
	Rejecting bool
	// Counts are those by which the belief changed, Lasted is how long the previous one held.
	Counts  Counts
	Lasted  time.Duration
	Senders int
}

// Table has the counts and beliefs of all services. It is safe for concurrent use.
type Table struct {
	onChange func(Change)

	mu      sync.Mutex
	own     map[Key]*series
	senders map[string]*received
	beliefs map[Key]*belief
}

// NewTable returns an empty table. onChange is called with each change of a belief, and must not use the table.
func NewTable(onChange func(Change)) *Table {
	return &Table{onChange: onChange, own: make(map[Key]*series), senders: make(map[string]*received), beliefs: make(map[Key]*belief)}
}

// Record records an attempt that a target received, and whether it rejected it.
func (t *Table) Record(now time.Time, key Key, id fleet.TargetID, rejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.own[key]
	if s == nil {
		s = new(series)
		t.own[key] = s
	}
	s.record(now, id, rejected)
	t.update(now, key)
}

// Apply replaces the reports of a sender, unless they are older than those already received.
func (t *Table) Apply(now time.Time, from Sender, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.senders[from.Name]
	if old != nil && !from.Distant && cmp.Or(cmp.Compare(from.Boot, old.sender.Boot), cmp.Compare(from.Sequence, old.sender.Sequence)) <= 0 {
		return
	}
	if old == nil && (len(reports) == 0 || len(t.senders) >= maxSenders) {
		return
	}
	r := &received{sender: from, at: now, reports: make(map[Key]Report, len(reports))}
	for _, report := range reports[:min(len(reports), MaxReports)] {
		if valid(&report, from.Distant) {
			r.reports[report.Key] = report
		}
	}
	t.senders[from.Name] = r
	for key := range r.reports {
		t.update(now, key)
	}
}

func valid(r *Report, distant bool) bool {
	most := maxCount
	if distant {
		most = maxZoneCount
	}
	for _, c := range r.Slots {
		if c.Attempts < 0 || c.Rejections < 0 || c.Rejections > c.Attempts || c.Attempts > most {
			return false
		}
	}
	return r.Service != "" && r.Elapsed >= 0 && r.Elapsed < SlotLength
}

// Own returns this instance's counts of the services of which it or others counted rejections.
func (t *Table) Own(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportsOnRejecting(now, func(key Key) Report {
		if s := t.own[key]; s != nil {
			return s.report(now, key)
		}
		return Report{Key: key}
	})
}

// Summary returns the reports for other zones: the counts of all instances of the own zone.
func (t *Table) Summary(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportsOnRejecting(now, func(key Key) Report { return t.merged(now, key, time.Time{}, false) })
}

// reportsOnRejecting returns the reports on services of which this instance or others counted rejections, at most
// MaxReports, those with most rejections first. Instances without rejections report too: without their accepted
// attempts the share of rejections would be too high.
func (t *Table) reportsOnRejecting(now time.Time, report func(Key) Report) []Report {
	var all []Report
	for key, b := range t.beliefs {
		r, merged := report(key), t.merged(now, key, time.Time{}, true)
		if r.total().Attempts > 0 && (b.rejecting || merged.total().Rejections > 0) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Report) int {
		return cmp.Or(b.total().Rejections-a.total().Rejections, strings.Compare(string(a.Service), string(b.Service)), strings.Compare(string(a.Zone), string(b.Zone)))
	})
	return all[:min(len(all), MaxReports)]
}

// merged returns the counts of this instance and of those heard, without attempts before the cut.
func (t *Table) merged(now time.Time, key Key, cut time.Time, distant bool) Report {
	sum := Report{Key: key}
	if s := t.own[key]; s != nil {
		r := s.report(now, key)
		sum.addAged(now, cut, now, &r)
	}
	for _, from := range t.senders {
		if from.sender.Distant && !distant {
			continue
		}
		if r, ok := from.reports[key]; ok {
			sum.addAged(now, cut, from.at, &r)
		}
	}
	sum.Elapsed = 0
	return sum
}

// addAged adds a report that was received at the given time. Slots are counted by the age of their begin.
func (r *Report) addAged(now, cut, at time.Time, o *Report) {
	begin := at.Add(-o.Elapsed)
	added := false
	for _, c := range o.Slots {
		age := now.Sub(begin)
		if age < 0 || age >= Window || begin.Before(cut) {
			begin = begin.Add(-SlotLength)
			continue
		}
		r.Slots[age/SlotLength].add(c)
		added = added || c.Attempts > 0
		begin = begin.Add(-SlotLength)
	}
	if added {
		r.Tried |= o.Tried
		r.Rejecting |= o.Rejecting
	}
}

// update updates the belief about a key.
func (t *Table) update(now time.Time, key Key) {
	b := t.beliefs[key]
	if b == nil {
		b = &belief{since: now}
		t.beliefs[key] = b
	}
	merged := t.merged(now, key, b.cut, true)
	before := b.since
	if !b.update(now, &merged) || t.onChange == nil {
		return
	}
	t.onChange(Change{Key: key, Rejecting: b.rejecting, Counts: merged.total(), Lasted: now.Sub(before), Senders: len(t.senders)})
}

// Tick updates all beliefs and forgets what has expired.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.senders, func(_ string, r *received) bool { return now.Sub(r.at) >= beliefTimeout })
	for key, b := range t.beliefs {
		t.update(now, key)
		if !b.rejecting && now.Sub(b.heardAt) >= beliefTimeout {
			delete(t.beliefs, key)
			delete(t.own, key)
		}
	}
}

// State is what is believed of a service.
type State struct {
	// Wide is set if the targets of all zones reject.
	Wide bool
	// Since is when the last zone began to reject, if Wide is set.
	Since time.Time
	// Accepted is the probability that an attempt at the best zone is accepted.
	Accepted float64
	// Rejecting are the zones whose targets reject.
	Rejecting []fleet.Zone
}

// State returns what is believed of a service with targets in the given zones.
func (t *Table) State(service document.ServiceName, zones []fleet.Zone) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Accepted: 1}
	best := 0.0
	for _, z := range zones {
		b := t.beliefs[Key{service, z}]
		if b == nil || !b.rejecting {
			best = 1
			continue
		}
		s.Rejecting = append(s.Rejecting, z)
		best = max(best, 1-b.share)
		if b.since.After(s.Since) {
			s.Since = b.since
		}
	}
	if len(zones) > 0 {
		s.Accepted = best
	}
	s.Wide = len(zones) > 0 && len(s.Rejecting) == len(zones)
	return s
}

// ZoneReport is what an instance believes of a service's targets in one zone.
type ZoneReport struct {
	Zone fleet.Zone `json:"zone"`
	// Attempts and Rejections are those of the last second that the instance made or heard of.
	Attempts   int `json:"attempts"`
	Rejections int `json:"rejections"`
	// Rejecting is set if the targets reject widely, Since is when that last changed.
	Rejecting bool      `json:"rejecting"`
	Since     time.Time `json:"since"`
}

// ZoneReports returns what is known of all services, by zone of targets.
func (t *Table) ZoneReports(now time.Time) map[document.ServiceName][]ZoneReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[document.ServiceName][]ZoneReport)
	for key, b := range t.beliefs {
		merged := t.merged(now, key, time.Time{}, true)
		c := merged.total()
		all[key.Service] = append(all[key.Service], ZoneReport{Zone: key.Zone, Attempts: c.Attempts, Rejections: c.Rejections, Rejecting: b.rejecting, Since: b.since})
	}
	for _, reports := range all {
		slices.SortFunc(reports, func(a, b ZoneReport) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	}
	return all
}
