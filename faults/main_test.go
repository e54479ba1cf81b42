package faults

import (
	"fmt"
	"os"
	"runtime/debug"
	"testing"
)

// memoryLimit is where the collector begins to work hard, in bytes.
const memoryLimit = 1 << 30

// binaries are built once for all tests.
var binaries *Binaries

func TestMain(m *testing.M) {
	b, err := Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = b
	debug.SetMemoryLimit(memoryLimit)
	code := m.Run()
	b.Remove()
	os.Exit(code)
}
