package gateway

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/document"
	"github.com/clementinereel/clementinereel/exchange"
	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/registry"
)

// The connection's deadline and the request's timer expire at the same time. The request
// must count as timed out whichever fires first.
func TestOverdueAttemptTimesOut(t *testing.T) {
	c := &call{
		h:     &Handler{},
		r:     httptest.NewRequest("POST", "/buy/1", nil),
		route: &document.Entry{Route: &document.Route{Class: fleet.Confirmation, MaxAttempts: 2}},
	}
	for kind, want := range map[exchange.Kind]outcomeKind{
		exchange.TimedOut: outcomeTimedOut, exchange.Broken: outcomeUnknown, exchange.Unsent: outcomeNotRun,
	} {
		r := &attemptGroup{c: c, fallback: outcome{kind: outcomeNotRun}}
		e := attemptResult{placed: Placement{Target: &registry.Target{}}, result: exchange.Result{Kind: kind}}
		r.updateFallback(r.classify(e))
		assert.Equal(t, r.fallback.kind, want, kind)
	}
}
