package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxRetryAfterLen limits a Retry-After value in bytes; a date has 29.
const maxRetryAfterLen = 40

// ErrRetryAfter is returned for an invalid Retry-After field.
var ErrRetryAfter = errors.New("invalid Retry-After field")

// ParseRetryAfter returns the delay that a server requests in Retry-After, at most
// maxDelay. The field holds seconds, with or without a fraction, or a date (RFC 9110,
// 10.2.3). A date is relative to the Date field of the same response, since clocks
// differ, or to now if there is none. The result is 0 if the field is missing or the
// date has passed. The error wraps ErrRetryAfter.
func ParseRetryAfter(h http.Header, now time.Time, maxDelay time.Duration) (time.Duration, error) {
	fields := h.Values(RetryAfter)
	if len(fields) == 0 {
		return 0, nil
	}
	text := strings.TrimSpace(fields[0])
	if len(fields) > 1 || text == "" || len(text) > maxRetryAfterLen {
		return 0, errors.WithStack(ErrRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		if date, err := http.ParseTime(h.Get("Date")); err == nil {
			now = date
		}
		return min(max(at.Sub(now), 0), maxDelay), nil
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errors.WithStack(ErrRetryAfter) // sign, exponent or not a number
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.WithStack(ErrRetryAfter)
	}
	if seconds >= maxDelay.Seconds() {
		return maxDelay, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
