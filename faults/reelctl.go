package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/contract"
)

// Reelctl runs the operators' command against the fleet's platform and
// returns its exit code and what it printed.
func (f *Fleet) Reelctl(args ...string) (int, string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, f.setup.Binaries.Reelctl(), args...)
	cmd.Env = append(os.Environ(), "REELCTL_PLATFORM="+f.platformURL)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Errorf("reelctl %v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// ContractFile writes a contract and returns the file's path.
func (f *Fleet) ContractFile(c contract.Contract) string {
	f.t.Helper()
	data, err := json.Marshal(c)
	assert.NilError(f.t, err)
	f.files++
	path := filepath.Join(f.dir, fmt.Sprintf("contract-%d.json", f.files))
	assert.NilError(f.t, os.WriteFile(path, data, 0o600))
	return path
}
