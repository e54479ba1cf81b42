package faults

import (
	"fmt"
	"os"
	"testing"
)

// binaries are built once for all tests.
var binaries *Binaries

func TestMain(m *testing.M) {
	b, err := Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = b
	code := m.Run()
	b.Remove()
	os.Exit(code)
}
