package telemetry_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/telemetry"
)

func TestExpositionSplitsLabelsFromNames(t *testing.T) {
	r := telemetry.NewRegistry()
	r.Counter("decisions", telemetry.Label{Key: "customer", Value: `a"b`}).Inc(3)
	r.Counter("peer.calls.in").Inc(1)
	r.Request("a", fleet.Lookup, 200, 20*time.Millisecond)
	var b strings.Builder
	r.Write(&b)
	for _, want := range []string{
		"# TYPE clementinereel_decisions counter\n",
		`clementinereel_decisions{customer="a\"b"} 3`,
		"clementinereel_peer_calls_in 1\n",
		"# TYPE clementinereel_request_duration_seconds summary\n",
		`clementinereel_request_duration_seconds{customer="a",class="lookup",status="2xx",quantile="0.99"} 0.02`,
		`clementinereel_request_duration_seconds_count{customer="a",class="lookup",status="2xx"} 1`,
		"clementinereel_process_cpu_milliseconds ",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), "%s\nlacks %s", b.String(), want)
	}
}
