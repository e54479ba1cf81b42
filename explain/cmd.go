package explain

import (
	"fmt"
	"os"
)

// Cmd is the command line of `reelctl explain`.
type Cmd struct {
	ID    string   `arg:"" help:"The request's ID."`
	Files []string `arg:"" type:"existingfile" help:"Log files of the instances."`
}

// Run implements the command.
func (c *Cmd) Run() error {
	var g Log
	if err := g.ReadFiles(c.Files); err != nil {
		return err
	}
	g.Request(c.ID).Print(os.Stdout)
	return nil
}

// ReadFiles adds the lines of the named files. It stops at the first file that cannot
// be read.
func (g *Log) ReadFiles(names []string) error {
	for _, name := range names {
		if err := g.readFile(name); err != nil {
			return err
		}
	}
	return nil
}

func (g *Log) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("log file: %w", err)
	}
	defer f.Close()
	return g.Read(name, f)
}
