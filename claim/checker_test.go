package claim

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementinereel/clementinereel/operation"
)

// stepsPerHistory is the number of steps with faults in one history.
const stepsPerHistory = 300

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": histories, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var modelKeys = []operation.Key{{Customer: "c", Name: "a"}, {Customer: "c", Name: "b"}}

// history runs one history and returns the invariant that it violated, if any.
func history(rt *rapid.T, r rules) error {
	seed := seeds.Draw(rt, "seed")
	err := newModel(seed, r, false).run()
	if err != nil {
		traced := newModel(seed, r, true)
		_ = traced.run()
		rt.Log(strings.Join(traced.trace, "\n"))
	}
	return err
}

func (m *model) run() error {
	for i := 0; i < stepsPerHistory && m.err == nil; i++ {
		m.advance()
	}
	if m.err == nil && m.rules == (rules{}) {
		m.endFaults()
		m.repeat(modelKeys)
	}
	return m.err
}

// Guards against operations that run more than once, wrong reports of "not run",
// and repeats that get no final response after the faults have ended.
func TestPromisesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := history(rt, rules{}); err != nil {
			rt.Fatal(err)
		}
	})
}

// Every protocol rule is needed: the checker finds a violation without it.
func TestCheckerFindsBrokenRules(t *testing.T) {
	for name, r := range map[string]rules{
		"dispatch before read-back": {dispatchEarly: true},
		"claims in memory only":     {memoryOnly: true},
		"withdrawn before reported": {withdrawEarly: true},
		"no response counts as no":  {ignoreSilent: true},
		"base ignored":              {ignoreBase: true},
		"lost holder frees the key": {leaseOnly: true},
	} {
		t.Run(name, func(t *testing.T) {
			gen := rapid.Custom(func(rt *rapid.T) error { return history(rt, r) })
			for seed := range 10000 {
				if err := gen.Example(seed); err != nil {
					t.Logf("history %d: %v", seed, err)
					return
				}
			}
			assert.Assert(t, false, "no violated invariant found")
		})
	}
}
