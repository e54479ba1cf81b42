package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// longestRetryAfter bounds the text of a field in bytes; a date takes 29.
const longestRetryAfter = 40

// ErrRetryAfter is the cause of a Retry-After field that names no time.
var ErrRetryAfter = errors.New("Retry-After names no time")

// ParseRetryAfter reads how long a server wants no further request, from seconds with or without a fraction or
// from a date (RFC 9110, 10.2.3). It returns 0 if there is no field, or if the time is over. The date is compared with
// the server's own Date where there is one, since clocks differ, and else with the given time of day. The longest
// time that is returned is most.
func ParseRetryAfter(h http.Header, timeOfDay time.Time, most time.Duration) (time.Duration, error) {
	fields := h.Values(RetryAfter)
	if len(fields) == 0 {
		return 0, nil
	}
	text := strings.TrimSpace(fields[0])
	if len(fields) > 1 || text == "" || len(text) > longestRetryAfter {
		return 0, errors.WithStack(ErrRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		if date, err := http.ParseTime(h.Get("Date")); err == nil {
			timeOfDay = date
		}
		return min(max(at.Sub(timeOfDay), 0), most), nil
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errors.WithStack(ErrRetryAfter) // a sign, an exponent or no number
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.WithStack(ErrRetryAfter)
	}
	if seconds >= most.Seconds() {
		return most, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
