package telemetry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementinereel/clementinereel/fleet"
	"github.com/clementinereel/clementinereel/telemetry"
)

func TestSumGoesWithCount(t *testing.T) {
	r := telemetry.NewRegistry()
	for range 3000 {
		r.Request("a", fleet.Lookup, 200, time.Second)
	}
	text := exposed(r)
	const labels = `{customer="a",class="lookup",status="2xx"} 3000`
	assert.Assert(t, strings.Contains(text, "request_duration_seconds_sum"+labels), text)
	assert.Assert(t, strings.Contains(text, "request_duration_seconds_count"+labels), text)
}

func TestManyCustomersShareMetrics(t *testing.T) {
	r := telemetry.NewRegistry()
	for n := range 2000 {
		r.Request(fleet.CustomerID(fmt.Sprintf("customer-%d", n)), fleet.Lookup, 200, time.Millisecond)
	}
	text := exposed(r)
	assert.Equal(t, strings.Count(text, "request_duration_seconds_count{"), 501)
	assert.Assert(t, strings.Contains(text, `_count{customer="(others)",class="lookup",status="2xx"} 1500`), text)
	assert.Equal(t, r.Customer("customer-0"), fleet.CustomerID("customer-0"))
}

func exposed(r *telemetry.Registry) string {
	var b strings.Builder
	r.Write(&b)
	return b.String()
}

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
