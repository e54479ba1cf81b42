package instance

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/outlier"
	"github.com/clementinereel/clementinereel/publication"
	"github.com/clementinereel/clementinereel/status"
)

// serveStatus answers status.Path.
func (i *Instance) serveStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, i.status(fleet.CustomerID(c.QueryParam("customer"))))
}

// status reports on one customer, or on all if it is empty.
func (i *Instance) status(only fleet.CustomerID) status.Report {
	r := status.Report{
		Instance:    i.self.Instance,
		Incarnation: i.self.Incarnation,
		Zone:        i.cfg.Zone,
		Ready:       i.ready.Load(),
		Config:      status.Config{Next: i.follower.Next(), Contact: i.follower.Contact()},
		Revisions:   map[fleet.CustomerID]logservice.Offset{},
		Ejected:     []status.Ejection{},
	}
	r.Operations.Pending, r.Operations.Unknown = i.operations.Counts()
	v := i.follower.View()
	for id, p := range v.Contracts {
		if only != "" && id != only {
			continue
		}
		r.Revisions[id] = p.Revision
		r.Ejected = append(r.Ejected, i.ejections(v, p)...)
	}
	return r
}

// ejections lists the targets of a contract that get no work here.
func (i *Instance) ejections(v *publication.View, p *publication.Published) []status.Ejection {
	var out []status.Ejection
	for _, cs := range p.Contract.Services {
		id := fleet.NewServiceID(p.Contract.Customer, cs.Name)
		svc := i.services.Service(id)
		if svc == nil {
			continue
		}
		h := svc.Health()
		for _, t := range v.Targets[id] {
			if s := h.Status(t.ID); s.Phase == outlier.Ejected && !s.GivenBack {
				out = append(out, status.Ejection{
					Service: id, Target: t.ID, Scope: s.Scope.String(),
					Reason: s.Reason.String(), Until: s.Until,
				})
			}
		}
	}
	return out
}
