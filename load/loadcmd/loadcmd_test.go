package loadcmd

import (
	"context"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
)

func TestCommandLine(t *testing.T) {
	s, err := emulator.Serve("127.0.0.1:0", emulator.Options{Slots: 16, Queue: 16})
	assert.NilError(t, err)
	defer s.Close()
	var cli struct {
		Load Cmd `cmd:""`
	}
	var out strings.Builder
	cli.Load.Out = &out
	parser, err := kong.New(&cli)
	assert.NilError(t, err)
	kctx, err := parser.Parse([]string{
		"load", "--instance", s.URL(), "--target", s.URL(), "--route", "both", "--duration", "200ms",
		"--lookup-rate", "50", "--confirm-rate", "50", "--upload-rate", "20", "-o", "csv",
	})
	assert.NilError(t, err)
	kctx.BindTo(context.Background(), (*context.Context)(nil))
	assert.NilError(t, kctx.Run())
	assert.Equal(t, strings.Count(out.String(), "\n"), 7, out.String())
}
