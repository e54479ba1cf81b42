package gateway

import (
	"slices"
	"time"

	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/registry"
)

// This file takes in what targets say of themselves in the heads of their answers.

// leavingValue is what a target that leaves sets its field to.
const leavingValue = "1"

// heard takes in what the head of an answer says of its target.
func (g *Gateway) heard(t exchange.Target, request string, h exchange.Head) {
	if leaves(h.Header.Values(g.settings.Headers.Leaving)) {
		g.state.Depart(registry.Departure{ID: t.ID, Born: t.Born}, time.Now(), fromSelf)
	}
}

// leaves tells whether the fields by which a target may say that it leaves say so.
func leaves(fields []string) bool {
	return len(fields) > 0 && !slices.ContainsFunc(fields, func(f string) bool { return f != leavingValue })
}
