package losses

import (
	"os"

	"github.com/clementinereel/clementinereel/explain"
)

// Cmd is the command line of `reelctl losses`.
type Cmd struct {
	Files []string `arg:"" type:"existingfile" help:"Log files of the instances."`
	Least int      `default:"3" help:"Causes of fewer requests are summed up."`
}

// Run implements the command.
func (c *Cmd) Run() error {
	var g explain.Log
	if err := g.ReadFiles(c.Files); err != nil {
		return err
	}
	return New(&g).Print(os.Stdout, c.Least)
}
