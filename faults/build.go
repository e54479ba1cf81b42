package faults

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// module is the import path of the binaries' module.
const module = "github.com/clementinereel/clementinereel"

// Binaries are the programs under test.
type Binaries struct {
	dir string
}

// Build compiles the programs into a new directory, with the race detector if
// the test itself has it.
func Build() (*Binaries, error) {
	dir, err := os.MkdirTemp("", "faults-bin-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, raceFlags...)
	cmd := exec.Command("go", append(args, module+"/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return nil, errors.Wrapf(err, "go build: %s", out)
	}
	return &Binaries{dir: dir}, nil
}

// Remove deletes the programs.
func (b *Binaries) Remove() { _ = os.RemoveAll(b.dir) }

// Instance is the path of the instance's program.
func (b *Binaries) Instance() string { return filepath.Join(b.dir, "clementinereel") }

// Reelctl is the path of the operators' program.
func (b *Binaries) Reelctl() string { return filepath.Join(b.dir, "reelctl") }
