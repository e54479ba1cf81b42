package header

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

var now = time.Date(2024, 5, 6, 7, 8, 9, 0, time.UTC)

const maxDelay = 5 * time.Minute

func TestParseRetryAfter(t *testing.T) {
	date := func(after time.Duration) string { return now.Add(after).Format(http.TimeFormat) }
	for _, c := range []struct {
		name    string
		fields  []string
		date    string
		want    time.Duration
		wantErr bool
	}{
		{name: "none"},
		{name: "seconds", fields: []string{"3"}, want: 3 * time.Second},
		{name: "surrounding spaces", fields: []string{" 3 "}, want: 3 * time.Second},
		{name: "a fraction", fields: []string{"1.5"}, want: 1500 * time.Millisecond},
		{name: "less than one second", fields: []string{".8"}, want: 800 * time.Millisecond},
		{name: "zero", fields: []string{"0"}},
		{name: "a date", fields: []string{date(4 * time.Second)}, want: 4 * time.Second},
		{name: "a date relative to the server's Date", fields: []string{date(time.Hour)}, date: date(time.Hour - 2*time.Second), want: 2 * time.Second},
		{name: "a date in the past", fields: []string{date(-time.Hour)}},
		{name: "a date in the far future", fields: []string{date(1000 * time.Hour)}, want: maxDelay},
		{name: "a huge number", fields: []string{strings.Repeat("9", 30)}, want: maxDelay},
		{name: "empty", fields: []string{""}, wantErr: true},
		{name: "negative", fields: []string{"-3"}, wantErr: true},
		{name: "an exponent", fields: []string{"1e300"}, wantErr: true},
		{name: "not a number", fields: []string{"NaN"}, wantErr: true},
		{name: "infinite", fields: []string{"Inf"}, wantErr: true},
		{name: "two decimal points", fields: []string{"1.2.3"}, wantErr: true},
		{name: "a decimal point only", fields: []string{"."}, wantErr: true},
		{name: "a unit", fields: []string{"3s"}, wantErr: true},
		{name: "two fields", fields: []string{"3", "4"}, wantErr: true},
		{name: "too long", fields: []string{strings.Repeat("1", 41)}, wantErr: true},
	} {
		h := http.Header{RetryAfter: c.fields}
		if c.date != "" {
			h.Set("Date", c.date)
		}
		got, err := ParseRetryAfter(h, now, maxDelay)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, errors.Is(err, ErrRetryAfter), c.wantErr, c.name)
	}
}

func FuzzParseRetryAfter(f *testing.F) {
	f.Add("3", "")
	f.Add("1e300", "Mon, 06 May 2024 07:08:09 GMT")
	f.Fuzz(func(t *testing.T, field, date string) {
		got, err := ParseRetryAfter(http.Header{RetryAfter: {field}, "Date": {date}}, now, maxDelay)
		assert.Assert(t, got >= 0 && got <= maxDelay && !math.IsNaN(got.Seconds()))
		assert.Assert(t, err == nil || got == 0)
	})
}
