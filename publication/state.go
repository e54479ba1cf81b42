package publication

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
)

// TombstoneAge is how long a stopped target is remembered, by the log's
// clock. An append of an older announcement that takes effect within it is
// refused.
const TombstoneAge = 24 * time.Hour

// Published is the contract in force for one customer. It is immutable.
type Published struct {
	Contract contract.Contract
	// Revision is the offset of the record that published it.
	Revision logservice.Offset
	// PublicationID is the id that its operator's command chose.
	PublicationID string
	// Time is when the log accepted it, by the log's clock.
	Time time.Time
}

// announced is the last announcement of one target.
type announced struct {
	Target        fleet.Target
	Revision      logservice.Offset
	PublicationID string
}

type targetKey struct {
	service fleet.ServiceID
	id      fleet.TargetID
}

// State is the fold of the stream up to an offset. It is not safe for
// concurrent use; View gives what others may read.
type State struct {
	next      logservice.Offset
	contracts map[fleet.CustomerID]*Published
	hosts     map[string]fleet.CustomerID
	targets   map[fleet.ServiceID]map[fleet.TargetID]*announced
	// stopped holds tombstones in the order in which they were laid.
	stopped  []targetKey
	refusals refusals
	// checkpoint is the newest one in the stream.
	checkpoint CheckpointMark
	view       *View
	changed    changes
}

// NewState returns the state before the first record of the stream.
func NewState() *State {
	return &State{
		contracts: make(map[fleet.CustomerID]*Published),
		hosts:     make(map[string]fleet.CustomerID),
		targets:   make(map[fleet.ServiceID]map[fleet.TargetID]*announced),
		view:      emptyView,
	}
}

// Next is the offset of the first record that was not applied yet.
func (s *State) Next() logservice.Offset { return s.next }

// Apply folds the record at offset Next. Other offsets change nothing.
func (s *State) Apply(r logservice.Record) Decision {
	switch {
	case r.Offset < s.next:
		return Decision{Offset: r.Offset, Verdict: Stale, Current: NoRevision}
	case r.Offset > s.next:
		return Decision{Offset: r.Offset, Verdict: Gap, Current: NoRevision, Message: fmt.Sprintf("next is %d", s.next)}
	}
	s.next++
	r.Time = instant(r.Time)
	s.expireTombstones(r.Time)
	d := s.decide(r)
	d.Offset = r.Offset
	s.remember(d)
	return d
}

func (s *State) decide(r logservice.Record) Decision {
	e, err := DecodeRecord(r.Data)
	if err != nil {
		return Decision{Verdict: Malformed, Current: NoRevision, Message: err.Error()}
	}
	d, refused := s.refusedBefore(e)
	switch {
	case refused:
	case e.Kind == KindContract:
		d = s.applyContract(r, e)
	case e.Kind == KindTarget:
		d = s.applyTarget(r, e)
	default:
		d = s.applyCheckpoint(r, e)
	}
	d.Kind, d.ID = e.Kind, e.ID
	return d
}

func (s *State) applyContract(r logservice.Record, e Envelope) Decision {
	c, err := contract.Decode(e.Contract)
	if err != nil {
		return Decision{Verdict: Invalid, Current: NoRevision, Message: err.Error()}
	}
	d := Decision{Customer: c.Customer, Current: NoRevision}
	if old := s.contracts[c.Customer]; old != nil {
		d.Current, d.CurrentID = old.Revision, old.PublicationID
	}
	if !d.judgeBase(e) {
		return d
	}
	if host, owner, ok := s.hostTaken(c); ok {
		d.Verdict = HostTaken
		d.Message = fmt.Sprintf("hosts: %q belongs to customer %s: remove it there first", host, owner)
		return d
	}
	s.put(&Published{Contract: *c, Revision: r.Offset, PublicationID: e.ID, Time: r.Time})
	d.Verdict = Accepted
	return d
}

// judgeBase tells whether the record's base is current; if not it sets the
// verdict.
func (d *Decision) judgeBase(e Envelope) bool {
	if e.ID == d.CurrentID {
		d.Verdict = Repeated
		d.Message = fmt.Sprintf("accepted before at revision %d", d.Current)
		return false
	}
	if e.Base != d.Current {
		d.Verdict = Conflict
		d.Message = fmt.Sprintf("based on revision %d, but %d is current", e.Base, d.Current)
		return false
	}
	return true
}

func (s *State) hostTaken(c *contract.Contract) (host string, owner fleet.CustomerID, taken bool) {
	for _, h := range c.Hosts {
		if owner, ok := s.hosts[h]; ok && owner != c.Customer {
			return h, owner, true
		}
	}
	return "", "", false
}

// put replaces the customer's contract.
func (s *State) put(p *Published) {
	id := p.Contract.Customer
	if old := s.contracts[id]; old != nil {
		for _, h := range old.Contract.Hosts {
			delete(s.hosts, h)
		}
	}
	for _, h := range p.Contract.Hosts {
		s.hosts[h] = id
	}
	s.contracts[id] = p
	s.changed.contract(id)
}

