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

// The connection's deadline and the request's own timer end at the same moment;
// whichever is first, the time ran out.
func TestAnOverdueAttemptIsLate(t *testing.T) {
	c := &call{
		h:     &Handler{},
		r:     httptest.NewRequest("POST", "/buy/1", nil),
		route: &document.Entry{Route: &document.Route{Class: fleet.Confirmation, MaxAttempts: 2}},
	}
	for kind, want := range map[exchange.Kind]outcomeKind{
		exchange.Overdue: late, exchange.Broken: unknown, exchange.Unsent: notRun,
	} {
		r := &race{c: c, fallback: outcome{kind: notRun}}
		e := ended{placed: Placed{Target: &registry.Target{}}, result: exchange.Result{Kind: kind}}
		r.keep(r.classify(e))
		assert.Equal(t, r.fallback.kind, want, kind)
	}
}
