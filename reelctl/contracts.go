package reelctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/clementinereel/clementinereel/contract"
	"github.com/clementinereel/clementinereel/logservice"
	"github.com/clementinereel/clementinereel/publication"
)

// CheckCmd checks a contract file offline.
type CheckCmd struct {
	Output
	File string `arg:"" type:"existingfile" help:"Contract in JSON (docs/OPERATIONS.md; examples/)."`
}

// checkResult is the outcome of a check.
type checkResult struct {
	OK       bool               `json:"ok"`
	Problems []contract.Problem `json:"problems,omitempty"`
	Message  string             `json:"message,omitempty"`
}

// Run implements the check command.
func (c *CheckCmd) Run(a *App) error {
	doc, err := readContract(c.File)
	if err == nil {
		return c.print(a, checkResult{OK: true}, func(w io.Writer) {
			fmt.Fprintf(w, "ok: customer %s, %d services, %d routes\n", doc.Customer, len(doc.Services), len(doc.Routes))
		})
	}
	result := checkResult{Message: err.Error()}
	var refused *contract.Error
	if errors.As(err, &refused) {
		result = checkResult{Problems: refused.Problems}
	}
	if err := c.print(a, result, func(w io.Writer) { fmt.Fprintln(w, err) }); err != nil {
		return err
	}
	return &ExitError{Code: ExitRefused}
}

func readContract(file string) (*contract.Contract, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return contract.Decode(data)
}

// PublishCmd publishes a customer's first contract.
type PublishCmd struct {
	Remote
	Output
	File string `arg:"" optional:"" type:"existingfile" help:"Contract in JSON. Without it, --id asks what became of an earlier publication."`
	ID   string `name:"id" placeholder:"ID" help:"Publication id. Default: a new one. With the id of an earlier publication the command reports what became of it, and appends the contract only if the log does not have it."`
}

// Run implements the publish command.
func (c *PublishCmd) Run(a *App) error {
	if c.File == "" && c.ID == "" {
		return exit(ExitUsage, "publish: name a contract file, or a publication by --id")
	}
	if c.File == "" {
		return c.ask(a)
	}
	return publish(a, c.Remote, c.Output, c.File, c.ID, func(*publication.State, *contract.Contract) logservice.Offset {
		return publication.NoRevision
	})
}

// ask reports what became of an earlier publication.
func (c *PublishCmd) ask(a *App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	earlier := newChange(c.ID, nil)
	s, err := readStream(ctx, log)
	if err != nil {
		return earlier.unread(err).finish(a, c.Output)
	}
	if d, ok := s.find(c.ID); ok {
		return newResult(d).finish(a, c.Output)
	}
	message := fmt.Sprintf("the log has no such publication up to offset %d; an append on its way may yet take effect: "+
		"to settle it, give the same file with this id", s.state.Next())
	return earlier.unsettled(NotKnown, message).finish(a, c.Output)
}

// ReviseCmd replaces the contract in force.
type ReviseCmd struct {
	Remote
	Output
	File string `arg:"" type:"existingfile" help:"The whole new contract in JSON."`
	Base string `required:"" placeholder:"REVISION" help:"Revision that the new contract was written from, as show prints it; or \"current\" to replace whatever is in force."`
	ID   string `name:"id" placeholder:"ID" help:"Publication id. Default: a new one. With the id of an earlier publication the command reports what became of it, and appends the contract only if the log does not have it."`
}

// Run implements the revise command.
func (c *ReviseCmd) Run(a *App) error {
	base, err := strconv.ParseInt(c.Base, 10, 64)
	if c.Base != "current" && err != nil {
		return exit(ExitUsage, "revise: --base %q: want a revision number or \"current\"", c.Base)
	}
	return publish(a, c.Remote, c.Output, c.File, c.ID, func(s *publication.State, doc *contract.Contract) logservice.Offset {
		if c.Base == "current" {
			return s.Revision(doc.Customer)
		}
		return logservice.Offset(base)
	})
}

// publish submits a contract with the base that choose gives.
func publish(a *App, r Remote, o Output, file, id string, choose func(*publication.State, *contract.Contract) logservice.Offset) error {
	doc, err := readContract(file)
	if err != nil {
		return &ExitError{Code: ExitRefused, Err: err}
	}
	ctx, cancel, log := r.connect(a)
	defer cancel()
	result, s, err := submit(ctx, log, newChange(id, func(id string, s *publication.State) ([]byte, error) {
		return publication.EncodeContract(id, choose(s, doc), doc)
	}))
	if err != nil {
		return err
	}
	if result.Verdict == publication.Conflict {
		result.Differences = differences(s, doc)
	}
	return result.finish(a, o)
}

// differences compares the contract in force with a refused one.
func differences(s *stream, doc *contract.Contract) []contract.Difference {
	p := s.state.View().Contracts[doc.Customer]
	if p == nil {
		return nil
	}
	return contract.Differences(&p.Contract, doc)
}

// ShowCmd shows contracts in force.
type ShowCmd struct {
	Remote
	Output
	Customer string `arg:"" optional:"" help:"Customer. Default: list all customers."`
	Contract bool   `help:"Print the bare contract, to be edited and given to revise."`
}

// shown is a contract in force as show prints it.
type shown struct {
	Revision logservice.Offset  `json:"revision"`
	ID       string             `json:"id"`
	Time     string             `json:"time"`
	Contract *contract.Contract `json:"contract"`
}

// Run implements the show command.
func (c *ShowCmd) Run(a *App) error {
	ctx, cancel, log := c.connect(a)
	defer cancel()
	s, err := readStream(ctx, log)
	if err != nil {
		return exit(ExitNotKnown, "the log did not answer: %v", err)
	}
	view := s.state.View()
	if c.Customer == "" {
		return c.list(a, view)
	}
	for id, p := range view.Contracts {
		if string(id) == c.Customer {
			return c.one(a, p)
		}
	}
	return exit(ExitRefused, "customer %q has no contract in force", c.Customer)
}

func newShown(p *publication.Published) shown {
	return shown{Revision: p.Revision, ID: p.PublicationID, Time: p.Time.Format(timeFormat), Contract: &p.Contract}
}

// one prints a contract.
func (c *ShowCmd) one(a *App, p *publication.Published) error {
	doc, err := json.MarshalIndent(&p.Contract, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	if c.Contract {
		fmt.Fprintf(a.Out, "%s\n", doc)
		return nil
	}
	v := newShown(p)
	return c.print(a, v, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d, publication %s, accepted %s\n%s\n", v.Revision, v.ID, v.Time, doc)
	})
}