func (s *State) applyTarget(r logservice.Record, e Envelope) Decision {
	a := e.Target
	d := Decision{Customer: customerOf(a.Service), Target: a.ID, Current: NoRevision}
	old := s.targets[a.Service][a.ID]
	if old != nil {
		d.Current, d.CurrentID = old.Revision, old.PublicationID
	}
	if !d.judgeBase(e) {
		return d
	}
	t := fleet.Target{ID: a.ID, Service: a.Service, Addr: a.Addr, Zone: a.Zone, State: a.State, Since: r.Time}
	d.Verdict, d.Message = s.judgeTarget(&t, old)
	if d.Verdict != Accepted {
		return d
	}
	s.putTarget(&announced{Target: t, Revision: r.Offset, PublicationID: e.ID})
	return d
}

// judgeTarget checks an announcement against the last one and fills in the
// address and zone that it may leave out.
func (s *State) judgeTarget(t *fleet.Target, old *announced) (Verdict, string) {
	if old == nil && t.State != fleet.Joined {
		return WrongMove, "the target was never announced to join"
	}
	if old != nil && old.Target.State == fleet.Stopped {
		return WrongMove, "the target was stopped: give the new one another id"
	}
	if old != nil {
		setDefault(&t.Addr, old.Target.Addr)
		setDefault(&t.Zone, old.Target.Zone)
	}
	if old != nil && (t.Addr != old.Target.Addr || t.Zone != old.Target.Zone) {
		return WrongMove, fmt.Sprintf("the target was announced at %s in zone %s: give the new one another id", old.Target.Addr, old.Target.Zone)
	}
	if old != nil && t.State == old.Target.State {
		return WrongMove, "the target is " + t.State.String() + " already"
	}
	if t.State == fleet.Joined && !s.hasService(t.Service) {
		return UnknownService, fmt.Sprintf("no contract in force has service %q", t.Service)
	}
	return checkTarget(t)
}

func checkTarget(t *fleet.Target) (Verdict, string) {
	if t.State != fleet.Joined && t.State != fleet.Leaving && t.State != fleet.Stopped {
		return Invalid, "target state missing"
	}
	if len(t.ID) == 0 || len(t.ID) > maxID {
		return Invalid, fmt.Sprintf("target id %q: want 1 to %d bytes", t.ID, maxID)
	}
	ap, err := netip.ParseAddrPort(t.Addr)
	if err != nil || ap.Port() == 0 {
		return Invalid, fmt.Sprintf("target address %q: want an IP address and port, as \"10.0.0.7:8080\"", t.Addr)
	}
	if len(t.Zone) == 0 || len(t.Zone) > maxID {
		return Invalid, "target zone missing or too long"
	}
	return Accepted, ""
}

func (s *State) hasService(id fleet.ServiceID) bool {
	p := s.contracts[customerOf(id)]
	if p == nil {
		return false
	}
	for i := range p.Contract.Services {
		if fleet.NewServiceID(p.Contract.Customer, p.Contract.Services[i].Name) == id {
			return true
		}
	}
	return false
}

func (s *State) putTarget(a *announced) {
	id := a.Target.Service
	byID := s.targets[id]
	if byID == nil {
		byID = make(map[fleet.TargetID]*announced)
		s.targets[id] = byID
	}
	byID[a.Target.ID] = a
	if a.Target.State == fleet.Stopped {
		s.stopped = append(s.stopped, targetKey{id, a.Target.ID})
	}
	s.changed.service(id)
}

// expireTombstones forgets targets that stopped long before now.
func (s *State) expireTombstones(now time.Time) {
	n := 0
	for ; n < len(s.stopped); n++ {
		k := s.stopped[n]
		if now.Sub(s.targets[k.service][k.id].Target.Since) < TombstoneAge {
			break
		}
		delete(s.targets[k.service], k.id)
		if len(s.targets[k.service]) == 0 {
			delete(s.targets, k.service)
		}
	}
	s.stopped = s.stopped[n:]
}

// lastNano is the first time that nanoseconds since the epoch cannot hold.
var lastNano = time.Unix(0, math.MaxInt64)

// instant returns a record's time as peers pass it on, in nanoseconds since the
// epoch; times that these cannot hold become the epoch.
func instant(t time.Time) time.Time {
	if t.Before(time.Unix(0, 0)) || t.After(lastNano) {
		return time.Unix(0, 0).UTC()
	}
	return time.Unix(0, t.UnixNano()).UTC()
}

// customerOf returns the customer's part of "customer/service".
func customerOf(id fleet.ServiceID) fleet.CustomerID {
	c, _, _ := strings.Cut(string(id), "/")
	return fleet.CustomerID(c)
}

func setDefault[T ~string](field *T, value T) {
	if *field == "" {
		*field = value
	}
}
