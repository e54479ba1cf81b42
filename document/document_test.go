package document

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
)

func sample() *Document {
	return &Document{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Class: fleet.Lookup, MaxAttempts: 2, Backends: []Backend{{"s", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Class: fleet.Confirmation, MaxAttempts: 1, Backends: []Backend{{"s", 90}, {"t", 10}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Limits:   Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(sample(), 0)
	assert.Equal(t, table.Match("A.example:80", "/x/y/z").Name, "long")
	assert.Equal(t, table.Match("a.example", "/x/z").Name, "short")
	assert.Assert(t, table.Match("a.example", "/x") == nil)
	assert.Assert(t, table.Match("b.example", "/x/z") == nil)
}

func TestWeightsAreExactOverTheirSum(t *testing.T) {
	for _, seed := range []uint64{0, 1, 57, 1 << 63} {
		e := NewTable(sample(), seed).Match("a.example", "/x/y/")
		got := map[ServiceName]int{}
		for range 300 {
			got[e.NextService()]++
		}
		assert.Equal(t, got["s"], 270)
		assert.Equal(t, got["t"], 30)
	}
}

func TestCheckNamesTheField(t *testing.T) {
	assert.NilError(t, sample().Check())
	for want, change := range map[string]func(*Document){
		"version":                   func(d *Document) { d.Version = 0 },
		"host: empty":               func(d *Document) { d.Routes[0].Host = "" },
		"prefix":                    func(d *Document) { d.Routes[0].Prefix = "/x" },
		"class: missing":            func(d *Document) { d.Routes[0].Class = 0 },
		"max attempts":              func(d *Document) { d.Routes[0].MaxAttempts = 0 },
		`service "u"`:               func(d *Document) { d.Routes[0].Backends[0].Service = "u" },
		"weights are 0":             func(d *Document) { d.Routes[0].Backends[0].Weight = 0 },
		"duplicate host and prefix": func(d *Document) { d.Routes[1].Prefix = "/x/" },
		"limits.idle timeout":       func(d *Document) { d.Limits.IdleTimeout = 0 },
	} {
		d := sample()
		change(d)
		assert.ErrorContains(t, d.Check(), want)
	}
}
