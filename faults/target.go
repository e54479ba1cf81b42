package faults

import (
	"context"
	"fmt"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// Target is an emulated target as the fleet knows it.
type Target struct {
	*emulator.Server
	ID      fleet.TargetID
	Service fleet.ServiceID
	Zone    fleet.Zone
	// Callers stands before it, if the Setup asks for links to targets.
	Callers *Switch
	fleet   *Fleet
	// revision is the offset of its last announcement.
	revision logservice.Offset
}

// AddTarget starts a target of a service and announces it.
func (f *Fleet) AddTarget(svc contract.Service, o emulator.Options) *Target {
	f.t.Helper()
	n := len(f.Targets[svc.Name])
	o.ID = fmt.Sprintf("%s-%d", svc.Name, n+1)
	o.Slots = svc.Slots
	o.Connections = svc.Connections
	o.Seed = uint64(n + 1)
	srv, err := emulator.Serve(loopback, o)
	assert.NilError(f.t, err)
	f.t.Cleanup(srv.Close)
	t := &Target{
		Server:   srv,
		ID:       fleet.TargetID(o.ID),
		Service:  fleet.NewServiceID(f.Contract.Customer, svc.Name),
		Zone:     f.zone(n),
		fleet:    f,
		revision: publication.NoRevision,
	}
	if f.setup.TargetLinks {
		t.Callers = f.newSwitch(o.ID, srv.Addr())
	}
	f.Targets[svc.Name] = append(f.Targets[svc.Name], t)
	t.Announce(fleet.Joined)
	return t
}

// Announce publishes a state of the target.
func (t *Target) Announce(s fleet.TargetState) {
	t.fleet.t.Helper()
	addr := t.Addr()
	if t.Callers != nil {
		addr = t.Callers.Addr()
	}
	a := publication.Announcement{ID: t.ID, Service: t.Service, Addr: addr, Zone: t.Zone, State: s}
	rec, err := publication.EncodeTarget(t.fleet.publicationID(), t.revision, a)
	assert.NilError(t.fleet.t, err)
	t.revision = t.fleet.append(rec)
}

// append adds a record to the configuration stream.
func (f *Fleet) append(rec []byte) logservice.Offset {
	f.t.Helper()
	offset, err := f.log.Append(context.Background(), publication.Stream, rec)
	assert.NilError(f.t, err)
	f.newest = offset
	return offset
}

func (f *Fleet) publicationID() string {
	f.publications++
	return fmt.Sprintf("faults-%d", f.publications)
}

// SetAll sets the behavior of all targets of a service.
func (f *Fleet) SetAll(service string, b emulator.Behavior) {
	f.t.Helper()
	for _, t := range f.Targets[service] {
		assert.NilError(f.t, t.Set(b))
	}
}

// Work counts the work that came to a service's targets.
func (f *Fleet) Work(service string) int {
	n := 0
	for _, t := range f.Targets[service] {
		n += t.Stats().Work
	}
	return n
}
