package lab

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	measure  = flag.Bool("measure", false, "run TestMeasure")
	out      = flag.String("out", "../out", "directory for the CSV file and the plots")
	seeds    = flag.Int("seeds", 30, "runs for each cell")
	workers  = flag.Int("workers", 4, "cells measured at once")
	services = flag.String("services", "", "services, by name, comma separated; empty means all")
	faults   = flag.String("faults", "", "faults, by name, comma separated; empty means all")
	policies = flag.String("policies", "", "policies, by name, comma separated; empty means all")
	loads    = flag.String("loads", "3,30,70,110", "loads in percent of all slots, comma separated")
)

// TestMeasure makes the tables of docs/MEASUREMENTS-DETECTION.md:
//
//	go test ./lab -v -run TestMeasure -timeout 180m -args -measure
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("measures only with -args -measure")
	}
	m := Matrix{
		Services: selected(*services, Services, func(s Service) string { return s.Name }),
		Faults:   selected(*faults, Faults, func(f Fault) string { return f.Name }),
		Policies: selected(*policies, Policies, func(p Maker) string { return p.Name }),
		Loads:    percents(t, *loads),
		Seeds:    *seeds,
		Workers:  *workers,
	}
	cells := m.Measure()
	assert.NilError(t, WriteTable(os.Stdout, cells))
	assert.NilError(t, os.MkdirAll(*out, 0o755))
	for name, write := range map[string]func(io.Writer, []Cell) error{
		"detection.txt": WriteTable, "detection.csv": WriteCSV,
	} {
		f, err := os.Create(filepath.Join(*out, name))
		assert.NilError(t, err)
		assert.NilError(t, write(f, cells))
		assert.NilError(t, f.Close())
	}
	assert.NilError(t, WritePlots(*out, cells))
}

// selected returns the elements whose names stand in the list.
func selected[T any](list string, all []T, name func(T) string) []T {
	if list == "" {
		return all
	}
	names := strings.Split(list, ",")
	return slices.DeleteFunc(slices.Clone(all), func(x T) bool {
		return !slices.Contains(names, name(x))
	})
}

func percents(t *testing.T, list string) []float64 {
	var out []float64
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.ParseFloat(s, 64)
		assert.NilError(t, err)
		out = append(out, n/100)
	}
	return out
}
