package reelctl

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/publication"
)

// TargetCmd announces targets.
type TargetCmd struct {
	Join  JoinCmd    `cmd:"" help:"Announce a target that may be given work, or that no longer leaves."`
	Leave LeaveCmd   `cmd:"" help:"Announce that a target leaves: it gets no new work after a few seconds; running work finishes."`
	Stop  StopCmd    `cmd:"" help:"Announce that a target is gone. Its id must not be used again."`
	List  TargetsCmd `cmd:"" help:"List the joined and leaving targets."`
}

// Announced names the target of an announcement.
type Announced struct {
	Remote
	Output
	Service fleet.ServiceID `arg:"" help:"Service, as customer/service."`
	Target  fleet.TargetID  `arg:"" help:"Id of the target, unique within the service and never used again for another machine."`
	ID      string          `name:"id" placeholder:"ID" help:"Publication id. Default: a new one. With the id of an earlier announcement the command reports what became of it, and appends only if the log does not have it."`
}

// JoinCmd announces a target that joins.
type JoinCmd struct {
	Announced
	Addr string     `arg:"" optional:"" help:"IP address and port, as 10.0.0.7:8080. Not needed for a target that is leaving."`
	Zone fleet.Zone `help:"Availability zone. Not needed for a target that is leaving."`
}

// Run implements the target join command.
func (c *JoinCmd) Run(a *App) error {
	return c.announce(a, publication.Announcement{State: fleet.Joined, Addr: c.Addr, Zone: c.Zone})
}

// LeaveCmd announces a target that leaves.
type LeaveCmd struct{ Announced }

// Run implements the target leave command.
func (c *LeaveCmd) Run(a *App) error {
	return c.announce(a, publication.Announcement{State: fleet.Leaving})
}

// StopCmd announces a target that is gone.
type StopCmd struct{ Announced }

// Run implements the target stop command.
func (c *StopCmd) Run(a *App) error {
	return c.announce(a, publication.Announcement{State: fleet.Stopped})
}

// announce submits an announcement, based on the target's last one.
func (c *Announced) announce(a *App, ann publication.Announcement) error {
	ann.Service, ann.ID = c.Service, c.Target
	ctx, cancel, log := c.connect(a)
	defer cancel()
	result, _, err := submit(ctx, log, newChange(c.ID, func(id string, s *publication.State) ([]byte, error) {
		return publication.EncodeTarget(id, s.TargetRevision(c.Service, c.Target), ann)
	}))
	if err != nil {
		return err
	}
	return result.finish(a, c.Output)
}

// TargetsCmd lists targets.
type TargetsCmd struct {
	Remote
	Output
	Service fleet.ServiceID `arg:"" optional:"" help:"Service, as customer/service. Default: all."`
}

// Run implements the target list command.
func (c *TargetsCmd) Run(a *App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	s, err := readStream(ctx, log)
	if err != nil {
		return exit(ExitNotKnown, "the log did not answer: %v", err)
	}
	targets := []fleet.Target{}
	view := s.state.View()
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		if c.Service == "" || c.Service == id {
			targets = append(targets, view.Targets[id]...)
		}
	}
	return c.print(a, targets, func(w io.Writer) {
		table(w, "SERVICE\tTARGET\tADDRESS\tZONE\tSTATE\tSINCE", func(w io.Writer) {
			for _, t := range targets {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", t.Service, t.ID, t.Addr, t.Zone, t.State, t.Since.Format(timeFormat))
			}
		})
	})
}
