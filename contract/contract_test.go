package contract

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func example(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	assert.NilError(t, err)
	return data
}

func TestExamplesDecode(t *testing.T) {
	for _, name := range []string{"daugava.json", "lonestar.json"} {
		c, err := Decode(example(t, name))
		assert.NilError(t, err, name)
		doc, err := json.Marshal(c)
		assert.NilError(t, err)
		again, err := Decode(doc)
		assert.NilError(t, err)
		assert.DeepEqual(t, c, again)
	}
}

func TestDefaults(t *testing.T) {
	c, err := Decode([]byte(`{"format":"clementinereel/contract/v1","customer":"c","hosts":["h"],
		"limits":{"rate_per_second":9.5},
		"services":[{"name":"s","slots_per_target":2,"connections_per_target":3,"detection":{}}],
		"routes":[{"name":"r","path_prefix":"/","service":"s","class":"confirmation","limits":{"rate_per_second":1},"deadline":"1s"},
		{"name":"l","path_prefix":"/","service":"s","class":"lookup","limits":{"rate_per_second":1},"deadline":"1s","retry":{}}]}`))
	assert.NilError(t, err)
	assert.Equal(t, c.Limits.Burst, 10)
	assert.Equal(t, c.Services[0].Floor, 70)
	assert.Equal(t, *c.Services[0].Detection.FalseEjectionWeight, 0.5)
	assert.Equal(t, c.Routes[0].RepeatWindow.D(), 24*time.Hour)
	assert.Equal(t, c.Routes[0].MaxBody, int64(65536))
	assert.DeepEqual(t, c.Routes[0].Methods, []string{"POST"})
	assert.DeepEqual(t, *c.Routes[1].Retry, Retry{Attempts: 2, BudgetPercent: 10})
}

