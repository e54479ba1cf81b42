package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/emulator"
	"github.com/clementinereel/clementinereel/faults"
	"github.com/clementinereel/clementinereel/fleet"
)

func TestDetect(t *testing.T) {
	at := func(ms ...int) (all []emulator.Arrival) {
		for _, m := range ms {
			all = append(all, emulator.Arrival{After: time.Duration(m) * time.Millisecond, Sick: m%2 == 0})
		}
		return all
	}
	for _, c := range []struct {
		name     string
		arrivals []emulator.Arrival
		limited  bool
		took     int
		detected bool
		work     int
	}{
		{"never got work", nil, false, 0, true, 0},
		{"left alone", at(100, 400, 900), false, 800, true, 3},
		{"trial later", at(100, 400, 3000), false, 300, true, 3},
		{"never left alone", at(100, 900, 1700, 2500, 3300, 4100, 4900), false, 4900, false, 7},
		{"well callers go on", at(100, 401, 901, 1401, 2001), true, 0, true, 1},
	} {
		d := detect(c.arrivals, 5*time.Second, c.limited)
		assert.Equal(t, d.took, time.Duration(c.took)*time.Millisecond, c.name)
		assert.Equal(t, d.detected, c.detected, c.name)
		assert.Equal(t, d.work, c.work, c.name)
	}
}

// TestMeasure makes the measurements that EXPERIMENT names: names of faults
// with commas between, or "all". docs/TESTING.md explains the variables.
func TestMeasure(t *testing.T) {
	names := os.Getenv("EXPERIMENT")
	if names == "" {
		t.Skip("EXPERIMENT is not set")
	}
	b, err := faults.Build()
	assert.NilError(t, err)
	defer b.Remove()
	var byUser [][]Row
	var all []Row
	for _, user := range strings.Split(setting("EXPERIMENT_USERS", "daugava,lonestar"), ",") {
		c := config(t, names)
		c.Binaries, c.User = b, Users[user]
		t.Run(user, func(t *testing.T) {
			rows := Summarize(c, Run(t, c))
			byUser, all = append(byUser, rows), append(all, rows...)
		})
	}
	assert.NilError(t, WriteTable(os.Stdout, all))
	dir := setting("EXPERIMENT_OUT", filepath.Join("..", "..", "out"))
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	file, err := os.Create(filepath.Join(dir, "experiment.csv"))
	assert.NilError(t, err)
	defer file.Close()
	assert.NilError(t, WriteCSV(file, all))
	assert.NilError(t, Plot(filepath.Join(dir, "experiment.svg"), byUser))
}

func config(t *testing.T, names string) Config {
	t.Helper()
	c := Config{Class: fleet.Lookup, WarmUp: 3 * time.Second, Window: 8 * time.Second}
	for _, f := range Faults {
		if names == "all" || slices.Contains(strings.Split(names, ","), f.Name) {
			c.Faults = append(c.Faults, f)
		}
	}
	percent := number(t, "EXPERIMENT_LOAD", "30")
	c.Load = float64(percent) / 100
	c.Runs = number(t, "EXPERIMENT_RUNS", "5")
	c.Instances = number(t, "EXPERIMENT_INSTANCES", "36")
	assert.NilError(t, c.Class.UnmarshalText([]byte(setting("EXPERIMENT_CLASS", "lookup"))))
	return c
}

func number(t *testing.T, name, otherwise string) int {
	t.Helper()
	n, err := strconv.Atoi(setting(name, otherwise))
	assert.NilError(t, err, name)
	return n
}

func setting(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}