func TestRefusals(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"format": "clementinereel/contract/v1"`, `"format": "v2"`, `format: "v2" is not known: write "clementinereel/contract/v1"`},
		{`"customer": "daugava"`, `"customer": "Daugava"`, `customer: "Daugava" is not a name`},
		{`["quotes.daugava.example"]`, `[]`, `hosts: empty`},
		{`["quotes.daugava.example"]`, `["a:80"]`, `hosts[0]: "a:80" is not a host`},
		{`["quotes.daugava.example"]`, `["a", "a"]`, `hosts[1]: "a" stands twice`},
		{`"rate_per_second": 1000,`, `"rate_per_second": 5000,`, `routes[0].limits.rate_per_second: 5000 is above the customer's limits.rate_per_second 1200`},
		{`"rate_per_second": 1200`, `"rate_per_second": 0`, `limits.rate_per_second: 0 is out of range`},
		{`"concurrency": 24`, `"concurrency": 241`, `routes[2].limits.concurrency: 241 is above`},
		{`"slots_per_target": 4`, `"slots_per_target": 301`, `services[0].connections_per_target: 300 is less than slots_per_target 301`},
		{`"floor_percent": 80`, `"floor_percent": 101`, `services[2].floor_percent: 101 is out of range: 1 to 100`},
		{`"false_ejection_weight": 0.9`, `"false_ejection_weight": 90`, `services[2].detection.false_ejection_weight: 90 is out of range: 0 (fast) to 1 (careful)`},
		{`"max_ejection": "1m"`, `"max_ejection": "1s"`, `services[2].detection.max_ejection: 1s is less than base_ejection 5s`},
		{`"name": "plan-uploads"`, `"name": "price-catalogue"`, `services[2].name: "price-catalogue" stands twice`},
		{`"service": "plan-uploads"`, `"service": "plan-upload"`, `routes[2].service: "plan-upload" is not a service of this contract: write one of price-catalogue, quote-confirmation, plan-uploads`},
		{`"path_prefix": "/v1/plans"`, `"path_prefix": "v1/plans"`, `routes[2].path_prefix: "v1/plans" is not a path prefix`},
		{`"path_prefix": "/v1/plans"`, `"path_prefix": "/v1/../plans"`, `routes[2].path_prefix`},
		{`"path_prefix": "/v1/plans"`, `"path_prefix": "/v1/quotes/confirmations/"`, `routes[2].path_prefix: POST "/v1/quotes/confirmations/" is selected by route "confirmations" already`},
		{`"deadline": "2s"`, `"deadline": "31s"`, `routes[0].deadline: 31s is too long for class lookup: at most 30s`},
		{`"deadline": "2s",`, ``, `routes[0].deadline: missing`},
		{`"after": "150ms"`, `"after": "2s"`, `routes[0].hedge.after: 2s is not below the deadline 2s`},
		{`"class": "upload",`, `"class": "upload", "retry": {},`, `routes[2].retry: not allowed for class upload: remove it`},
		{`"class": "confirmation",`, `"class": "confirmation", "hedge": {"after": "1s"},`, `routes[1].hedge: not allowed for class confirmation: remove it`},
		{`"class": "confirmation",`, `"class": "confirmation", "methods": ["PUT"],`, `routes[1].methods[0]: "PUT" is not allowed for class confirmation: write POST`},
		{`"class": "upload",`, `"class": "upload", "repeat_window": "1h",`, `routes[2].repeat_window: not allowed for class upload: remove it`},
		{`"class": "upload",`, ``, `routes[2].class: missing`},
		{`"repeat_window": "24h"`, `"repeat_window": "1m"`, `routes[1].repeat_window: 1m0s is out of range: 10m0s to 168h0m0s`},
		{`"attempts": 2`, `"attempts": 9`, `routes[0].retry.attempts: 9 is out of range: 1 to 5`},
		{`"deadline": "2s"`, `"deadline": 2`, `routes[0].deadline: 2 is wrong here: write a duration with its unit in quotes, as "800ms" or "2s"`},
		{`"deadline": "2s"`, `"deadline": "2"`, `routes[0].deadline: "2" is not a duration`},
		{`"deadline": "2s"`, `"deadline": null`, `routes[0].deadline: null has no meaning here`},
		{`"deadline": "2s"`, `"Deadline": "2s"`, `routes[0].Deadline: unknown field: did you mean "deadline"?`},
		{`"deadline": "2s"`, `"deadline": "2s", "deadline": "3s"`, `routes[0].deadline: stands twice`},
		{`"floor_percent": 80`, `"floor": 80`, `services[2].floor: unknown field: did you mean "floor_percent"?`},
		{`"floor_percent": 80`, `"floor_percent": "80%"`, `services[2].floor_percent: "80%" is wrong here: write a whole number without unit or quotes`},
		{`"floor_percent": 80`, `"floor_percent": 0`, `services[2].floor_percent: 0 would mean the default`},
		{`"slow_start": "20s"`, `"slow_start": "0s"`, `services[2].slow_start: "0s" would mean the default`},
		{`"max_body_bytes": 67108864`, `"max_body_bytes": 1e30`, `routes[2].max_body_bytes: 1e30 is wrong here`},
		{`"class": "upload"`, `"class": "uplaod"`, `routes[2].class: unknown class "uplaod": want lookup, confirmation or upload`},
		{`["quotes.daugava.example"]`, `"quotes"`, `hosts: "quotes" is wrong here: write a list`},
		{`"retry": {"attempts": 2, "budget_percent": 10}`, `"retry": true`, `routes[0].retry: true is wrong here: write an object`},
		{`"deadline": "2s",`, `"deadline": "2s"`, `line 40: invalid character`},
		{`"value": 80`, `"value": 101`, `routes[2].value: 101 is out of range`},
	}
	base := string(example(t, "daugava.json"))
	for _, tt := range tests {
		assert.Assert(t, strings.Contains(base, tt.old), tt.old)
		_, err := Decode([]byte(strings.Replace(base, tt.old, tt.new, 1)))
		assert.ErrorContains(t, err, tt.want)
	}
}

func TestWholeDocumentRefusals(t *testing.T) {
	for doc, want := range map[string]string{
		`[{}]`:  "[...] is wrong here: write an object in braces",
		`null`:  "null is wrong here: write an object in braces",
		`{} {}`: "text follows the document",
		``:      "line 1: EOF",
	} {
		_, err := Decode([]byte(doc))
		assert.ErrorContains(t, err, want, doc)
	}
	_, err := Decode(make([]byte, MaxSize+1))
	assert.ErrorContains(t, err, "at most 262144 are allowed")
}

func TestDifferences(t *testing.T) {
	a, err := Decode(example(t, "daugava.json"))
	assert.NilError(t, err)
	b, err := Decode(example(t, "daugava.json"))
	assert.NilError(t, err)
	assert.Equal(t, len(Differences(a, b)), 0)
	b.Routes[0].Hedge = nil
	b.Services[1].Slots = 2
	got := Differences(a, b)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].String(), `routes[prices].hedge.after: "150ms" -> (none)`)
	assert.Equal(t, got[1].String(), "services[quote-confirmation].slots_per_target: 4 -> 2")
}

func FuzzDecode(f *testing.F) {
	f.Add(example(f, "daugava.json"))
	f.Add(example(f, "lonestar.json"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		doc, err := json.Marshal(c)
		assert.NilError(t, err)
		if len(doc) > MaxSize {
			return
		}
		again, err := Decode(doc)
		assert.NilError(t, err)
		assert.DeepEqual(t, c, again)
	})
}
